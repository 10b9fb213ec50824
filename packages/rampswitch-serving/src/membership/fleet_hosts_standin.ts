// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Lists, updates and digests of hosts that do no work, for tests of membership.
 *
 * @module
 */
import type { FleetHosts, ListedHost } from "./fleet_hosts.ts";
import type { FleetDigest, PeerUpdate } from "./peer_messages.ts";

/** Time between two updates of a host, in milliseconds. */
export const UPDATE_INTERVAL_MILLISECONDS = 250;

/** Time between two reads of the list, in milliseconds. */
const LIST_INTERVAL_MILLISECONDS = 15_000;

/** Attributes of each host. */
export const ATTRIBUTES = { address: "127.0.0.1:9", dataHall: "a", cores: 1 };

/** Names of hosts: the prefix and a number from 0. */
export function hostNames(prefix: string, count: number): readonly string[] {
  return Array.from({ length: count }, (_, index) => `${prefix}-${index}`);
}

/** Entries of hosts in the store's list. */
export function entriesOf(names: readonly string[]): readonly ListedHost[] {
  return names.map((name) => ({ name, ...ATTRIBUTES, version: 1 }));
}

/** The update of a host, as far as membership reads it. */
export function idleUpdate(host: string, sequence: number): PeerUpdate {
  const update = { host, ...ATTRIBUTES, incarnation: "1", sequence };
  return { ...update, stopping: false } as PeerUpdate;
}

/** The digest of a relay of a fleet of so many hosts, as far as membership reads it. */
function idleDigest(hosts: number): FleetDigest {
  return { hosts, relays: ["relay"] } as unknown as FleetDigest;
}

/** The lists, updates and digests that one host receives for a time. */
export interface ReceivedMessages {
  readonly hosts: FleetHosts;
  /** On the monotonic clock, in milliseconds. */
  readonly from: number;
  readonly until: number;
  /** Entries in the store's list; `undefined` while the store does not answer. */
  readonly listed: readonly ListedHost[] | undefined;
  /** Names of the hosts that send updates. */
  readonly heard?: readonly string[];
  /** Number of hosts in the digests of a relay, if there is one. */
  readonly digested?: number;
}

/** Lets a host read lists, and receive updates and digests, for a time. */
export function receiveMessages(fleet: ReceivedMessages): void {
  const { hosts, from, until, listed, heard = [], digested } = fleet;
  const rounds = Math.floor((until - from) / UPDATE_INTERVAL_MILLISECONDS);
  Array.from({ length: rounds }, (_, round) => round).forEach((round) => {
    const now = from + round * UPDATE_INTERVAL_MILLISECONDS;
    const readsList = (now - from) % LIST_INTERVAL_MILLISECONDS === 0;
    if (readsList && listed !== undefined) hosts.addListed(listed, now);
    heard.forEach((name) => hosts.applyUpdate(idleUpdate(name, now), now));
    if (digested !== undefined) hosts.applyDigest(idleDigest(digested), now);
  });
}
