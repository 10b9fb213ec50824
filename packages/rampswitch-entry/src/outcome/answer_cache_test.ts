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

function newBook() {
  const clock = new ManualClock();
  const metrics = createMetrics("test", undefined);
  const book = new AnswerCache(clock, metrics, {
    answerBytes: 64,
    answersBytes: 128,
    retentionMilliseconds: 1_000,
  });
  return { clock, metrics, book };
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
  test("goes on exactly from the next event", () => {
    const answer = newBook().book.open(ENVELOPE, "a");
    answer.append(0, ["x", "y"]);
    const seen = readAll(answer, 0);
    answer.append(2, ["z"]);
    answer.end({ kind: "completed" });
    expect(seen).toEqual(["1:y", "2:z", "completed"]);
  });

  test("gives a reader who is ahead nothing twice", () => {
    const answer = newBook().book.open(ENVELOPE, "a");
    answer.append(0, ["x"]);
    const seen = readAll(answer, 2);
    answer.append(1, ["y", "z", "w"]);
    expect(seen).toEqual(["3:w"]);
  });

  test("drops and counts events that it has", () => {
    const { book, metrics } = newBook();
    const answer = book.open(ENVELOPE, "a");
    answer.append(0, ["x", "y"]);
    answer.append(1, ["y", "z"]);
    expect(answer.events).toEqual(["x", "y", "z"]);
    expect(metrics.totals()["drop.duplicate_event"]).toBe(1);
  });

  test("takes no events after a gap", () => {
    const answer = newBook().book.open(ENVELOPE, "a");
    answer.append(1, ["y"]);
    expect(answer.events).toEqual([]);
  });

  test("takes no events after its end", () => {
    const { book, metrics } = newBook();
    const answer = book.open(ENVELOPE, "a");
    answer.end({ kind: "completed" });
    answer.append(0, ["x"]);
    expect(answer.events).toEqual([]);
    expect(metrics.totals()["drop.former_attempt"]).toBe(1);
  });
});

describe("the answer book", () => {
  test("forgets ended answers past their time and says why", () => {
    const { book, clock } = newBook();
    book.open(ENVELOPE, "a").end({ kind: "completed" });
    clock.advance(1_001);
    book.expire();
    expect(book.byId(ENVELOPE.id)).toBeUndefined();
    expect(book.forgotten(ENVELOPE.id)?.reason).toBe("answer_expired");
    expect(book.size).toEqual({ answers: 0, bytes: 0 });
  });

  test("forgets an answer that is too large when it ends", () => {
    const { book } = newBook();
    const answer = book.open(ENVELOPE, "a");
    answer.append(0, ["x".repeat(80)]);
    expect(book.byId(ENVELOPE.id)).toBe(answer);
    answer.end({ kind: "completed" });
    expect(book.forgotten(ENVELOPE.id)?.reason).toBe("answer_too_large");
  });

  test("keeps answers that still run, whatever their size", () => {
    const { book, clock } = newBook();
    const answer = book.open(ENVELOPE, "a");
    answer.append(0, ["x".repeat(200)]);
    clock.advance(10_000);
    book.expire();
    expect(book.byKey(ENVELOPE.key)).toBe(answer);
  });
});
