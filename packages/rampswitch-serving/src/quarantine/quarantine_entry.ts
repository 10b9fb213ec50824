// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The losses, trials and completions of one request that is suspected to crash
 * backend servers, and when it may run next. Pure: the entries of all hosts merge
 * to the same one, in any order and however often each is received.
 *
 * @module
 */

/**
 * One request that is suspected to crash servers. All times are in milliseconds on
 * one monotonic clock.
 */
export interface QuarantineEntry {
  /**
   * Incarnations of servers that ended while they ran the request, since it last
   * completed, each with the time of its end. Incarnations are counted and not
   * servers, because a server that crashed restarts after some seconds.
   */
  readonly lostIncarnations: ReadonlyMap<string, number>;
  /** Start of the last trial; `-Infinity` before the first one. */
  readonly lastTrialAt: number;
  /** Number of trials since the request last completed. */
  readonly trials: number;
  /** Time when the request last completed; `-Infinity` if it never did. */
  readonly completedAt: number;
}

/** An entry without losses, trials and completions. */
export const EMPTY_ENTRY: QuarantineEntry = {
  lostIncarnations: new Map(),
  lastTrialAt: -Infinity,
  trials: 0,
  completedAt: -Infinity,
};

/**
 * Number of lost servers from which a request runs only as a trial and is kept in
 * the store, so that its quarantine survives the end of all hosts. One or two
 * losses are weak evidence: up to `slots` requests break off with each server, and
 * a stream may lose two servers.
 */
const MINIMUM_LOSSES_TO_QUARANTINE = 3;

/**
 * Time until the next trial, by the number of trials so far, in milliseconds. It
 * does not depend on the number of lost servers, since an outage ends many servers
 * under one popular request. Each trial most likely costs a server and all requests
 * that run there, so each interval is ten times the one before. The last interval
 * applies to all later trials.
 */
const TRIAL_DELAYS_MILLISECONDS: readonly number[] = [4_000, 40_000, 400_000];

/** Time without a change after which an entry is removed, in milliseconds. */
const ENTRY_RETENTION_MILLISECONDS = 60_000;

/**
 * The same for stored entries, in milliseconds: several times the longest interval
 * between trials.
 */
export const STORED_ENTRY_RETENTION_MILLISECONDS = 3_600_000;

/**
 * Maximum difference between two times of the same event, in milliseconds. Hosts
 * exchange ages, and each conversion adds an error. Without this tolerance, a time
 * that is passed back and forth grows with each message.
 */
const TIME_TOLERANCE_MILLISECONDS = 200;

/**
 * Maximum number of lost incarnations in an entry. The newest ones are retained;
 * more have no effect.
 */
const MAXIMUM_LOST_INCARNATIONS = 8;

/**
 * Time within which all hosts notice that a server has ended, in milliseconds. What is
 * heard within it may have been sent before.
 */
const NOTICE_MILLISECONDS = 100;

/** Merges the entries that two hosts have for one request. */
export function mergeEntries(
  local: QuarantineEntry,
  received: QuarantineEntry,
): QuarantineEntry {
  const completedAt = isLater(received.completedAt, local.completedAt)
    ? received.completedAt
    : local.completedAt;
  const losses = [
    ...local.lostIncarnations,
    ...received.lostIncarnations,
  ].reduce(
    (joined, [incarnation, at]) =>
      joined.set(
        incarnation,
        Math.min(at, joined.get(incarnation) ?? Infinity),
      ),
    new Map<string, number>(),
  );
  const counted = [...losses]
    .filter(([, at]) => at > completedAt)
    .toSorted(([left, before], [right, after]) =>
      before === after ? (left < right ? -1 : 1) : before - after,
    );
  const { lastTrialAt, trials } = newestTrial(local, received);
  return {
    completedAt,
    lastTrialAt,
    trials: lastTrialAt > completedAt ? trials : 0,
    lostIncarnations: new Map(counted.slice(-MAXIMUM_LOST_INCARNATIONS)),
  };
}

/** Whether an entry holds anything that a previous one does not. */
export function addsInformation(
  entry: QuarantineEntry,
  previous: QuarantineEntry,
): boolean {
  return (
    entry.completedAt !== previous.completedAt ||
    entry.lastTrialAt !== previous.lastTrialAt ||
    entry.trials !== previous.trials ||
    [...entry.lostIncarnations.keys()].some(
      (incarnation) => !previous.lostIncarnations.has(incarnation),
    )
  );
}

/**
 * Drops losses of incarnations that were heard since: the host that reported them has
 * lost its links.
 */
export function withoutRefuted(
  entry: QuarantineEntry,
  wasHeardAfter: (lossName: string, time: number) => boolean,
): QuarantineEntry {
  const kept = [...entry.lostIncarnations].filter(
    ([name, at]) => !wasHeardAfter(name, at + NOTICE_MILLISECONDS),
  );
  return { ...entry, lostIncarnations: new Map(kept) };
}

/** Whether the request runs only as a trial. */
export function isQuarantined({ lostIncarnations }: QuarantineEntry): boolean {
  return lostIncarnations.size >= MINIMUM_LOSSES_TO_QUARANTINE;
}

/** Time of the next trial; `-Infinity` if the request is not quarantined. */
export function nextTrialAt(entry: QuarantineEntry): number {
  if (!isQuarantined(entry)) return -Infinity;
  const wait =
    TRIAL_DELAYS_MILLISECONDS[
      Math.min(entry.trials, TRIAL_DELAYS_MILLISECONDS.length - 1)
    ] ?? 0;
  return Math.max(lastLossAt(entry), entry.lastTrialAt) + wait;
}

/** Returns an entry with a trial that begins now. */
export function withTrial(
  entry: QuarantineEntry,
  now: number,
): QuarantineEntry {
  return { ...entry, lastTrialAt: now, trials: entry.trials + 1 };
}

/** Time until which an entry is retained. */
export function retainedUntil(entry: QuarantineEntry): number {
  const newest = Math.max(
    lastLossAt(entry),
    entry.lastTrialAt,
    entry.completedAt,
  );
  return (
    newest +
    (isStored(entry)
      ? STORED_ENTRY_RETENTION_MILLISECONDS
      : ENTRY_RETENTION_MILLISECONDS)
  );
}

/**
 * Whether the request is kept in the store, so that its quarantine survives the end
 * of all hosts.
 */
export function isStored(entry: QuarantineEntry): boolean {
  return isQuarantined(entry) || entry.trials > 0;
}

/** Time of the last loss; `-Infinity` without any. */
export function lastLossAt({ lostIncarnations }: QuarantineEntry): number {
  return Math.max(-Infinity, ...lostIncarnations.values());
}

/**
 * Returns the later trial. Its count is the higher one, unless the request
 * completed in between.
 */
function newestTrial(
  local: QuarantineEntry,
  received: QuarantineEntry,
): Pick<QuarantineEntry, "lastTrialAt" | "trials"> {
  if (isLater(received.lastTrialAt, local.lastTrialAt)) return received;
  if (isLater(local.lastTrialAt, received.lastTrialAt)) return local;
  const trials = Math.max(local.trials, received.trials);
  return { lastTrialAt: local.lastTrialAt, trials };
}

/**
 * Whether a time belongs to a later event, and is not the same event reported back.
 */
function isLater(time: number, other: number): boolean {
  return time > other + TIME_TOLERANCE_MILLISECONDS;
}
