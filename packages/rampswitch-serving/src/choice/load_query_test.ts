// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import { ManualClock } from "rampswitch-utils";
import {
  LOAD_QUERY_MILLISECONDS,
  LoadQueries,
  type LoadQueryListener,
  type LoadQueryOutcome,
} from "./load_query.ts";
import { ServerRecord } from "./server_record.ts";

const LOAD = { running: 3, waiting: 1, slots: 8 };
const ANSWER = { kind: "answered" as const, load: LOAD };

function server(id: string): ServerRecord {
  return new ServerRecord({
    id,
    service: "models",
    address: "127.0.0.1:1",
    dataHall: "a",
    slots: 8,
    state: "ready",
    version: "v1",
    reclaimable: true,
    born: 7,
  });
}

/** Queries whose answers the test gives. */
function queries() {
  const clock = new ManualClock(1_000);
  const sent: { id: string; path: string; answer: LoadQueryListener }[] = [];
  const aborted: string[] = [];
  const outcomes: LoadQueryOutcome[] = [];
  const all = new LoadQueries({
    clock,
    send: ({ entry: { id } }, path, answer) => {
      sent.push({ id, path, answer });
      return { abort: () => aborted.push(id) };
    },
    applyLoad: (record, load) => record.reported(load, clock.now()),
    count: (outcome) => outcomes.push(outcome),
  });
  const ask = (records: readonly ServerRecord[]) => {
    const state = { isDone: false };
    void all.ask(records, "/health").then(() => {
      state.isDone = true;
    });
    return state;
  };
  return { clock, sent, aborted, outcomes, ask };
}

async function settle(): Promise<void> {
  await new Promise(setImmediate);
}

describe("queries for the load of servers", () => {
  test("end when all servers have answered, and apply the figures", async () => {
    const { sent, outcomes, ask } = queries();
    const records = [server("s1"), server("s2")];
    const query = ask(records);
    expect(sent.map(({ id, path }) => [id, path])).toEqual([
      ["s1", "/health"],
      ["s2", "/health"],
    ]);
    sent[0]?.answer(ANSWER);
    await settle();
    expect(query.isDone).toBe(false);
    sent[1]?.answer(ANSWER);
    await settle();
    expect(query.isDone).toBe(true);
    expect(records.map((record) => record.load(1_000))).toEqual([4, 4]);
    expect(outcomes).toEqual(["answered", "answered"]);
  });

  test("end in time if a server does not answer, whose late answer still counts", async () => {
    // A server that hangs must not delay sends beyond the limit.
    const { clock, sent, aborted, outcomes, ask } = queries();
    const record = server("s1");
    const query = ask([record]);
    clock.advance(LOAD_QUERY_MILLISECONDS - 1);
    await settle();
    expect(query.isDone).toBe(false);
    clock.advance(1);
    await settle();
    expect(query.isDone).toBe(true);
    expect(outcomes).toEqual(["late"]);
    clock.advance(100);
    sent[0]?.answer(ANSWER);
    expect(record.load(clock.now())).toBe(4);
    clock.advance(5_000);
    expect(outcomes).toEqual(["late"]);
    expect(aborted).toEqual([]);
  });

  test("don't wait for a server that was late, until its query is aborted", async () => {
    const { clock, sent, aborted, ask } = queries();
    const record = server("s1");
    ask([record]);
    clock.advance(LOAD_QUERY_MILLISECONDS);
    const second = ask([record]);
    await settle();
    expect(second.isDone).toBe(true);
    expect(sent).toHaveLength(1);
    clock.advance(1_000);
    expect(aborted).toEqual(["s1"]);
    // The answer of an aborted query is ignored.
    sent[0]?.answer(ANSWER);
    expect(record.load(clock.now())).toBe(0);
    ask([record]);
    expect(sent).toHaveLength(2);
  });

  test("of several requests share one query of a server", async () => {
    const { sent, outcomes, ask } = queries();
    const record = server("s1");
    const first = ask([record]);
    const second = ask([record]);
    expect(sent).toHaveLength(1);
    sent[0]?.answer(ANSWER);
    await settle();
    expect([first.isDone, second.isDone]).toEqual([true, true]);
    expect(outcomes).toEqual(["answered"]);
  });

  test("that fail or are unreadable end at once and change no figures", async () => {
    const { sent, outcomes, ask } = queries();
    const records = [server("s1"), server("s2")];
    records.forEach((record) => record.started(0));
    const query = ask(records);
    sent[0]?.answer({ kind: "failed" });
    sent[1]?.answer({ kind: "unreadable" });
    await settle();
    expect(query.isDone).toBe(true);
    expect(outcomes).toEqual(["failed", "unreadable"]);
    expect(records.map((record) => record.load(1_000))).toEqual([1, 1]);
  });

  test("of a new incarnation don't wait for the query of the former one", async () => {
    const { sent, ask } = queries();
    const former = server("s1");
    ask([former]);
    const restarted = server("s1");
    restarted.entry = { ...restarted.entry, born: 8 };
    const query = ask([restarted]);
    expect(sent).toHaveLength(2);
    sent[1]?.answer(ANSWER);
    await settle();
    expect(query.isDone).toBe(true);
    expect(former.load(1_000)).toBe(0);
  });

  test("without servers end at once", async () => {
    const { ask } = queries();
    const query = ask([]);
    await settle();
    expect(query.isDone).toBe(true);
  });
});
