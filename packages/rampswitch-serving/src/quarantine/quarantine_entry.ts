// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * What is known of one request under which backend servers ended, and when it may
 * run next. Pure: entries of all hosts merge to the same one, in whatever order
 * and however often they come.
 *
 * @module
 */

/** One request that is suspected to crash servers. All times on one steady clock. */
export interface QuarantineEntry {
  /**
   * Lives of servers that ended under the request since it last ran whole, and
   * when. Lives and not servers: one that crashed is back after seconds.
   */
  readonly lostLives: ReadonlyMap<string, number>;
  /** When a trial of it last began; `-Infinity` before the first. */
  readonly triedAt: number;
  /** When it last ran whole; `-Infinity` if it never did. */
  readonly ranWholeAt: number;
}

/** An entry of which nothing is known yet. */
export const EMPTY_ENTRY: QuarantineEntry = {
  lostLives: new Map(),
  triedAt: -Infinity,
  ranWholeAt: -Infinity,
};

/**
 * Time until the next trial after so many lost servers, in milliseconds; the last
 * one stands for all greater numbers. One loss says little: up to `slots` requests
 * break with each server. With two, one trial a second costs an innocent request
 * little. From three on each trial most likely costs a server and all that runs
 * there, so they come ten times as rarely each time.
 */
const TRIAL_WAITS: readonly number[] = [0, 0, 1_000, 10_000, 100_000, 600_000];

/** Lost servers from which a request runs as a trial only. */
export const LOSSES_TO_HOLD = 2;

/** Lost servers from which the store keeps a request, so that it outlasts hosts. */
export const LOSSES_TO_STORE = 3;

/** An entry is forgotten after this time without news, in milliseconds. */
const REMEMBERED_MILLISECONDS = 60_000;

/** The same from {@link LOSSES_TO_STORE} on: several times the longest wait. */
const STORED_MILLISECONDS = 3_600_000;

/**
 * Difference of two times that hosts tell of the same moment, in milliseconds.
 * Without it a time that is told back and forth grows with each message.
 */
const TOLD_TOLERANCE_MILLISECONDS = 200;

/** Lost lives that an entry keeps, the newest ones; more change nothing. */
const KEPT_LIVES = TRIAL_WAITS.length + 2;

/** Joins what two hosts know of one request. */
export function merged(
  known: QuarantineEntry,
  heard: QuarantineEntry,
): QuarantineEntry {
  const ranWholeAt = later(known.ranWholeAt, heard.ranWholeAt);
  const lives = [...known.lostLives, ...heard.lostLives].reduce(
    (joined, [life, at]) =>
      joined.set(life, Math.min(at, joined.get(life) ?? Infinity)),
    new Map<string, number>(),
  );
  const counted = [...lives]
    .filter(([, at]) => at > ranWholeAt)
    .toSorted(([left, before], [right, after]) =>
      before === after ? (left < right ? -1 : 1) : before - after,
    );
  return {
    ranWholeAt,
    triedAt: later(known.triedAt, heard.triedAt),
    lostLives: new Map(counted.slice(-KEPT_LIVES)),
  };
}

/** Whether an entry tells something that another one does not. */
export function tellsMore(
  entry: QuarantineEntry,
  before: QuarantineEntry,
): boolean {
  return (
    entry.ranWholeAt !== before.ranWholeAt ||
    entry.triedAt !== before.triedAt ||
    [...entry.lostLives.keys()].some((life) => !before.lostLives.has(life))
  );
}

/** Whether the request runs as a trial only. */
export function isHeld({ lostLives }: QuarantineEntry): boolean {
  return lostLives.size >= LOSSES_TO_HOLD;
}

/** When the next trial is due; `-Infinity` where the request may run freely. */
export function trialDueAt(entry: QuarantineEntry): number {
  if (!isHeld(entry)) return -Infinity;
  const losses = entry.lostLives.size;
  const lostAt = lastLossAt(entry);
  // A trial whose outcome is not known counts as one more loss.
  return entry.triedAt > lostAt
    ? entry.triedAt + waitAfter(losses + 1)
    : lostAt + waitAfter(losses);
}

/** When an entry may be forgotten. */
export function forgottenAt(entry: QuarantineEntry): number {
  const newest = Math.max(lastLossAt(entry), entry.triedAt, entry.ranWholeAt);
  return (
    newest +
    (entry.lostLives.size >= LOSSES_TO_STORE
      ? STORED_MILLISECONDS
      : REMEMBERED_MILLISECONDS)
  );
}

/** When the last server was lost; `-Infinity` where none was. */
export function lastLossAt({ lostLives }: QuarantineEntry): number {
  return Math.max(-Infinity, ...lostLives.values());
}

function waitAfter(losses: number): number {
  return TRIAL_WAITS[Math.min(losses, TRIAL_WAITS.length - 1)] ?? 0;
}

function later(known: number, heard: number): number {
  return heard > known + TOLD_TOLERANCE_MILLISECONDS ? heard : known;
}
