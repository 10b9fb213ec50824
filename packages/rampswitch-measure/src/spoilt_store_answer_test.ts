// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Answers of the object API that are cut off, of another form, or without an end.
 *
 * Guards against a list that has no objects, against calls that throw where their
 * outcomes are values, and against an answer that is read for as long as it comes.
 *
 * @module
 */
import { afterEach, beforeEach, describe, expect, test } from "@jest/globals";
import {
  CONNECTION_END_NAMES,
  CONNECTION_ENDS,
  ENDLESS_BESIDE_BODY,
  ENDLESS_BODIES,
  EndlessServer,
  HEAD_STOPS,
  mostLiveBuffers,
  startRawServer,
  stoppedHead,
} from "rampswitch-standins";
import { CallAccounting, HttpObjectStore } from "rampswitch-store";
import { createMetrics, Ownership, SYSTEM_CLOCK } from "rampswitch-utils";
import type { Socket } from "node:net";
import { until } from "./test_deployment.ts";

const WATCH = { signal: new AbortController().signal };
const OBJECT = { key: "own/a", version: 1, value: "x" };

/** Bytes of one piece of an answer without an end. */
const PIECE = "x".repeat(64 * 1024);

/** Bodies that are no object, no list and no changes. */
const OTHER_FORMS = [
  "null",
  "[]",
  "{}",
  "1",
  '{"version":"1","objects":[],"events":[]}',
  '{"version":1,"objects":null,"events":null}',
  '{"version":1,"objects":[null],"events":[null]}',
  '{"version":1,"objects":[{"key":"own/a","version":1}],"events":[{"key":"own/a"}]}',
] as const;

/** Bodies that tell no object which a change is in conflict with. */
const OTHER_CONFLICTS = [
  "",
  "null",
  "no JSON",
  '{"current":{"key":',
  '{"current":[]}',
] as const;

/** Bytes that wait in the system between two processes, at most. */
const SYSTEM_BYTES = 12 * 1024 * 1024;

/** The largest answer, in bytes. */
const LARGEST_ANSWER_BYTES = 16 * 1024 * 1024;

/** Bytes that all connections have read and not handed on, at most. */
const READ_BYTES = 4 * 1024 * 1024;

/** Calls at once while the memory is measured. */
const CALLS_AT_ONCE = 24;

const ENDLESS = { ...ENDLESS_BESIDE_BODY, ...ENDLESS_BODIES };
const ENDLESS_NAMES = Object.keys(ENDLESS) as (keyof typeof ENDLESS)[];

let ownership: Ownership;
let store: HttpObjectStore;
let answer: (socket: Socket) => void;

beforeEach(async () => {
  ownership = new Ownership();
  const { address } = ownership.own(
    await startRawServer((socket) => answer(socket)),
  );
  store = ownership.own(storeAt(address));
});

function storeAt(address: string): HttpObjectStore {
  const accounting = new CallAccounting(
    SYSTEM_CLOCK,
    createMetrics("test", undefined),
    { callsPerSecond: () => 1_000_000 },
  );
  return new HttpObjectStore(address, { accounting });
}

afterEach(async () => {
  await ownership[Symbol.asyncDispose]();
});

/** What the calls come to that are answered with an object, a list or changes. */
async function readResults(): Promise<readonly unknown[]> {
  const results = await Promise.all([
    store.get("own/a"),
    store.put("own/a", "x", { expected: 1 }),
    store.list("own/"),
    store.watch("own/", 0, WATCH),
  ]);
  return results.map((one) => (one.isErr ? one.error : one.value));
}

/** Answers with a body that has a length, and closes. */
function answerWith(status: number, body: string): void {
  const head = `HTTP/1.1 ${status} X\r\nContent-Length: ${body.length}\r\n\r\n`;
  answer = (socket) => socket.end(`${head}${body}`);
}

const UNKNOWN = expect.objectContaining({ kind: "unknown" }) as unknown;

describe("an answer of the object API", () => {
  test.each(CONNECTION_END_NAMES)(
    "is none if its head stops, by %s",
    async (end) => {
      for (const stop of HEAD_STOPS) {
        answer = (socket) => CONNECTION_ENDS[end](socket, stoppedHead(stop));
        const results = await readResults();
        expect(results).toEqual([UNKNOWN, UNKNOWN, UNKNOWN, UNKNOWN]);
      }
    },
  );

  test("is none if a part of it comes without a length", async () => {
    const list = JSON.stringify({ version: 1, objects: [OBJECT] });
    const whole = (text: string) => (socket: Socket) =>
      socket.end(`HTTP/1.1 200 OK\r\n\r\n${text}`);
    for (let length = 0; length < list.length; length += 1) {
      answer = whole(list.slice(0, length));
      expect((await store.list("own/")).isErr).toBe(true);
    }
    answer = whole(list);
    expect((await store.list("own/")).isOk).toBe(true);
  });

  test("is unknown if its form is another", async () => {
    for (const body of OTHER_FORMS) {
      answerWith(200, body);
      const results = await readResults();
      expect([body, ...results]).toEqual([body, ...results.map(() => UNKNOWN)]);
    }
  });

  test("is a conflict without an object if it says nothing else", async () => {
    for (const body of OTHER_CONFLICTS) {
      answerWith(409, body);
      const results = await Promise.all([
        ...(await readResults()),
        store.remove("own/a", 1).then((one) => one.isErr && one.error),
      ]);
      const conflicts = results.map(() => ({ kind: "conflict" }));
      expect([body, ...results]).toEqual([body, ...conflicts]);
    }
  });

  test("is read for no longer than it may be long", async () => {
    let closed = false;
    answer = (socket) => {
      socket.once("close", () => {
        closed = true;
      });
      socket.write("HTTP/1.1 200 OK\r\n\r\n");
      const more = () => {
        if (!socket.destroyed) socket.write(PIECE, () => setImmediate(more));
      };
      more();
    };
    const watched = await store.watch("own/", 0, WATCH);
    expect(watched.isErr && watched.error).toEqual(UNKNOWN);
    await until(() => closed);
  }, 10_000);

  test.each(ENDLESS_NAMES)("is closed soon, as %s", async (name) => {
    await using server = await EndlessServer.start(ENDLESS[name]);
    await using endless = storeAt(server.address);
    const results = await Promise.all([
      endless.get("own/a"),
      endless.list("own/"),
      endless.watch("own/", 0, WATCH),
    ]);
    await until(() => server.open === 0);
    const bodyBytes = name in ENDLESS_BODIES ? LARGEST_ANSWER_BYTES : 0;
    expect(results.every(({ isErr }) => isErr)).toBe(true);
    expect(server.answers).toBeGreaterThan(0);
    expect(server.mostTaken).toBeLessThan(SYSTEM_BYTES + bodyBytes);
  });

  test("takes little memory without an end, many at once", async () => {
    const bytes = ENDLESS_BODIES["a body in chunks"];
    await using server = await EndlessServer.start(bytes);
    await using endless = storeAt(server.address);
    const most = await mostLiveBuffers(() =>
      Promise.all(
        Array.from({ length: CALLS_AT_ONCE }, () => endless.get("own/a")),
      ),
    );
    // Each byte counts twice, and one answer may have a third of the memory.
    expect(most).toBeLessThan(6 * LARGEST_ANSWER_BYTES + READ_BYTES);
  });
});
