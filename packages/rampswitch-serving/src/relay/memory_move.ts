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
  /** Whether the target still lives the life that got the first copy. */
  targetLives(): boolean;
  /** Tells when the run's stop is asked for, and when that was answered. */
  stops(stopping: boolean): void;
  /** Takes the handle of memory that nobody will go on from. */
  unused(handle: string): void;
}

/** Why a run was not stopped, or is not to be sent on. */
export type MemoryMoveError = MemoryCopyError | "run_ended" | "target_ended";

/** Moves a run's memory; the result tells where it lies, or why it runs on. */
export async function moveMemory(
  move: MemoryMove,
  parts: MemoryMoveParts,
): Promise<Result<KeptMemory, MemoryMoveError>> {
  const copied = await parts.control.copyMemory({ ...move, stopsRun: false });
  if (copied.isErr) return Result.err(copied.error);
  const moved = await stopAndMove(move, parts);
  if (moved.isErr) parts.unused(copied.value.handle);
  return moved;
}

async function stopAndMove(
  move: MemoryMove,
  parts: MemoryMoveParts,
): Promise<Result<KeptMemory, MemoryMoveError>> {
  if (!parts.stillRuns()) return Result.err("run_ended");
  // The second copy is of what is new alone, and the first one is lost.
  if (!parts.targetLives()) return Result.err("target_ended");
  parts.stops(true);
  const stopped = await stopRun(move, parts);
  parts.stops(false);
  if (stopped.isErr) return Result.err(stopped.error);
  if (parts.stillRuns()) return Result.ok(stopped.value);
  parts.unused(stopped.value.handle);
  return Result.err("run_ended");
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

/**
 * Frees memory that nobody goes on from; it would hold room and a place at two
 * servers. The source frees both ends, and the target its own once that is gone.
 */
export async function dropMemory<Holder>(
  holders: { readonly from: Holder; readonly to: Holder | undefined },
  dropAt: (holder: Holder) => Promise<boolean>,
): Promise<boolean> {
  const { from, to } = holders;
  return (await dropAt(from)) || (to !== undefined && dropAt(to));
}

/**
 * Stops a run that goes on elsewhere without its memory, at a server that may not
 * have heard that its connection closed; resolves to what came of it.
 */
export async function stopLeftRun(
  move: MemoryMove,
  { control, unused }: Pick<MemoryMoveParts, "control" | "unused">,
): Promise<"stopped" | MemoryCopyError> {
  const stopped = await control.copyMemory({ ...move, stopsRun: true });
  if (stopped.isErr) return stopped.error;
  unused(stopped.value.handle);
  return "stopped";
}
