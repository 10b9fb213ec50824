// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * How many backend servers each data hall is to have, on demand and
 * reclaimable. Pure: what is known goes in, the wish comes out.
 *
 * @module
 */
import type { CapacityLimits, EngineLimits } from "../model/configuration.ts";

/** Load of one service over all hosts. */
export interface ServiceLoad {
  /** Requests running and waiting. */
  readonly running: number;
  /** Prompt tokens a second that engines have to read. */
  readonly readTokensPerSecond: number;
  /** Tokens that one engine reads in a millisecond. */
  readonly readingRate: number;
}

/** Servers of one data hall. */
export interface DataHallServers {
  readonly dataHall: string;
  readonly onDemandReady: number;
  readonly reclaimableReady: number;
  /** Reclaimable servers ready or ordered so lately that they still start. */
  readonly reclaimableExpected: number;
  /** Whether the cloud has no reclaimable servers to give there now. */
  readonly reclaimableSoldOut: boolean;
}

/** Servers wished for in one data hall. */
export interface DataHallWish {
  readonly dataHall: string;
  /** `undefined`: leave what was ordered, since none can be had. */
  readonly reclaimable: number | undefined;
  /** On demand, at least and at most; in between nothing needs to change. */
  readonly onDemandLeast: number;
  readonly onDemandMost: number;
}

/**
 * Most of its time, or of its slots, that an engine of a large fleet is planned
 * to use; the rest keeps waits for first tokens within the targets.
 */
const LARGE_FLEET_SHARE = 0.55;

/**
 * Engines on top for each square root of the engines that the load fills: the
 * fewer engines share the load, the more of them wait for its peaks.
 */
const ENGINES_FOR_PEAKS = 1.65;

/**
 * Reclaimable servers that are to be left, for each one that the load needs,
 * when one data hall is reclaimed. They carry the load, the runs that move and
 * the prompts that are read again.
 */
const LEFT_AFTER_RECLAIM = 4 / 3;

/** Reclaimable servers to order for each one that the load needs. */
function reclaimReserve(dataHalls: number): number {
  return (LEFT_AFTER_RECLAIM * dataHalls) / Math.max(1, dataHalls - 1);
}

/**
 * Share of the servers needed that has to be left when the data hall with most
 * reclaimable ones is reclaimed. Others can then be had in the other halls.
 */
const LEFT_AT_LEAST = 0.35;

/**
 * The same while reclaims leave no others to be had: only servers on demand
 * can follow, and those take seconds to start. The plan uses servers to 0.55 at
 * most, so three quarters of them carry the load meanwhile.
 */
const LEFT_WHILE_SOLD_OUT = 0.75;

/**
 * Largest part of the servers on demand that one data hall has. The cheapest
 * two share them: a third or fourth would cost more and protect little more.
 */
const LARGEST_PART_OF_HALL = 0.5;

/** Fewest servers that a service with any load is planned with. */
const LEAST_SERVERS = 3;

/**
 * Share of the servers that a deployment begins with that is kept until its
 * first load tells more.
 */
const FIRST_SHARE = 0.6;

/** Servers to have before any request has come. */
export function serversBeforeLoad(listed: number): number {
  return Math.max(LEAST_SERVERS, Math.ceil(listed * FIRST_SHARE));
}

/**
 * Share of the most servers that a service may have that it is planned with
 * before its first servers are listed: deployments begin with about half of the
 * most, and FIRST_SHARE of that is kept.
 */
const FIRST_SHARE_OF_MOST = FIRST_SHARE / 2;

/** Servers to have before it is known how many there are. */
export function serversBeforeListing(
  limits: CapacityLimits,
  dataHalls: number,
): number {
  return Math.ceil(limits.maximum * dataHalls * FIRST_SHARE_OF_MOST);
}

/** Servers that a load needs. */
export function serversNeeded(load: ServiceLoad, engine: EngineLimits): number {
  const reading = load.readTokensPerSecond / (load.readingRate * 1_000);
  const running = load.running / engine.slots;
  const filled = Math.max(reading, running);
  const needed =
    filled / LARGE_FLEET_SHARE + ENGINES_FOR_PEAKS * Math.sqrt(filled);
  return Math.max(LEAST_SERVERS, Math.ceil(needed));
}

/**
 * Servers whose work others have to do, since they name limits: each counts for the
 * share that it takes of what a server of the service usually gets.
 */
