// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Moving a run's memory from one engine to another: a first copy while the run
 * goes on, then a short second one of what is new, for which it stops.
 *
 * @module
 */
import { Result } from "true-myth";
import type {
  EngineControl,
  KeptMemory,
  MemoryCopyError,
} from "../model/engine_control.ts";

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

/** Moves a run's memory; the result tells where it lies, or why it runs on. */
export async function moveMemory(
  move: MemoryMove,
  parts: MemoryMoveParts,
): Promise<Result<KeptMemory, string>> {
  const { control } = parts;
  const copied = await control.copyMemory({ ...move, stopsRun: false });
  if (copied.isErr) return Result.err(copied.error);
  if (!parts.stillRuns()) return dropped(copied.value, move, parts);
  parts.stops(true);
  const stopped = await stopRun(move, parts);
  parts.stops(false);
  return stopped.isOk && !parts.stillRuns()
    ? dropped(stopped.value, move, parts)
    : stopped.mapErr((error): string => error);
}

/** Asks once more where no answer came: the run may have stopped unheard. */
async function stopRun(
  move: MemoryMove,
  { control }: MemoryMoveParts,
): Promise<Result<KeptMemory, MemoryCopyError>> {
  const stopped = await control.copyMemory({ ...move, stopsRun: true });
  return stopped.isErr && stopped.error === "no_answer"
    ? control.copyMemory({ ...move, stopsRun: true })
    : stopped;
}

/** Frees the copy of a run that ended; it would hold memory and a slot. */
async function dropped(
  { handle }: KeptMemory,
  move: MemoryMove,
  { control }: MemoryMoveParts,
): Promise<Result<KeptMemory, string>> {
  const freed = await control.dropCopy(move.from, handle);
  return Result.err(freed ? "run_ended" : "run_ended_copy_kept");
}
