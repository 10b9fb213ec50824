// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Calls to model engines beside requests.
 *
 * @module
 */
import type { Result } from "true-myth";
import type { ServerStatements } from "./request.ts";

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

/** Memory that an engine keeps or holds a copy of. */
export interface KeptMemory {
  /** Names the memory at the engine that was copied from. */
  readonly handle: string;
  /** Whether the other engine has it too; if not, only the first keeps it. */
  readonly copied: boolean;
}

/** Why there is neither a copy nor a stopped run. */
export type MemoryCopyError =
  "no_run" | "under_way" | "no_room" | "no_answer" | "refused";

/** What an engine says of itself. */
export interface EngineReport {
  /** Milliseconds until it ends, where it knows. */
  readonly leavesMilliseconds: number | undefined;
  /** Start of its life, in milliseconds since 1970, where it tells one. */
  readonly born: number | undefined;
  readonly says: ServerStatements;
}

/** Calls to model engines. */
export interface EngineControl {
  /** What the engine at an address says; nothing where it does not answer. */
  report(address: string): Promise<EngineReport | undefined>;
  /**
   * Copies a run's memory. A run that is to stop may stop although the other
   * engine has no room: its memory then lies where it ran.
   */
  copyMemory(copy: MemoryCopy): Promise<Result<KeptMemory, MemoryCopyError>>;
  /** Frees a copy that nobody needs any more; tells whether it was freed. */
  dropCopy(from: string, handle: string): Promise<boolean>;
}