export function serversMissing(
  limits: readonly number[],
  usual: {
    /** Requests that run at all servers together. */
    readonly running: number;
    /** Time for which a request holds a place, in milliseconds. */
    readonly holdMilliseconds: number;
    /** Servers that the load needs. */
    readonly needed: number;
  },
): number {
  const perSecond =
    (1_000 * usual.running) / (usual.holdMilliseconds * usual.needed);
  if (!(perSecond > 0)) return 0;
  const missing = limits.map((limit) => 1 - Math.min(1, limit / perSecond));
  return Math.ceil(sum(missing));
}

/**
 * Plans all data halls of a service. Reclaimable servers are a fraction of the
 * price, so they carry the load with a reserve, spread over the data halls that
 * have them; servers on demand fill what is missing.
 */
export function planCapacity(
  needed: number,
  halls: readonly DataHallServers[],
  limits: CapacityLimits,
): readonly DataHallWish[] {
  const cheapest = halls.toSorted(
    (left, right) =>
      (limits.dataHallPrices.get(left.dataHall) ?? 1) -
      (limits.dataHallPrices.get(right.dataHall) ?? 1),
  );
  const open = cheapest.filter((hall) => !hall.reclaimableSoldOut);
  const leftShare =
    open.length < halls.length ? LEFT_WHILE_SOLD_OUT : LEFT_AT_LEAST;
  const onDemand = (count: (hall: DataHallServers) => number) =>
    fillCheapest(
      missingOnDemand(needed, halls.map(count), leftShare),
      cheapest.map((hall) => ({
        dataHall: hall.dataHall,
        ready: hall.onDemandReady,
        room: Math.max(0, limits.maximum - count(hall)),
      })),
    );
  const reclaimable = spread(
    Math.ceil(needed * reclaimReserve(halls.length)),
    open,
    limits,
  );
  const least = onDemand((hall) => hall.reclaimableExpected);
  const most = onDemand((hall) => hall.reclaimableReady);
  return halls.map(({ dataHall }) => ({
    dataHall,
    reclaimable: reclaimable.get(dataHall),
    onDemandLeast: least.get(dataHall) ?? 0,
    onDemandMost: most.get(dataHall) ?? 0,
  }));
}

/**
 * Servers on demand that are needed beside reclaimable ones: to carry the load,
 * and to carry most of it when the data hall with most of them is reclaimed.
 */
function missingOnDemand(
  needed: number,
  reclaimable: readonly number[],
  leftShare: number,
): number {
  const all = reclaimable.reduce((sum, count) => sum + count, 0);
  const leftAfterReclaim = all - Math.max(0, ...reclaimable);
  return Math.max(
    0,
    needed - all,
    Math.ceil(needed * leftShare) - leftAfterReclaim,
  );
}

/** A data hall that servers on demand may be in. */
interface HallOnDemand {
  readonly dataHall: string;
  readonly ready: number;
  readonly room: number;
}

/** Keeps servers that are ready, and fills the cheapest data halls with others. */
function fillCheapest(
  count: number,
  halls: readonly HallOnDemand[],
): ReadonlyMap<string, number> {
  const part = Math.ceil(count * LARGEST_PART_OF_HALL);
  const kept = inTurn(
    count,
    halls.map(({ ready, room }) => Math.min(ready, room)),
  );
  const parted = inTurn(
    count - sum(kept),
    halls.map(({ room }, index) =>
      Math.max(0, Math.min(room, part) - (kept[index] ?? 0)),
    ),
  );
  const crowded = inTurn(
    count - sum(kept) - sum(parted),
    halls.map(
      ({ room }, index) => room - (kept[index] ?? 0) - (parted[index] ?? 0),
    ),
  );
  return new Map(
    halls.map(({ dataHall }, index) => [
      dataHall,
      sum([kept, parted, crowded].map((counts) => counts[index] ?? 0)),
    ]),
  );
}

/** Gives each place in turn what it has room for, until nothing is left. */
function inTurn(count: number, rooms: readonly number[]): readonly number[] {
  return rooms.map((room, index) =>
    Math.min(room, Math.max(0, count - sum(rooms.slice(0, index)))),
  );
}

function sum(counts: readonly number[]): number {
  return counts.reduce((total, count) => total + count, 0);
}

/** Spreads servers evenly; the first data halls get what is left over. */
function spread(
  count: number,
  halls: readonly DataHallServers[],
  limits: CapacityLimits,
): ReadonlyMap<string, number> {
  const even = Math.floor(count / Math.max(1, halls.length));
  const left = count - even * halls.length;
  return new Map(
    halls.map((hall, index) => [
      hall.dataHall,
      Math.min(limits.maximum, even + (index < left ? 1 : 0)),
    ]),
  );
}
