// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Calls to model engines beside requests.
 *
 * @module
 */
import type { Result } from "true-myth";

/** A run whose memory is to be copied to another engine. */
export interface MemoryCopy {
  /** Address of the engine that runs the request. */
  readonly from: string;
  /** Address of the engine that gets the copy. */
  readonly to: string;
  readonly attemptId: string;
  /** Whether the run stops, so that it can go on from the copy. */
  readonly stopsRun: boolean;
}

/** Why a copy failed. */
export type MemoryCopyError =
  "no_run" | "under_way" | "no_room" | "no_answer" | "refused";

/** Calls to model engines. */
export interface EngineControl {
  /** Milliseconds until an engine ends, where it knows. */
  leavesIn(address: string): Promise<number | undefined>;
  /** Copies a run's memory; the value is the handle of the copy. */
  copyMemory(copy: MemoryCopy): Promise<Result<string, MemoryCopyError>>;
  /** Frees a copy that nobody needs any more; tells whether it was freed. */
  dropCopy(from: string, handle: string): Promise<boolean>;
}
