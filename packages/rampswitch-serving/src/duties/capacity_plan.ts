// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Plans how many backend servers each data hall is to have, on demand and
 * reclaimable. All functions are pure: they map the current state to target
 * numbers.
 *
 * @module
 */
import type { CapacityLimits, EngineLimits } from "../model/configuration.ts";

/** Load of one service over all hosts. */
export interface ServiceLoad {
  /** Requests that run or wait. */
  readonly running: number;
  /** Prompt tokens per second that engines have to read. */
  readonly readTokensPerSecond: number;
  /** Tokens that one engine reads per millisecond. */
  readonly readingRate: number;
}

/** Servers of one data hall. */
export interface DataHallServers {
  readonly dataHall: string;
  readonly onDemandReady: number;
  readonly reclaimableReady: number;
  /**
   * Reclaimable servers that are ready or were ordered lately and still start.
   */
  readonly reclaimableExpected: number;
  /** Whether the cloud has no reclaimable servers to give there now. */
  readonly reclaimableSoldOut: boolean;
}

/** Target numbers of servers in one data hall. */
export interface DataHallTarget {
  readonly dataHall: string;
  /**
   * `undefined`: leave the order as it is, since the cloud has none to give.
   */
  readonly reclaimable: number | undefined;
  /** Minimum and maximum on demand; numbers in between need no change. */
  readonly onDemandMinimum: number;
  readonly onDemandMaximum: number;
}

/**
 * Share of its time, or of its slots, that an engine of a large fleet is
 * planned to use at most. The remainder keeps waits for first tokens within the
 * targets.
 */
const LARGE_FLEET_UTILIZATION = 0.55;

/**
 * Additional engines for each square root of the engines that the load fills.
 * The fewer engines share the load, the more of them are needed for its peaks.
 */
const PEAK_RESERVE_FACTOR = 1.65;

/**
 * Reclaimable servers that are to remain, for each one that the load needs,
 * after one data hall is reclaimed. They carry the load, the runs that migrate
 * and the prompts that are read again.
 */
const REMAINING_AFTER_RECLAIM_RATIO = 4 / 3;

/**
 * Returns the reclaimable servers to order for each one that the load needs.
 */
function reclaimReserveRatio(dataHalls: number): number {
  return (
    (REMAINING_AFTER_RECLAIM_RATIO * dataHalls) / Math.max(1, dataHalls - 1)
  );
}

/**
 * Share of the needed servers that has to remain when the data hall with most
 * reclaimable servers is reclaimed. Others can then be had in the other halls.
 */
const MINIMUM_REMAINING_SHARE = 0.35;

/**
 * The same while no other reclaimable servers can be had after reclaims. Only
 * servers on demand can then follow, and those take seconds to start. The plan
 * uses 0.55 of each server at most, so three quarters of them carry the load
 * meanwhile.
 */
const MINIMUM_REMAINING_SHARE_WHILE_SOLD_OUT = 0.75;

/**
 * Maximum share of the servers on demand in one data hall. The two cheapest
 * data halls share them: a third or fourth would cost more and protect little
 * more.
 */
const MAXIMUM_HALL_SHARE = 0.5;

/** Minimum number of servers that a service with any load is planned with. */
const MINIMUM_SERVERS = 3;

/**
 * Share of a deployment's initial servers that is retained until the first load
 * shows how many are needed.
 */
const INITIAL_SERVERS_SHARE = 0.6;

/** Returns the servers to have before any request has arrived. */
export function serversBeforeLoad(listed: number): number {
  return Math.max(MINIMUM_SERVERS, Math.ceil(listed * INITIAL_SERVERS_SHARE));
}

/**
 * Share of the maximum number of servers of a service that is planned before
 * its first servers are listed. Deployments begin with about half of the
 * maximum, and INITIAL_SERVERS_SHARE of that is retained.
 */
const INITIAL_SHARE_OF_MAXIMUM = INITIAL_SERVERS_SHARE / 2;

/** Returns the servers to have before the first servers are listed. */
export function serversBeforeListing(
  limits: CapacityLimits,
  dataHalls: number,
): number {
  return Math.ceil(limits.maximum * dataHalls * INITIAL_SHARE_OF_MAXIMUM);
}

/** Returns the servers that a load needs. */
export function serversNeeded(load: ServiceLoad, engine: EngineLimits): number {
  const reading = load.readTokensPerSecond / (load.readingRate * 1_000);
  const running = load.running / engine.slots;
  const busyEngines = Math.max(reading, running);
  const needed =
    busyEngines / LARGE_FLEET_UTILIZATION +
    PEAK_RESERVE_FACTOR * Math.sqrt(busyEngines);
  return Math.max(MINIMUM_SERVERS, Math.ceil(needed));
}

/**
 * Returns how many servers are missing because servers advertise limits. Each
 * counts for the share of a server's usual load that it does not accept.
 */
