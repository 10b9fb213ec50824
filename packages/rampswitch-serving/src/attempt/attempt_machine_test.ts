// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import { type AttemptEvent, AttemptTracker } from "./attempt_machine.ts";

// Guards against a second run of a stream that may run only once. The stream was
// suspended for a migration, the target server rejected it, and 3 milliseconds
// later a third server got it without the memory and ran it from the start. The
// caller got a part of the first run and then the whole second run. The cause: a
// run that existed only in retained memory was counted as no run, since the stop
// and the rejection both uncounted it. The log lines of such a request, in order:
//   memory move     outcome=moved
//   request ended   outcome=completed
//                   resends=rejected,rejected,memory_moved,rejected

/** All events of a send, except the final answer. */
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

/** Maximum length of the explored event sequences. */
const DEPTH = 8;

function replay(
  repeatability: "at_most_once" | "repeatable",
  types: readonly AttemptEvent["type"][],
): AttemptTracker {
  const tracker = new AttemptTracker(repeatability);
  types.forEach((type) => tracker.handle({ type }));
  return tracker;
}

/**
 * Counts the runs that may have started at backend servers, from the events
 * alone. A written send may have started a run, unless it was not written after
 * all, the server rejected it, or it carried the memory of a suspended run.
 */
function countPossibleRuns(types: readonly AttemptEvent["type"][]): number {
  return types.reduce<{ startedRuns: number; kept: boolean; runs: number }>(
    (counted, type) => {
      if (type === "written") {
        const begins = counted.kept ? 0 : 1;
        return { ...counted, startedRuns: begins, runs: counted.runs + begins };
      }
      if (type === "stopped") return { ...counted, startedRuns: 0, kept: true };
      if (type === "not_written" || type === "rejected") {
        return {
          ...counted,
          startedRuns: 0,
          runs: counted.runs - counted.startedRuns,
        };
      }
      const ended = type === "lost" || type === "memory_lost";
      return ended || type === "answered"
        ? { ...counted, startedRuns: 0, kept: false }
        : counted;
    },
    { startedRuns: 0, kept: false, runs: 0 },
  ).runs;
}

/** All possible event sequences up to the depth. */
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

describe("attempt tracker", () => {
  const explored = sequences();

  test("explores more than 300 event sequences", () => {
    expect(explored.length).toBeGreaterThan(300);
  });

  test("reports a request as not run only if no server can have run it", () => {
    const wrong = explored.filter(
      (sequence) =>
        replay("at_most_once", sequence).certainlyNotRun &&
        (countPossibleRuns(sequence) > 0 || sequence.at(-1) === "written"),
    );
    expect(wrong).toEqual([]);
  });

  test("never sends a non-repeatable request that may have run", () => {
    const wrong = explored.filter(
      (sequence) =>
        replay("at_most_once", sequence).canSend(9) &&
        countPossibleRuns(sequence) > 0,
    );
    expect(wrong).toEqual([]);
  });

  test("detects a wrong rule: a lost send counted as not run", () => {
    const permissive = (sequence: readonly AttemptEvent["type"][]) =>
      replay(
        "at_most_once",
        sequence.map((type) => (type === "lost" ? "rejected" : type)),
      );
    const wrong = explored.filter(
      (sequence) =>
        permissive(sequence).certainlyNotRun && countPossibleRuns(sequence) > 0,
    );
    expect(wrong.length).toBeGreaterThan(0);
  });

  test("limits a repeatable request to the runs that its route allows", () => {
    const tracker = replay("repeatable", ["written", "lost"]);
    expect(tracker.canSend(1)).toBe(false);
    expect(tracker.canSend(2)).toBe(true);
  });

  test("resumes a suspended run from its memory, and never restarts it", () => {
    const wrong = explored.filter((sequence) => {
      const tracker = replay("at_most_once", sequence);
      return (
        tracker.canResume && (tracker.canSend(9) || tracker.certainlyNotRun)
      );
    });
    expect(wrong).toEqual([]);
    const tracker = replay("at_most_once", ["written", "answered", "stopped"]);
    expect(tracker.canResume).toBe(true);
  });

  test.each(["rejected", "not_written"] as const)(
    "does not change a suspended run if the send of its memory was %s",
    (type) => {
      const tracker = replay("at_most_once", [
        "written",
        "answered",
        "relayed",
        "stopped",
        "written",
        type,
      ]);
      expect(tracker.possibleRuns).toBe(1);
      expect(tracker.canResume).toBe(true);
    },
  );

  test("restarts a repeatable request after its memory is lost", () => {
    const tracker = replay("repeatable", ["written", "stopped", "memory_lost"]);
    expect(tracker.canSend(1)).toBe(false);
    expect(tracker.canSend(2)).toBe(true);
  });

  test("detects a wrong rule: a stop counted as a rejection", () => {
    const permissive = (sequence: readonly AttemptEvent["type"][]) =>
      replay(
        "at_most_once",
        sequence.map((type) => (type === "stopped" ? "rejected" : type)),
      );
    const wrong = explored.filter(
      (sequence) =>
        permissive(sequence).canSend(9) && countPossibleRuns(sequence) > 0,
    );
    expect(wrong.length).toBeGreaterThan(0);
  });
});
