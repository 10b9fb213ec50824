// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Judges whether hosts would have been told of a stream, had it begun at another version
 * than the only one that they know. Pure.
 *
 * A host that may know of another version tells the hosts that keep a stream before its
 * first event. So a stream that began after a moment at which one version alone was
 * listed, and that nobody of those was told of, began at that version.
 *
 * @module
 */

/** What a host tells of itself when it is asked for a stream. */
export interface KeeperState {
  /** Time since it started, in milliseconds. */
  readonly runningMilliseconds: number;
  /**
   * Time since its list of servers certainly had all changes, in milliseconds; infinite
   * before the first list.
   */
  readonly listAgeMilliseconds: number;
}

/** The states of the other hosts that were asked for a stream. */
export interface KeeperStates {
  /** States of the hosts that know the past, and one version alone. */
  readonly vouchers: readonly KeeperState[];
  /** States of the hosts that are told of the stream whichever host began it. */
  readonly keepers: readonly KeeperState[];
  /** Whether this host is one of those that are told. */
  readonly isOwnKeeper: boolean;
  /** Whether no host has been silent for so long that others may have dropped it. */
  readonly isWholeFleetHeard: boolean;
}

/** Hosts that weren't told; the messages to one alone may have been lost. */
const WITNESSES = 2;

/**
 * Time after its start in which a host may be unknown to another one that begins
 * streams, in milliseconds: several rounds of gossip.
 */
const JOINING_MILLISECONDS = 1_000;

/**
 * Age of a list up to which all hosts still know the versions in it, in milliseconds;
 * less than the time for which versions without a server are retained.
 */
const MAXIMUM_LIST_AGE_MILLISECONDS = 50_000;

/**
 * Whether a stream of another version would have been told to enough hosts that replied
 * without knowing it. They have to be there since a time at which a list had all changes:
 * what began before that began at the version on the list. This host's own state is that
 * of a voucher.
 */
export function isCertainlyUntold(
  own: KeeperState,
  { vouchers, keepers, isOwnKeeper, isWholeFleetHeard }: KeeperStates,
): boolean {
  const ages = [own, ...vouchers].map(
    ({ listAgeMilliseconds }) => listAgeMilliseconds,
  );
  const age = Math.min(...ages);
  const witnesses = [...keepers, ...(isOwnKeeper ? [own] : [])].filter(
    ({ runningMilliseconds }) =>
      runningMilliseconds >= age + JOINING_MILLISECONDS,
  );
  return (
    isWholeFleetHeard &&
    age < MAXIMUM_LIST_AGE_MILLISECONDS &&
    witnesses.length >= WITNESSES
  );
}
