// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import { type AttemptEvent, AttemptTruth } from "./attempt_machine.ts";

// A stream that must run once was stopped so that its memory could move to
// another server. That server turned it away, three milliseconds later a third
// one got it without the memory and ran it from the start, and the caller got
// the pieces of the first run and then all of the second. The stop had taken the
// run back, and the rejection took it back once more, so that nothing seemed to
// have run: a run that exists only in kept memory counted as no run. The lines
// of one request that settled it, in order:
//   memory move     outcome=moved
//   request ended   outcome=completed
//                   resends=rejected,rejected,memory_moved,rejected

/** Everything that can happen to a send, the final answer aside. */
const EVENTS: readonly AttemptEvent["type"][] = [
  "written",
  "not_written",
  "rejected",
  "answered",
  "relayed",
  "lost",
  "stopped",
  "memory_lost",
];

/** Longest sequence of events that is explored. */
const DEPTH = 8;

function replay(
  repeatability: "at_most_once" | "repeatable",
  types: readonly AttemptEvent["type"][],
): AttemptTruth {
  const truth = new AttemptTruth(repeatability);
  types.forEach((type) => truth.handle({ type }));
  return truth;
}

/**
 * What really happened at backend servers, told by the events alone: a send
 * that was written may have begun a run unless the server rejected it, or it
 * carried the memory of a run that had stopped.
 */
function mayHaveRun(types: readonly AttemptEvent["type"][]): number {
  return types.reduce<{ begins: number; kept: boolean; runs: number }>(
    (world, type) => {
      if (type === "written") {
        const begins = world.kept ? 0 : 1;
        return { ...world, begins, runs: world.runs + begins };
      }
      if (type === "stopped") return { ...world, begins: 0, kept: true };
      if (type === "not_written" || type === "rejected") {
        return { ...world, begins: 0, runs: world.runs - world.begins };
      }
      const ended = type === "lost" || type === "memory_lost";
      return ended || type === "answered"
        ? { ...world, begins: 0, kept: false }
        : world;
    },
    { begins: 0, kept: false, runs: 0 },
  ).runs;
}

/** All sequences up to the depth, each a real order of events. */
function sequences(): readonly (readonly AttemptEvent["type"][])[] {
  let all: readonly (readonly AttemptEvent["type"][])[] = [[]];
  let last = all;
  for (let length = 0; length < DEPTH; length += 1) {
    last = last.flatMap((sequence) =>
      EVENTS.filter((type) => canFollow(sequence, type)).map((type) => [
        ...sequence,
        type,
      ]),
    );
    all = [...all, ...last];
  }
  return all;
}

function canFollow(
  sequence: readonly AttemptEvent["type"][],
  type: AttemptEvent["type"],
): boolean {
  const { state } = replay("repeatable", sequence);
  const allowed: Readonly<Record<string, readonly AttemptEvent["type"][]>> = {
    waiting: ["written"],
    sent: ["not_written", "rejected", "answered", "lost", "stopped"],
    running: ["relayed", "lost", "stopped"],
    suspended: ["written", "lost", "memory_lost"],
    resuming: ["not_written", "rejected", "answered", "lost", "stopped"],
  };
  return allowed[state]?.includes(type) ?? false;
}

describe("truth about an attempt", () => {
  const explored = sequences();

  test("explores a number of orders worth the name", () => {
    expect(explored.length).toBeGreaterThan(300);
  });

  test("says not run only when no server can have run it", () => {
    const wrong = explored.filter(
      (sequence) =>
        replay("at_most_once", sequence).surelyNotRun &&
        (mayHaveRun(sequence) > 0 || sequence.at(-1) === "written"),
    );
    expect(wrong).toEqual([]);
  });

  test("never sends what may have run when it must not be repeated", () => {
    const wrong = explored.filter(
      (sequence) =>
        replay("at_most_once", sequence).maySend(9) && mayHaveRun(sequence) > 0,
    );
    expect(wrong).toEqual([]);
  });

  test("a wrong rule is found: a lost send taken for not run", () => {
    const forgiving = (sequence: readonly AttemptEvent["type"][]) =>
      replay(
        "at_most_once",
        sequence.map((type) => (type === "lost" ? "rejected" : type)),
      );
    const wrong = explored.filter(
      (sequence) =>
        forgiving(sequence).surelyNotRun && mayHaveRun(sequence) > 0,
    );
    expect(wrong.length).toBeGreaterThan(0);
  });

  test("a repeatable request stays within the runs that its route allows", () => {
    const truth = replay("repeatable", ["written", "lost"]);
    expect(truth.maySend(1)).toBe(false);
    expect(truth.maySend(2)).toBe(true);
  });

  test("a stopped run goes on from its memory, and never begins anew", () => {
    const wrong = explored.filter((sequence) => {
      const truth = replay("at_most_once", sequence);
      return truth.mayGoOn && (truth.maySend(9) || truth.surelyNotRun);
    });
    expect(wrong).toEqual([]);
    const truth = replay("at_most_once", ["written", "answered", "stopped"]);
    expect(truth.mayGoOn).toBe(true);
  });

  test.each(["rejected", "not_written"] as const)(
    "a send of kept memory that was %s leaves the run as it was",
    (type) => {
      const truth = replay("at_most_once", [
        "written",
        "answered",
        "relayed",
        "stopped",
        "written",
        type,
      ]);
      expect(truth.possibleRuns).toBe(1);
      expect(truth.mayGoOn).toBe(true);
    },
  );

  test("what may be repeated begins anew once the memory is lost", () => {
    const truth = replay("repeatable", ["written", "stopped", "memory_lost"]);
    expect(truth.maySend(1)).toBe(false);
    expect(truth.maySend(2)).toBe(true);
  });

  test("a wrong rule is found: a stop taken for a rejection", () => {
    const forgiving = (sequence: readonly AttemptEvent["type"][]) =>
      replay(
        "at_most_once",
        sequence.map((type) => (type === "stopped" ? "rejected" : type)),
      );
    const wrong = explored.filter(
      (sequence) => forgiving(sequence).maySend(9) && mayHaveRun(sequence) > 0,
    );
    expect(wrong.length).toBeGreaterThan(0);
  });
});