export function serversMissingByLimits(
  limits: readonly number[],
  typicalLoad: {
    /** Requests that run at all servers together. */
    readonly running: number;
    /** Time for which a request holds a slot, in milliseconds. */
    readonly holdMilliseconds: number;
    /** Servers that the load needs. */
    readonly needed: number;
  },
): number {
  const perSecond =
    (1_000 * typicalLoad.running) /
    (typicalLoad.holdMilliseconds * typicalLoad.needed);
  if (!(perSecond > 0)) return 0;
  const missing = limits.map((limit) => 1 - Math.min(1, limit / perSecond));
  return Math.ceil(sum(missing));
}

/**
 * Plans all data halls of a service. Reclaimable servers cost a fraction of the
 * price, so they carry the load with a reserve, spread over the data halls that
 * have them. Servers on demand fill what is missing.
 */
export function planCapacity(
  needed: number,
  halls: readonly DataHallServers[],
  limits: CapacityLimits,
): readonly DataHallTarget[] {
  const cheapest = halls.toSorted(
    (left, right) =>
      (limits.dataHallPrices.get(left.dataHall) ?? 1) -
      (limits.dataHallPrices.get(right.dataHall) ?? 1),
  );
  const availableHalls = cheapest.filter((hall) => !hall.reclaimableSoldOut);
  const remainingShare =
    availableHalls.length < halls.length
      ? MINIMUM_REMAINING_SHARE_WHILE_SOLD_OUT
      : MINIMUM_REMAINING_SHARE;
  const onDemandPerHall = (count: (hall: DataHallServers) => number) =>
    fillCheapest(
      onDemandNeeded(needed, halls.map(count), remainingShare),
      cheapest.map((hall) => ({
        dataHall: hall.dataHall,
        ready: hall.onDemandReady,
        headroom: Math.max(0, limits.maximum - count(hall)),
      })),
    );
  const reclaimable = spreadEvenly(
    Math.ceil(needed * reclaimReserveRatio(halls.length)),
    availableHalls,
    limits,
  );
  const minimums = onDemandPerHall((hall) => hall.reclaimableExpected);
  const maximums = onDemandPerHall((hall) => hall.reclaimableReady);
  return halls.map(({ dataHall }) => ({
    dataHall,
    reclaimable: reclaimable.get(dataHall),
    onDemandMinimum: minimums.get(dataHall) ?? 0,
    onDemandMaximum: maximums.get(dataHall) ?? 0,
  }));
}

/**
 * Returns the servers on demand that are needed beside reclaimable ones: to
 * carry the load, and to carry most of it when the data hall with most
 * reclaimable servers is reclaimed.
 */
function onDemandNeeded(
  needed: number,
  reclaimable: readonly number[],
  remainingShare: number,
): number {
  const total = reclaimable.reduce((sum, count) => sum + count, 0);
  const remainingAfterReclaim = total - Math.max(0, ...reclaimable);
  return Math.max(
    0,
    needed - total,
    Math.ceil(needed * remainingShare) - remainingAfterReclaim,
  );
}

/** A data hall that may have servers on demand. */
interface OnDemandHall {
  readonly dataHall: string;
  readonly ready: number;
  readonly headroom: number;
}

/** Retains ready servers, and fills the cheapest data halls with the others. */
function fillCheapest(
  count: number,
  halls: readonly OnDemandHall[],
): ReadonlyMap<string, number> {
  const hallLimit = Math.ceil(count * MAXIMUM_HALL_SHARE);
  const retained = fillInOrder(
    count,
    halls.map(({ ready, headroom }) => Math.min(ready, headroom)),
  );
  const withinShare = fillInOrder(
    count - sum(retained),
    halls.map(({ headroom }, index) =>
      Math.max(0, Math.min(headroom, hallLimit) - (retained[index] ?? 0)),
    ),
  );
  const beyondShare = fillInOrder(
    count - sum(retained) - sum(withinShare),
    halls.map(
      ({ headroom }, index) =>
        headroom - (retained[index] ?? 0) - (withinShare[index] ?? 0),
    ),
  );
  return new Map(
    halls.map(({ dataHall }, index) => [
      dataHall,
      sum(
        [retained, withinShare, beyondShare].map(
          (counts) => counts[index] ?? 0,
        ),
      ),
    ]),
  );
}

/** Fills each headroom in order until nothing is left of the count. */
function fillInOrder(
  count: number,
  headrooms: readonly number[],
): readonly number[] {
  return headrooms.map((headroom, index) =>
    Math.min(headroom, Math.max(0, count - sum(headrooms.slice(0, index)))),
  );
}

function sum(counts: readonly number[]): number {
  return counts.reduce((total, count) => total + count, 0);
}

/** Spreads servers evenly; the first data halls get the remainder. */
function spreadEvenly(
  count: number,
  halls: readonly DataHallServers[],
  limits: CapacityLimits,
): ReadonlyMap<string, number> {
  const perHall = Math.floor(count / Math.max(1, halls.length));
  const remainder = count - perHall * halls.length;
  return new Map(
    halls.map((hall, index) => [
      hall.dataHall,
      Math.min(limits.maximum, perHall + (index < remainder ? 1 : 0)),
    ]),
  );
}
