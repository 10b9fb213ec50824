// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Concludes from the absence of records which version began a stream: hosts that know one
 * version alone would have got the record, had the stream begun at another one. Pure.
 *
 * A host that may know of another version sends the record of a stream to a few hosts, its
 * keepers, before the first event. So a stream without a record at its keepers, which began
 * after a moment at which one version alone was listed, began at that version.
 *
 * @module
 */

/** What a host reports of itself when it is queried for a stream. */
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
  /** States of the hosts that get its record whichever host began it. */
  readonly keepers: readonly KeeperState[];
  /** Whether this host is one of those keepers. */
  readonly isOwnKeeper: boolean;
  /** Whether no host has been silent for so long that others may have dropped it. */
  readonly isWholeFleetHeard: boolean;
}

/** Keepers that have to lack the record; the message to one alone may have been lost. */
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
 * Whether enough keepers that replied without a record would have got it, had the stream
 * begun at another version. They have to run since a time at which a list had all changes:
 * what began before that began at the version on the list. This host's own state counts as
 * that of a voucher.
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
