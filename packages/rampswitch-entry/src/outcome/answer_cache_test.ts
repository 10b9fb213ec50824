// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import { createMetrics, ManualClock } from "rampswitch-utils";
import {
  type Answer,
  AnswerCache,
  type AnswerReader,
  type RequestEnvelope,
} from "./answer_cache.ts";

const ENVELOPE: RequestEnvelope = {
  id: "r1.a",
  slot: 1,
  key: "workspace/key",
  workspace: "workspace",
  service: "assistant",
  body: Buffer.from("{}"),
  deadline: 1_000,
  streamed: true,
  fingerprint: "f",
};

function newCache() {
  const clock = new ManualClock();
  const metrics = createMetrics("test", undefined);
  const cache = new AnswerCache(clock, metrics, {
    answerBytes: 64,
    answersBytes: 128,
    retentionMilliseconds: 1_000,
  });
  return { clock, metrics, cache };
}

function readAll(answer: Answer, after: number): readonly string[] {
  const seen: string[] = [];
  const reader: AnswerReader = {
    event: (index, text) => seen.push(`${index}:${text}`),
    ended: ({ kind }) => seen.push(kind),
  };
  answer.read(after, reader);
  return seen;
}

describe("an answer", () => {
  test("continues with the next event", () => {
    const answer = newCache().cache.open(ENVELOPE, "a");
    answer.append(0, ["x", "y"]);
    const seen = readAll(answer, 0);
    answer.append(2, ["z"]);
    answer.end({ kind: "completed" });
    expect(seen).toEqual(["1:y", "2:z", "completed"]);
  });

  test("does not repeat events to a reader who is ahead", () => {
    const answer = newCache().cache.open(ENVELOPE, "a");
    answer.append(0, ["x"]);
    const seen = readAll(answer, 2);
    answer.append(1, ["y", "z", "w"]);
    expect(seen).toEqual(["3:w"]);
  });

  test("drops and counts duplicate events", () => {
    const { cache, metrics } = newCache();
    const answer = cache.open(ENVELOPE, "a");
    answer.append(0, ["x", "y"]);
    answer.append(1, ["y", "z"]);
    expect(answer.events).toEqual(["x", "y", "z"]);
    expect(metrics.totals()["drop.duplicate_event"]).toBe(1);
  });

  test("drops events after a gap", () => {
    const answer = newCache().cache.open(ENVELOPE, "a");
    answer.append(1, ["y"]);
    expect(answer.events).toEqual([]);
  });

  test("drops and counts events after its end", () => {
    const { cache, metrics } = newCache();
    const answer = cache.open(ENVELOPE, "a");
    answer.end({ kind: "completed" });
    answer.append(0, ["x"]);
    expect(answer.events).toEqual([]);
    expect(metrics.totals()["drop.former_attempt"]).toBe(1);
  });
});

describe("the answer cache", () => {
  test("evicts expired answers and retains the reason", () => {
    const { cache, clock } = newCache();
    cache.open(ENVELOPE, "a").end({ kind: "completed" });
    clock.advance(1_001);
    cache.expire();
    expect(cache.byId(ENVELOPE.id)).toBeUndefined();
    expect(cache.evicted(ENVELOPE.id)?.reason).toBe("answer_expired");
    expect(cache.size).toEqual({ answers: 0, bytes: 0 });
  });

  test("evicts an answer that is too large when it ends", () => {
    const { cache } = newCache();
    const answer = cache.open(ENVELOPE, "a");
    answer.append(0, ["x".repeat(80)]);
    expect(cache.byId(ENVELOPE.id)).toBe(answer);
    answer.end({ kind: "completed" });
    expect(cache.evicted(ENVELOPE.id)?.reason).toBe("answer_too_large");
  });

  test("retains answers in progress, whatever their age and size", () => {
    const { cache, clock } = newCache();
    const answer = cache.open(ENVELOPE, "a");
    answer.append(0, ["x".repeat(200)]);
    clock.advance(10_000);
    cache.expire();
    expect(cache.byKey(ENVELOPE.key)).toBe(answer);
  });
});
