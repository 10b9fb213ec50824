// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * What to do with running work when its backend server's host is reclaimed.
 *
 * @module
 */

/** A running answer on a host that is leaving. */
export interface RunOnLeavingHost {
  /** Milliseconds until the host is taken; absent where nobody said. */
  readonly remainingMilliseconds: number | undefined;
  /** Tokens that may still come. */
  readonly remainingTokens: number;
  readonly tokenMilliseconds: number;
  /** Whether the work may run twice. */
  readonly repeatable: boolean;
  /** Whether both servers can move KV cache. */
  readonly movesCache: boolean;
}

/**
 * `finish`: leave it, it ends in time or must not run twice. `move_cache`:
 * move it with its KV cache. `resume`: go on elsewhere from what was delivered.
 */
export type MigrationPlan = "finish" | "move_cache" | "resume";

/** Time kept free before the host is taken, in milliseconds. */
const RECLAIM_MARGIN_MILLISECONDS = 500;
/** Longest time that a move of KV cache is given, in milliseconds. */
export const CACHE_MOVE_MILLISECONDS = 2_000;

/** Plans for one running answer. */
export function planMove(run: RunOnLeavingHost): MigrationPlan {
  if (!run.repeatable) return "finish";
  const remaining = run.remainingMilliseconds ?? Number.POSITIVE_INFINITY;
  const runMilliseconds = run.remainingTokens * run.tokenMilliseconds;
  if (runMilliseconds + RECLAIM_MARGIN_MILLISECONDS < remaining)
    return "finish";
  const hasTimeToMigrate =
    remaining > CACHE_MOVE_MILLISECONDS + RECLAIM_MARGIN_MILLISECONDS;
  return run.movesCache && hasTimeToMigrate ? "move_cache" : "resume";
}
