// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import { failed, inDoubt, type Outcome, refused } from "rampswitch-types";
import { seededRandom } from "rampswitch-utils";
import { decideRetry, RetryBudget, type RetryDecision } from "./retry.ts";

// Guards against a second run of a request that must not run twice. A request
// is also sent again without a retry decision: when it migrates, or continues on
// another host. If a server then rejects the later attempt, the last outcome is
// "not run", although an earlier attempt may have run. A decision based on the
// last outcome alone would start the request again beside the earlier run. Apart
// from the retry decision, only the migration plan prevents this, so the
// decision must be safe by itself.

type UnsuccessfulOutcome = Exclude<Outcome, { readonly kind: "completed" }>;

const OUTCOMES: readonly UnsuccessfulOutcome[] = [
  refused("connect_failed", ""),
  refused("backend_refused", ""),
  failed("backend_error", ""),
  inDoubt("backend_lost", ""),
  inDoubt("backend_timeout", ""),
];

/** Length of the longest sequences of outcomes that are tested. */
const MAXIMUM_LENGTH = 4;

/** All sequences of outcomes up to the maximum length. */
function sequences(): readonly (readonly UnsuccessfulOutcome[])[] {
  let all: readonly (readonly UnsuccessfulOutcome[])[] = [];
  let last: readonly (readonly UnsuccessfulOutcome[])[] = [[]];
  for (let length = 0; length < MAXIMUM_LENGTH; length += 1) {
    last = last.flatMap((sequence) =>
      OUTCOMES.map((outcome) => [...sequence, outcome]),
    );
    all = [...all, ...last];
  }
  return all;
}

function mayHaveRun(outcomes: readonly UnsuccessfulOutcome[]): boolean {
  return outcomes.some(({ kind }) => kind !== "refused_not_run");
}

/** The last failed attempt of a sequence of outcomes. */
function lastAttempt(
  outcomes: readonly [UnsuccessfulOutcome, ...UnsuccessfulOutcome[]],
  repeatable: boolean,
) {
  return {
    outcome: outcomes.at(-1) ?? outcomes[0],
    mayHaveRunBefore: mayHaveRun(outcomes.slice(0, -1)),
    repeatable,
    attemptsWithoutProgress: 1,
    remainingMilliseconds: 1_000,
    reason: "backend_refused",
  } as const;
}

function decide(
  outcomes: readonly UnsuccessfulOutcome[],
  repeatable: boolean,
): RetryDecision["kind"] {
  const [first, ...rest] = outcomes;
  if (first === undefined) throw new Error("outcomes, expected at least one");
  const options = { budget: new RetryBudget(), random: seededRandom(1) };
  return decideRetry(lastAttempt([first, ...rest], repeatable), options).kind;
}

describe("a retry decision", () => {
  const explored = sequences();

  test("is tested on all sequences, with and without a possible run", () => {
    const possible = explored.filter(mayHaveRun);
    expect(explored).toHaveLength(5 + 5 ** 2 + 5 ** 3 + 5 ** 4);
    expect(possible).toHaveLength(explored.length - (2 + 4 + 8 + 16));
  });

  test("never repeats a request that may have run in any attempt", () => {
    const wrong = explored
      .filter((outcomes) => decide(outcomes, false) === "retry")
      .filter(mayHaveRun)
      .map((outcomes) => outcomes.map(({ reason }) => reason).join(", "));
    expect(wrong).toEqual([]);
  });

  test("repeats requests that no server ran and all repeatable ones", () => {
    const notRun = explored.filter((outcomes) => !mayHaveRun(outcomes));
    expect(notRun.every((all) => decide(all, false) === "retry")).toBe(true);
    expect(explored.every((all) => decide(all, true) === "retry")).toBe(true);
  });
});
