// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Lists, updates and digests of hosts that do no work, for tests of membership.
 *
 * @module
 */
import type { FleetHosts, ListedHost } from "./fleet_hosts.ts";
import type { FleetDigest, PeerUpdate } from "./peer_messages.ts";

/** Time between two updates of a host, in milliseconds. */
const UPDATE_INTERVAL_MILLISECONDS = 250;

/** Time between two reads of the list, in milliseconds. */
const LIST_INTERVAL_MILLISECONDS = 15_000;

/** Names of hosts: the prefix and a number from 0. */
export function hostNames(prefix: string, count: number): readonly string[] {
  return Array.from({ length: count }, (_, index) => `${prefix}-${index}`);
}

/** Entries of hosts in the store's list. */
export function entriesOf(names: readonly string[]): readonly ListedHost[] {
  return names.map((name) => ({
    name,
    dataHall: "a",
    cores: 1,
    address: "127.0.0.1:9",
    version: 1,
  }));
}

/** The update of a host that does no work. */
export function idleUpdate(host: string, sequence: number): PeerUpdate {
  return {
    host,
    dataHall: "a",
    cores: 1,
    incarnation: "1",
    sequence,
    address: "127.0.0.1:9",
    wallTime: 0,
    timeEstimate: { wallTime: 0, samples: 1 },
    stopping: false,
    lentTo: {},
    limits: [],
    configurationVersion: 0,
    configurationAge: undefined,
    followed: { configuration: 0, servers: 0 },
    admitted: {},
    levels: {},
    work: {},
    counts: {},
    dispatches: [],
    readTokens: {},
    lease: undefined,
    quarantine: [],
    promptParts: [],
    rollouts: [],
    leaving: [],
    slowdowns: [],
    arrivals: undefined,
    returns: [],
    brittle: [],
    outOfReach: [],
  };
}

/** The digest of a relay of a fleet of so many hosts that do no work. */
export function idleDigest(hosts: number): FleetDigest {
  return {
    relay: "relay",
    acknowledged: 0,
    acknowledgedByHost: undefined,
    hosts,
    relays: ["relay"],
    permitHolders: ["relay"],
    wallTime: 0,
    timeSamples: 1,
    configurationVersion: 0,
    configurationAge: undefined,
    followed: { configuration: 0, servers: 0 },
    levels: {},
    silentShare: 0,
    work: {},
    leases: [],
    servers: undefined,
    quarantine: [],
    promptParts: [],
    rollouts: [],
    limits: [],
    leaving: [],
    slowdowns: [],
    arrivals: undefined,
    returns: [],
    brittle: [],
    hostsLackingReach: [],
  };
}

/** What one host hears for a time. */
export interface HeardFleet {
  readonly hosts: FleetHosts;
  /** On the monotonic clock, in milliseconds. */
  readonly from: number;
  readonly until: number;
  /** Entries in the store's list. */
  readonly listed: readonly ListedHost[];
  /** Names of the hosts that send updates. */
  readonly heard?: readonly string[];
  /** Number of hosts in the digests of a relay, if there is one. */
  readonly digested?: number;
}

/** Lets a host read lists and hear others for a time. */
export function hear(fleet: HeardFleet): void {
  const { hosts, from, until, listed, heard = [], digested } = fleet;
  const rounds = Math.floor((until - from) / UPDATE_INTERVAL_MILLISECONDS);
  Array.from({ length: rounds }, (_, round) => round).forEach((round) => {
    const now = from + round * UPDATE_INTERVAL_MILLISECONDS;
    if ((now - from) % LIST_INTERVAL_MILLISECONDS === 0) {
      hosts.addListed(listed, now);
    }
    heard.forEach((name) => hosts.applyUpdate(idleUpdate(name, now), now));
    if (digested !== undefined) hosts.applyDigest(idleDigest(digested), now);
  });
}
