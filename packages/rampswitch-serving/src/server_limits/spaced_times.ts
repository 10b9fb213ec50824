// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Times that are assigned one by one, so that refused callers return no faster than
 * they can be served. Pure.
 *
 * @module
 */

/** Maximum delay that a refused caller is given, in milliseconds. */
export const MAXIMUM_RETRY_DELAY_MILLISECONDS = 60_000;

/** What bounds the next assigned time. */
export interface TimeSpacing {
  /** Time before which nobody can be served. */
  readonly earliest: number;
  /** Time that was assigned last. */
  readonly previous: number;
  /** Time between two assigned times, in milliseconds. */
  readonly spacing: number;
}

/** Returns the next time to assign, at most the maximum retry delay from now. */
export function nextSpacedTime(
  { earliest, previous, spacing }: TimeSpacing,
  now: number,
): number {
  return Math.min(
    Math.max(now, earliest, previous + spacing),
    now + MAXIMUM_RETRY_DELAY_MILLISECONDS,
  );
}
