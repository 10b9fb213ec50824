// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * How often a host stores the streams that it has begun. All hosts together keep to a
 * share of the writes that the store takes, and a long object is written less often. Pure.
 *
 * @module
 */

/** What the interval depends on. */
export interface WriteLoad {
  /** Number of hosts that may write; `undefined` while it is unknown. */
  readonly hosts: number | undefined;
  /** Writes that the store takes from all hosts together, by second. */
  readonly storeWritesPerSecond: number;
  /** Streams in the object that was written last. */
  readonly streams: number;
}

/** Share of the store's writes that all hosts together may use for new streams. */
const WRITES_SHARE = 1 / 3;

/** Shortest time between two writes, in milliseconds. */
const MINIMUM_INTERVAL_MILLISECONDS = 100;

/** Longest time between two writes while streams begin, in milliseconds. */
export const MAXIMUM_INTERVAL_MILLISECONDS = 1_000;

/** Time between two writes for each stream that is written, in milliseconds. */
const MILLISECONDS_PER_STREAM = 0.1;

const MILLISECONDS_PER_SECOND = 1_000;

/** Time from one write to the next that stores new streams, in milliseconds. */
export function writeIntervalMilliseconds({
  hosts,
  storeWritesPerSecond,
  streams,
}: WriteLoad): number {
  if (hosts === undefined) return MAXIMUM_INTERVAL_MILLISECONDS;
  const writesPerSecond = storeWritesPerSecond * WRITES_SHARE;
  const interval = Math.max(
    MINIMUM_INTERVAL_MILLISECONDS,
    (hosts * MILLISECONDS_PER_SECOND) / writesPerSecond,
    streams * MILLISECONDS_PER_STREAM,
  );
  return Math.min(interval, MAXIMUM_INTERVAL_MILLISECONDS);
}
