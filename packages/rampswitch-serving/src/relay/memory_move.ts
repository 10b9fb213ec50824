// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Moving a run's memory from one engine to another: a first copy while the run
 * goes on, then a short second one of what is new, for which it stops.
 *
 * @module
 */
import { Result } from "true-myth";
import type { EngineControl } from "../model/engine_control.ts";

/** A run and the two engines. */
export interface MemoryMove {
  readonly from: string;
  readonly to: string;
  readonly attemptId: string;
}

/** What a move works with. */
export interface MemoryMoveParts {
  readonly control: EngineControl;
  /** Whether the run still goes on where it was. */
  stillRuns(): boolean;
  /** Tells when the run's stop is asked for, and when that was answered. */
  stops(stopping: boolean): void;
}

/** Moves a run's memory; the result names the copy, or says why there is none. */
export async function moveMemory(
  move: MemoryMove,
  parts: MemoryMoveParts,
): Promise<Result<string, string>> {
  const { control } = parts;
  const copied = await control.copyMemory({ ...move, stopsRun: false });
  if (copied.isErr) return Result.err(copied.error);
  if (!parts.stillRuns()) return dropped(copied.value, move, parts);
  parts.stops(true);
  const moved = await control.copyMemory({ ...move, stopsRun: true });
  parts.stops(false);
  return moved.isOk && !parts.stillRuns()
    ? dropped(moved.value, move, parts)
    : moved.mapErr((error): string => error);
}

/** Frees the copy of a run that ended; it would hold memory and a slot. */
async function dropped(
  handle: string,
  move: MemoryMove,
  { control }: MemoryMoveParts,
): Promise<Result<string, string>> {
  const freed = await control.dropCopy(move.from, handle);
  return Result.err(freed ? "run_ended" : "run_ended_copy_kept");
}
