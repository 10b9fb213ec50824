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

/** A run and the addresses of the two engines. */
export interface MemoryMigration {
  readonly from: string;
  readonly to: string;
  readonly attemptId: string;
}

/** What a migration works with. */
export interface MemoryMigrationParts {
  readonly control: EngineControl;
  /** Whether the run still continues at the source. */
  stillRuns(): boolean;
  /** Whether the target is still the incarnation that received the first copy. */
  targetStillRuns(): boolean;
  /** Called when a stop is requested (`true`) and when it is answered (`false`). */
  onStopChange(stopping: boolean): void;
  /** Called with the answer to each call that stops the run. */
  onStopAnswer(answer: StopAnswer): void;
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
  const migrated = await stopAndMigrate(migration, parts);
  if (migrated.isErr) parts.onUnused(copied.value.handle);
  return migrated;
}

async function stopAndMigrate(
  migration: MemoryMigration,
  parts: MemoryMigrationParts,
): Promise<Result<RetainedMemory, MemoryMigrationError>> {
  if (!parts.stillRuns()) return Result.err("run_ended");
  // The second copy holds only what is new, and the target has lost the first one.
  if (!parts.targetStillRuns()) return Result.err("target_ended");
  parts.onStopChange(true);
  const stopped = await stopRun(migration, parts);
  parts.onStopChange(false);
  if (stopped.isErr) return Result.err(stopped.error);
  if (parts.stillRuns()) return Result.ok(stopped.value);
  parts.onUnused(stopped.value.handle);
  return Result.err("run_ended");
}

/**
 * Retries once without an answer: the run may have stopped and the answer been lost. A
 * server that then knows no run tells nothing of how that ended.
 */
async function stopRun(
  migration: MemoryMigration,
  parts: MemoryMigrationParts,
): Promise<Result<RetainedMemory, MemoryCopyError>> {
  const stopped = await callStop(migration, parts);
  if (stopped.isOk || stopped.error !== "no_answer") return stopped;
  const again = await callStop(migration, parts);
  return again.isErr && again.error === "no_run" ? stopped : again;
}

async function callStop(
  migration: MemoryMigration,
  parts: MemoryMigrationParts,
): Promise<Result<RetainedMemory, MemoryCopyError>> {
  const answer = await parts.control.copyMemory({
    ...migration,
    stopsRun: true,
  });
  parts.onStopAnswer(answer.isOk ? "stopped" : answer.error);
  return answer;
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
