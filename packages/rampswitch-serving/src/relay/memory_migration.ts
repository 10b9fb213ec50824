// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Migrates a run's KV-cache memory from one engine to another: a first copy while
 * the run continues, then a short second copy of what was added since, for which
 * the run is stopped.
 *
 * @module
 */
import { Result } from "true-myth";
import type {
  EngineControl,
  RetainedMemory,
  MemoryCopyError,
} from "../model/engine_control.ts";
import { mayHaveStopped } from "./run_stops.ts";

/** A run and the addresses of the two engines. */
export interface MemoryMigration {
  readonly from: string;
  readonly to: string;
  readonly attemptId: string;
}

/** What a migration works with. */
export interface MemoryMigrationParts {
  readonly control: Pick<EngineControl, "copyMemory">;
  /** Makes one call that stops the run. */
  callStop(): Promise<Result<RetainedMemory, MemoryCopyError>>;
  /**
   * Waits after as many calls without a handle; resolves to whether a further one is
   * worthwhile.
   */
  waitForNextStop(calls: number): Promise<boolean>;
  /** Whether the run still continues at the source. */
  stillRuns(): boolean;
  /** Whether the target is still the incarnation that received the first copy. */
  targetStillRuns(): boolean;
  /** Called when a stop is requested (`true`) and when it is answered (`false`). */
  onStopChange(stopping: boolean): void;
  /** Called with the handle of memory from which no run will resume. */
  onUnused(handle: string): void;
}

/** What a call that stops a run was answered. */
export type StopAnswer = "stopped" | MemoryCopyError;

/** Why a run was not stopped, or is not to be resumed elsewhere. */
export type MemoryMigrationError =
  MemoryCopyError | "run_ended" | "target_ended";

/** Migrates a run's memory; resolves to its location, or to why it failed. */
export async function migrateMemory(
  migration: MemoryMigration,
  parts: MemoryMigrationParts,
): Promise<Result<RetainedMemory, MemoryMigrationError>> {
  const copied = await parts.control.copyMemory({
    ...migration,
    stopsRun: false,
  });
  if (copied.isErr) return Result.err(copied.error);
  const migrated = await stopAndMigrate(parts);
  if (migrated.isErr) parts.onUnused(copied.value.handle);
  return migrated;
}

async function stopAndMigrate(
  parts: MemoryMigrationParts,
): Promise<Result<RetainedMemory, MemoryMigrationError>> {
  if (!parts.stillRuns()) return Result.err("run_ended");
  // The second copy holds only what is new, and the target has lost the first one.
  if (!parts.targetStillRuns()) return Result.err("target_ended");
  parts.onStopChange(true);
  const stopped = await stopRun(parts);
  parts.onStopChange(false);
  if (stopped.isErr) return Result.err(stopped.error);
  if (parts.stillRuns()) return Result.ok(stopped.value);
  parts.onUnused(stopped.value.handle);
  return Result.err("run_ended");
}

/**
 * Calls until a handle names the memory of the stopped run, or none is to be had. The
 * outcome of the calls is that of the first one that may have stopped the run.
 */
async function stopRun(
  parts: MemoryMigrationParts,
  former: readonly MemoryCopyError[] = [],
): Promise<Result<RetainedMemory, MemoryCopyError>> {
  const stopped = await parts.callStop();
  if (stopped.isOk) return stopped;
  const errors = [...former, stopped.error];
  const isSettled = isRepeated(errors);
  if (!isSettled && (await parts.waitForNextStop(errors.length)))
    return stopRun(parts, errors);
  return Result.err(errors.find(mayHaveStopped) ?? stopped.error);
}

/** Whether the last two calls agree that there is nothing to stop, or nobody to ask. */
function isRepeated(errors: readonly MemoryCopyError[]): boolean {
  const [last, previous] = errors.toReversed();
  return last !== undefined && last === previous && !mayHaveStopped(last);
}

/**
 * Frees memory from which no run resumes; it would occupy memory and a slot at two
 * servers. The source frees both copies; if the source is gone, the target frees
 * its own.
 */
export async function dropMemory<Holder>(
  holders: { readonly from: Holder; readonly to: Holder | undefined },
  dropAt: (holder: Holder) => Promise<boolean>,
): Promise<boolean> {
  const { from, to } = holders;
  return (await dropAt(from)) || (to !== undefined && dropAt(to));
}
