// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * What a process takes of its machine, as the system counts it.
 *
 * @module
 */
import { readdirSync, readFileSync } from "node:fs";

const KIBIBYTES_PER_MEBIBYTE = 1024;

/** What a process takes of its machine. */
export interface ProcessUse {
  /** Most resident memory so far, in MB. */
  readonly peakMegabytes: number;
  readonly descriptors: number;
}

/** What a process takes; nothing if it has ended. */
export function processUse(
  processId: number | undefined,
): ProcessUse | undefined {
  if (processId === undefined) return undefined;
  const status = readFileSync(`/proc/${processId}/status`, "utf8");
  const [, peak] = /VmHWM:\s+(\d+) kB/.exec(status) ?? [];
  return {
    peakMegabytes: Number(peak) / KIBIBYTES_PER_MEBIBYTE,
    descriptors: readdirSync(`/proc/${processId}/fd`).length,
  };
}
