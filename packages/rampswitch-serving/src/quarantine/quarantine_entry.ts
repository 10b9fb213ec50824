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
  /** Trials that began since it last ran whole. */
  readonly trials: number;
  /** When it last ran whole; `-Infinity` if it never did. */
  readonly ranWholeAt: number;
}

/** An entry of which nothing is known yet. */
export const EMPTY_ENTRY: QuarantineEntry = {
  lostLives: new Map(),
  triedAt: -Infinity,
  trials: 0,
  ranWholeAt: -Infinity,
};

/**
 * Lost servers from which a request runs as a trial only, and the store keeps it, so
 * that it outlasts the hosts. One or two say little: up to `slots` requests break
 * with each server, and a stream may lose two.
 */
const LOSSES_TO_HOLD = 3;

/**
 * Time until the next trial by trials so far, in milliseconds. Not by lost servers,
 * since an outage ends many under one popular request. Each trial most likely costs
 * a server and all that runs there, so they come ten times as rarely each time. The
 * last wait stands for all later ones.
 */
const TRIAL_WAITS: readonly number[] = [4_000, 40_000, 400_000];

/** An entry is forgotten after this time without news, in milliseconds. */
const REMEMBERED_MILLISECONDS = 60_000;

/** The same for what the store keeps: several times the longest wait. */
export const STORED_MILLISECONDS = 3_600_000;

/**
 * Difference of two times that hosts tell of the same moment, in milliseconds.
 * Without it a time that is told back and forth grows with each message.
 */
const TOLD_TOLERANCE_MILLISECONDS = 200;

/** Lost lives that an entry keeps, the newest ones; more change nothing. */
const KEPT_LIVES = 8;

/** Joins what two hosts know of one request. */
export function merged(
  known: QuarantineEntry,
  heard: QuarantineEntry,
): QuarantineEntry {
  const ranWholeAt = isLater(heard.ranWholeAt, known.ranWholeAt)
    ? heard.ranWholeAt
    : known.ranWholeAt;
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
  const { triedAt, trials } = newestTrial(known, heard);
  return {
    ranWholeAt,
    triedAt,
    trials: triedAt > ranWholeAt ? trials : 0,
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
    entry.trials !== before.trials ||
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
  const wait = TRIAL_WAITS[Math.min(entry.trials, TRIAL_WAITS.length - 1)] ?? 0;
  return Math.max(lastLossAt(entry), entry.triedAt) + wait;
}

/** An entry with a trial that begins now. */
export function tried(entry: QuarantineEntry, now: number): QuarantineEntry {
  return { ...entry, triedAt: now, trials: entry.trials + 1 };
}

/** When an entry may be forgotten. */
export function forgottenAt(entry: QuarantineEntry): number {
  const newest = Math.max(lastLossAt(entry), entry.triedAt, entry.ranWholeAt);
  return (
    newest + (isStored(entry) ? STORED_MILLISECONDS : REMEMBERED_MILLISECONDS)
  );
}

/** Whether the store keeps the request, so that it outlasts the hosts. */
export function isStored(entry: QuarantineEntry): boolean {
  return isHeld(entry) || entry.trials > 0;
}

/** When the last server was lost; `-Infinity` where none was. */
export function lastLossAt({ lostLives }: QuarantineEntry): number {
  return Math.max(-Infinity, ...lostLives.values());
}

/** A later trial tells the higher count, unless a whole run lies between. */
function newestTrial(
  known: QuarantineEntry,
  heard: QuarantineEntry,
): Pick<QuarantineEntry, "triedAt" | "trials"> {
  if (isLater(heard.triedAt, known.triedAt)) return heard;
  if (isLater(known.triedAt, heard.triedAt)) return known;
  const trials = Math.max(known.trials, heard.trials);
  return { triedAt: known.triedAt, trials };
}

/** Whether a time is of a later moment and not the same one told back. */
function isLater(time: number, other: number): boolean {
  return time > other + TOLD_TOLERANCE_MILLISECONDS;
}
