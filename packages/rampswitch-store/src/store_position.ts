// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Positions in the history of a store, over all of its eras. A store that was
 * restored from a copy assigns the same revisions again, so a revision is unique
 * only within one era: the time between two restores. A position combines era and
 * revision in one number; a later era has greater positions, whatever the revision.
 * A store that reports no era has one, era 0.
 *
 * @module
 */

/** Number of revisions in one era; positions are exact integers for 2^20 eras. */
const REVISIONS_PER_ERA = 2 ** 32;

/** Returns the position of a revision in an era. */
export function positionOf(era: number, revision: number): number {
  return era * REVISIONS_PER_ERA + revision;
}

/** Returns the era of a position. */
export function eraOf(position: number): number {
  return Math.floor(position / REVISIONS_PER_ERA);
}

/** Returns the revision of a position, within its era. */
export function revisionOf(position: number): number {
  return position % REVISIONS_PER_ERA;
}
