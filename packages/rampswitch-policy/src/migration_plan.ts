// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Decides what happens to a run when its backend server's host is reclaimed.
 *
 * @module
 */

/** A run on a host that is leaving. */
export interface RunOnLeavingHost {
  /** Milliseconds until the host is reclaimed; `undefined` if unknown. */
  readonly remainingMilliseconds: number | undefined;
  /** Maximum number of tokens that are still to be generated. */
  readonly remainingTokens: number;
  /** Milliseconds between generated tokens. */
  readonly tokenMilliseconds: number;
  /** Whether the request may run twice. */
  readonly repeatable: boolean;
  /** Whether both servers can migrate the KV cache. */
  readonly canMigrateCache: boolean;
}

/**
 * `finish`: the run stays, because it ends in time or must not run twice.
 * `move_cache`: the run migrates together with its KV cache. `resume`: the
 * request continues on another server from the tokens already delivered.
 */
export type MigrationPlan = "finish" | "move_cache" | "resume";

/** Time reserved before the host is reclaimed, in milliseconds. */
const RECLAIM_MARGIN_MILLISECONDS = 500;
/** Maximum duration of a KV-cache migration, in milliseconds. */
export const MAXIMUM_CACHE_MIGRATION_MILLISECONDS = 2_000;

/** Plans what happens to one run. */
export function planMigration(run: RunOnLeavingHost): MigrationPlan {
  if (!run.repeatable) return "finish";
  const remaining = run.remainingMilliseconds ?? Number.POSITIVE_INFINITY;
  const runMilliseconds = run.remainingTokens * run.tokenMilliseconds;
  if (runMilliseconds + RECLAIM_MARGIN_MILLISECONDS < remaining)
    return "finish";
  const hasTimeToMigrate =
    remaining >
    MAXIMUM_CACHE_MIGRATION_MILLISECONDS + RECLAIM_MARGIN_MILLISECONDS;
  return run.canMigrateCache && hasTimeToMigrate ? "move_cache" : "resume";
}
