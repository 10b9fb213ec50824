// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Positions in the history of a store. A store that came back from a copy gives its
 * revisions out again, so that a revision means something only within one era. A
 * position is the pair of both as one number: that of a later era is greater, whatever
 * its revision. A store that names no era has one.
 *
 * @module
 */

/** Revisions in one era; positions of 2^20 eras are exact. */
const REVISIONS_PER_ERA = 2 ** 32;

/** The position of a revision. */
export function positionOf(era: number, revision: number): number {
  return era * REVISIONS_PER_ERA + revision;
}

/** Era of a position. */
export function eraOf(position: number): number {
  return Math.floor(position / REVISIONS_PER_ERA);
}

/** Revision of a position, within its era. */
export function revisionOf(position: number): number {
  return position % REVISIONS_PER_ERA;
}
