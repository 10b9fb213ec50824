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
  /** Whether the cloud has no reclaimable servers to give there now. */
  readonly reclaimableSoldOut: boolean;
}

/** Servers wished for in one data hall. */
export interface DataHallWish {
  readonly dataHall: string;
  readonly onDemand: number;
  readonly reclaimable: number;
}

/**
 * Share of its time that an engine reads prompts when it is as loaded as it
 * should be; above it, waits for the first token grow past the targets.
 */
const READING_SHARE = 0.35;

/** Share of an engine's slots in use at the same load. */
const SLOT_SHARE = 0.35;

/**
 * Reclaimable servers ordered for each one that the load needs, so that the
 * rest carries the load when two data halls of four are reclaimed.
 */
const RECLAIM_RESERVE = 1.6;

/** Fewest servers that a service with any load is planned with. */
const LEAST_SERVERS = 3;

/** Servers that a load needs. */
export function serversNeeded(load: ServiceLoad, engine: EngineLimits): number {
  const reading =
    load.readTokensPerSecond / (load.readingRate * 1_000) / READING_SHARE;
  const running = load.running / (engine.slots * SLOT_SHARE);
  return Math.max(LEAST_SERVERS, Math.ceil(Math.max(reading, running)));
}

/** Plans all data halls of a service. */
export function planCapacity(
  needed: number,
  halls: readonly DataHallServers[],
  limits: CapacityLimits,
): readonly DataHallWish[] {
  const open = halls.filter((hall) => !hall.reclaimableSoldOut);
  const perHall = Math.min(
    limits.maximum,
    Math.ceil((needed * RECLAIM_RESERVE) / Math.max(1, halls.length)),
  );
  const reclaimable = open.reduce((sum, hall) => sum + hall.reclaimableReady, 0);
  const shortage = Math.max(0, needed - reclaimable);
  const onDemand = spread(shortage, halls, limits);
  return halls.map((hall) => ({
    dataHall: hall.dataHall,
    reclaimable: hall.reclaimableSoldOut
      ? 0
      : Math.min(perHall, limits.maximum - (onDemand.get(hall.dataHall) ?? 0)),
    onDemand: onDemand.get(hall.dataHall) ?? 0,
  }));
}

/** Spreads servers on demand evenly, the cheapest data halls first. */
function spread(
  count: number,
  halls: readonly DataHallServers[],
  limits: CapacityLimits,
): ReadonlyMap<string, number> {
  const cheapest = halls.toSorted(
    (left, right) =>
      (limits.dataHallPrices.get(left.dataHall) ?? 1) -
      (limits.dataHallPrices.get(right.dataHall) ?? 1),
  );
  return new Map(
    cheapest.map((hall, index) => [
      hall.dataHall,
      Math.min(
        limits.maximum,
        Math.floor(count / cheapest.length) +
          (index < count % cheapest.length ? 1 : 0),
      ),
    ]),
  );
}
