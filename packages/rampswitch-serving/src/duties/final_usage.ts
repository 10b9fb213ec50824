// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Which windows' usage is final. A window that was final once is never counted
 * again, so the set of final windows only grows, whatever any clock says. It is kept
 * as ranges of window numbers: windows follow each other, so that there are few.
 *
 * @module
 */
import type { UsageCounts } from "./usage_counter.ts";

/** Final reports by window. */
export type FinalReports = Readonly<Record<string, UsageCounts>>;

/** Windows from the first to the last one, both included. */
export type WindowRange = readonly [first: number, last: number];

/** Usage that is final, as the lease object holds it. */
export interface FinalUsage {
  /** Reports that the next holder sends again; those of the newest windows. */
  readonly reports: FinalReports;
  /** All windows that are final: ranges that rise and don't touch. */
  readonly windows: readonly WindowRange[];
  /** Whether other windows may be final too, since a lease could not be read. */
  readonly incomplete: boolean;
}

/** Usage of a fleet that never reported any. */
export const NO_FINAL_USAGE: FinalUsage = {
  reports: {},
  windows: [],
  incomplete: false,
};

/**
 * Ranges that are kept apart. Only windows that no host reported leave gaps, one for
 * each outage; and each needs some 25 bytes in the lease object.
 */
const MAXIMUM_RANGES = 32;

/** What is final by either of two leases. */
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

/** Whether the lease object should hold a state at once in place of another. */
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
 * Ranges with more windows. Where there are too many, the lowest ones are joined:
 * the windows between them are the oldest, and are never reported.
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
 * Final usage of a lease that a former program wrote. It let older windows go, so
 * that all up to the newest one that it names may have been reported.
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
