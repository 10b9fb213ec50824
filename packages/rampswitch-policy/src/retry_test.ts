// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import { failed, inDoubt, type Outcome, refused } from "rampswitch-types";
import { seededRandom } from "rampswitch-utils";
import { decideRetry, RetryBudget, type RetryDecision } from "./retry.ts";

// A request is also sent again without a decision on its failed attempt: when
// it is moved, or goes on at another host. If a server then rejects the further
// attempt, its outcome says "not run", although the attempt before may have run.
// A decision from the last outcome alone lets a request that must not run twice
// begin again beside the run that it forgets. Elsewhere only the plan of a move
// stands between the two, so the decision has to be safe by itself.

type UnsuccessfulOutcome = Exclude<Outcome, { readonly kind: "completed" }>;

const OUTCOMES: readonly UnsuccessfulOutcome[] = [
  refused("connect_failed", ""),
  refused("backend_refused", ""),
  failed("backend_error", ""),
  inDoubt("backend_lost", ""),
  inDoubt("backend_timeout", ""),
];

/** Longest sequence of outcomes that is explored. */
const MAXIMUM_LENGTH = 4;

/** All sequences of outcomes up to the depth, whoever sent each attempt. */
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

/** The failed attempt that ends a sequence of outcomes. */
function lastAttempt(
  outcomes: readonly [UnsuccessfulOutcome, ...UnsuccessfulOutcome[]],
  repeatable: boolean,
) {
  return {
    outcome: outcomes.at(-1) ?? outcomes[0],
    mayHaveRunBefore: mayHaveRun(outcomes.slice(0, -1)),
    repeatable,
    attempts: 1,
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

describe("a decision on a retry", () => {
  const explored = sequences();

  test("explores all sequences, with and without a possible run", () => {
    const possible = explored.filter(mayHaveRun);
    expect(explored).toHaveLength(5 + 5 ** 2 + 5 ** 3 + 5 ** 4);
    expect(possible).toHaveLength(explored.length - (2 + 4 + 8 + 16));
  });

  test("never repeats what may have run in any earlier attempt", () => {
    const wrong = explored
      .filter((outcomes) => decide(outcomes, false) === "retry")
      .filter(mayHaveRun)
      .map((outcomes) => outcomes.map(({ reason }) => reason).join(", "));
    expect(wrong).toEqual([]);
  });

  test("repeats what no server ran, and all that is repeatable", () => {
    const notRun = explored.filter((outcomes) => !mayHaveRun(outcomes));
    expect(notRun.every((all) => decide(all, false) === "retry")).toBe(true);
    expect(explored.every((all) => decide(all, true) === "retry")).toBe(true);
  });
});
