// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Calls to model engines other than callers' requests.
 *
 * @module
 */
import type { Result } from "true-myth";
import type { ServerAdvertisements } from "./request.ts";

/** A run whose KV-cache memory is to be copied to another engine. */
export interface MemoryCopy {
  /** Address of the engine that runs the request. */
  readonly from: string;
  /** Address of the engine that receives the copy. */
  readonly to: string;
  readonly attemptId: string;
  /** Whether the run stops, so that it can continue from the copy. */
  readonly stopsRun: boolean;
}

/** Memory that an engine retains, and that another may have copied. */
export interface RetainedMemory {
  /** Identifies the memory at the engine that it was copied from. */
  readonly handle: string;
  /** Whether the other engine has a copy; if not, only the first retains it. */
  readonly copied: boolean;
}

/**
 * Why a call named no memory. After all but the first two, a run that was to stop may
 * have stopped.
 */
export type MemoryCopyError =
  /** The engine does not know the run. */
  | "no_run"
  /** The call was never sent. */
  | "not_connected"
  /** The engine is busy with an earlier call. */
  | "under_way"
  /** The receiving engine has no capacity. */
  | "no_room"
  /** The answer was lost, or a part of it. */
  | "no_answer"
  | "refused";

/** State that an engine reports of itself. */
export interface EngineReport {
  /** Milliseconds until it ends, if it knows. */
  readonly endsInMilliseconds: number | undefined;
  /** Start of its incarnation, in milliseconds since 1970, if it reports one. */
  readonly born: number | undefined;
  readonly advertised: ServerAdvertisements;
}

/** Calls to model engines. */
export interface EngineControl {
  /** Report of the engine at an address; `undefined` if it does not answer. */
  report(address: string): Promise<EngineReport | undefined>;
  /**
   * Copies a run's memory. A run that is to stop may stop although the other
   * engine has no capacity: its memory is then retained where it ran.
   */
  copyMemory(
    copy: MemoryCopy,
  ): Promise<Result<RetainedMemory, MemoryCopyError>>;
  /** Frees a copy that is no longer needed; returns whether it was freed. */
  dropCopy(from: string, handle: string): Promise<boolean>;
}
