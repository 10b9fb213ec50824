// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Histories of concurrent runs, and the checker that reads them. It knows only
 * what callers asked and were told, and what backend servers ran.
 *
 * @module
 */

/** What a caller was told in the end. */
export type Told =
  | "whole"
  /** The work did not run. */
  | "not_run"
  /** The work ran and failed. */
  | "failed"
  /** The work may have run. */
  | "in_doubt"
  /** Nothing that ends the matter. */
  | "nothing";

/** One request of a caller, from its first send to its end. */
export interface Invocation {
  /** Names the work; the backend server sees it too. */
  readonly operation: string;
  /** Whether the work must not run twice. */
  readonly guarded: boolean;
  /** Whether the system accepted it: the answer's head came, or the key was
   * recorded. */
  readonly accepted: boolean;
  readonly told: Told;
  readonly expected: string;
  readonly received: string;
  /** Reason of the last problem document; empty for none. */
  readonly reason: string;
  /** Sends of the request, retries and returns included. */
  readonly sends: number;
}

/** One run at a backend server. */
export interface RecordedRun {
  readonly operation: string;
}

/** A whole history. */
export interface History {
  readonly invocations: readonly Invocation[];
  readonly runs: readonly RecordedRun[];
}

/** What the checker found. */
export interface HistoryFindings {
  readonly accepted: number;
  readonly answeredWhole: number;
  /** Accepted, and neither answered whole nor told how it ended. */
  readonly lost: number;
  readonly duplicatedExecutions: number;
  readonly refusedButRan: number;
  readonly wrongBytes: number;
  readonly inDoubt: number;
  /** What callers in doubt were told, by reason. */
  readonly inDoubtReasons: Readonly<Record<string, number>>;
  /** Runs at backend servers for each invocation. */
  readonly retryAmplification: number;
  /** The first operations that break an invariant. */
  readonly examples: readonly string[];
}

const MAXIMUM_EXAMPLES = 5;

/** Reads a history. */
export function checkHistory(history: History): HistoryFindings {
  const { invocations, runs } = history;
  const ran = countBy(runs.map(({ operation }) => operation));
  const runsOf = ({ operation }: Invocation) => ran.get(operation) ?? 0;
  const duplicated = invocations.filter(
    (invocation) => invocation.guarded && runsOf(invocation) > 1,
  );
  const refusedButRan = invocations.filter(
    (invocation) => invocation.told === "not_run" && runsOf(invocation) > 0,
  );
  const wrong = invocations.filter(hasWrongBytes);
  const lost = invocations.filter(
    ({ accepted, told }) => accepted && told === "nothing",
  );
  const doubts = invocations.filter(({ told }) => told === "in_doubt");
  return {
    accepted: invocations.filter(({ accepted }) => accepted).length,
    answeredWhole: invocations.filter(({ told }) => told === "whole").length,
    lost: lost.length,
    duplicatedExecutions: duplicated.length,
    refusedButRan: refusedButRan.length,
    wrongBytes: wrong.length,
    inDoubt: doubts.length,
    inDoubtReasons: Object.fromEntries(
      countBy(
        doubts.map(({ guarded, reason }) =>
          guarded ? `${reason} (once only)` : reason,
        ),
      ),
    ),
    retryAmplification:
      invocations.length === 0 ? 0 : runs.length / invocations.length,
    examples: [...duplicated, ...refusedButRan, ...wrong, ...lost]
      .slice(0, MAXIMUM_EXAMPLES)
      .map(({ operation, told }) => `${operation}: ${told}`),
  };
}

/** A whole answer must be equal, a part must be the beginning. */
function hasWrongBytes({ told, expected, received }: Invocation): boolean {
  return told === "whole"
    ? received !== expected
    : !expected.startsWith(received);
}

function countBy(names: readonly string[]): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  names.forEach((name) => counts.set(name, (counts.get(name) ?? 0) + 1));
  return counts;
}
