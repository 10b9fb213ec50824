// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Tracks the windows whose usage is final. A window that was once final is
 * never counted again, so the set of final windows only grows, whatever any
 * clock shows. It is stored as ranges of window numbers. Windows follow each
 * other, so there are few ranges.
 *
 * @module
 */
import type { UsageCounts } from "./usage_counter.ts";

/** Final reports by window. */
export type FinalReports = Readonly<Record<string, UsageCounts>>;

/** Windows from the first to the last one, both included. */
export type WindowRange = readonly [first: number, last: number];

/** Final usage as the lease object holds it. */
export interface FinalUsage {
  /** Reports of the newest windows, which the next holder sends again. */
  readonly reports: FinalReports;
  /** All final windows, as rising ranges that don't touch. */
  readonly windows: readonly WindowRange[];
  /**
   * Whether other windows may be final too, since a lease could not be read.
   */
  readonly incomplete: boolean;
}

/** Usage of a fleet that never reported any. */
export const NO_FINAL_USAGE: FinalUsage = {
  reports: {},
  windows: [],
  incomplete: false,
};

/**
 * Maximum number of separate ranges. Only windows that no host reported leave
 * gaps, one for each outage, and each range needs some 25 bytes in the lease
 * object.
 */
const MAXIMUM_RANGES = 32;

/** Returns the usage that is final in either of two leases. */
export function mergeFinalUsage(
  one: FinalUsage = NO_FINAL_USAGE,
  other: FinalUsage = NO_FINAL_USAGE,
): FinalUsage {
  return {
    reports: { ...one.reports, ...other.reports },
    windows: mergeWindows(one.windows, other.windows),
    incomplete: one.incomplete || other.incomplete,
  };
}

/** Whether a window is final. */
export function isFinal({ windows }: FinalUsage, window: number): boolean {
  return windows.some(([first, last]) => window >= first && window <= last);
}

/**
 * Whether the lease object should be updated at once, before a renewal is due.
 */
export function shouldStoreAtOnce(
  final: FinalUsage,
  before: FinalUsage,
): boolean {
  return (
    final.incomplete !== before.incomplete ||
    Object.keys(final.reports).some(
      (window) => before.reports[window] === undefined,
    )
  );
}

/**
 * Adds windows to ranges. If there are too many ranges, the lowest ones are
 * joined: the windows between them are the oldest, and are never reported.
 */
export function mergeWindows(
  ranges: readonly WindowRange[],
  added: readonly WindowRange[],
): readonly WindowRange[] {
  const joined = [...ranges, ...added]
    .toSorted(([left], [right]) => left - right)
    .reduce<readonly WindowRange[]>(joinWithLast, []);
  const surplus = joined.length - MAXIMUM_RANGES;
  if (surplus <= 0) return joined;
  const lowest = joined.slice(0, surplus + 1);
  return [
    [lowest[0]?.[0] ?? 0, lowest.at(-1)?.[1] ?? 0],
    ...joined.slice(surplus + 1),
  ];
}

/**
 * Returns the final usage of a lease that an earlier version of the program
 * wrote. That version dropped older windows, so all up to the newest one in the
 * lease may have been reported.
 */
export function finalUsageFromReports(reports: FinalReports): FinalUsage {
  const newest = Math.max(...Object.keys(reports).map(Number));
  return {
    reports,
    windows: Number.isFinite(newest) ? [[0, newest]] : [],
    incomplete: false,
  };
}

function joinWithLast(
  ranges: readonly WindowRange[],
  next: WindowRange,
): readonly WindowRange[] {
  const last = ranges.at(-1);
  if (last === undefined || next[0] > last[1] + 1) return [...ranges, next];
  return [...ranges.slice(0, -1), [last[0], Math.max(last[1], next[1])]];
}
