// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Selection of relays for gossip. In a small fleet every host sends updates to
 * every other. In a larger fleet, two hosts of each data hall are relays: the
 * other hosts of the data hall send updates to them alone, relays exchange
 * updates, and each host receives a digest of the whole fleet from its relays.
 * The functions are pure: hosts with the same list of hosts select the same relays.
 *
 * @module
 */
import { rendezvousOrder } from "rampswitch-utils";

/** Attributes of a host that the selection of relays uses. */
export interface PlannedHost {
  readonly name: string;
  readonly dataHall: string;
  /** Processor share of the host, in cores. */
  readonly cores: number;
}

/**
 * Maximum number of hosts that all send updates to each other. At four messages
 * a second of 1.3 KB each, 15 peers cost a host 80 KB/s in each direction; with
 * relays it is a tenth of that.
 */
export const MAXIMUM_DIRECT_HOSTS = 16;

/** Relays of a data hall; two, so that one remains if the other is lost. */
export const RELAYS_PER_DATA_HALL = 2;

/** Whether a fleet of this many hosts needs relays. */
export function needsRelays(hosts: number): boolean {
  return hosts > MAXIMUM_DIRECT_HOSTS;
}

/** Hosts of a data hall, best relay first: by processor share, then by hash. */
export function relayOrder(
  hosts: readonly PlannedHost[],
  dataHall: string,
): readonly string[] {
  const here = hosts.filter((host) => host.dataHall === dataHall);
  const cores = new Map(here.map((host) => [host.name, host.cores]));
  return rendezvousOrder(
    dataHall,
    here.map((host) => host.name),
  ).toSorted((left, right) => (cores.get(right) ?? 0) - (cores.get(left) ?? 0));
}

/** The relays of a data hall. */
export function relaysOf(
  hosts: readonly PlannedHost[],
  dataHall: string,
): readonly string[] {
  return relayOrder(hosts, dataHall).slice(0, RELAYS_PER_DATA_HALL);
}

/** Timing of gossip, in milliseconds. */
export interface GossipTiming {
  /** Time between rounds. */
  readonly interval: number;
  /** Usual maximum age of updates of other hosts. */
  readonly lag: number;
  /** Time without messages after which a host counts as silent. */
  readonly silence: number;
}

/**
 * Timing in a small fleet: four messages a second. The lag allows for one lost
 * message, the silence for two.
 */
export const DIRECT_GOSSIP_TIMING: GossipTiming = {
  interval: 250,
  lag: 350,
  silence: 700,
};

/**
 * Timing with relays, where an update takes three hops. It is slower, so that a
 * host stays within about 9 KB a second.
 */
export const RELAYED_GOSSIP_TIMING: GossipTiming = {
  interval: 400,
  lag: 1_200,
  silence: 2_000,
};
