// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import {
  checkHistory,
  type HistoryFindings,
  type Invocation,
} from "./history.ts";

const RIGHT: Invocation = {
  operation: "operation-1",
  guarded: true,
  accepted: true,
  told: "whole",
  expected: "abc",
  received: "abc",
  reason: "",
  sends: 1,
};

interface WrongHistory {
  readonly name: string;
  readonly invocation: Partial<Invocation>;
  readonly runs: number;
  readonly found: keyof HistoryFindings;
}

const WRONG_HISTORIES: readonly WrongHistory[] = [
  {
    name: "a guarded operation that ran twice",
    invocation: {},
    runs: 2,
    found: "duplicatedExecutions",
  },
  {
    name: "a refusal of an operation that ran",
    invocation: { told: "not_run", received: "" },
    runs: 1,
    found: "refusedButRan",
  },
  {
    name: "an answer that lacks its end",
    invocation: { received: "ab" },
    runs: 1,
    found: "wrongBytes",
  },
  {
    name: "an answer with a token twice",
    invocation: { received: "abbc" },
    runs: 1,
    found: "wrongBytes",
  },
  {
    name: "a part that belongs to another answer",
    invocation: { told: "in_doubt", received: "x" },
    runs: 1,
    found: "wrongBytes",
  },
  {
    name: "an accepted operation without an end",
    invocation: { told: "nothing", received: "a" },
    runs: 1,
    found: "lost",
  },
];

function findings(invocation: Partial<Invocation>, runs: number) {
  return checkHistory({
    invocations: [{ ...RIGHT, ...invocation }],
    runs: Array.from({ length: runs }, () => ({ operation: "operation-1" })),
  });
}

describe("the history checker", () => {
  test("finds nothing in a right history", () => {
    expect(findings({}, 1)).toMatchObject({
      answeredWhole: 1,
      lost: 0,
      duplicatedExecutions: 0,
      refusedButRan: 0,
      wrongBytes: 0,
      examples: [],
    });
  });

  test.each(WRONG_HISTORIES)("finds $name", ({ invocation, runs, found }) => {
    expect(findings(invocation, runs)[found]).toBe(1);
  });
});
