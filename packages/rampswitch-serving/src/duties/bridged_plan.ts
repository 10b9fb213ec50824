// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Plans how many servers each data hall is to have where servers on demand only bridge
 * the time until reclaimable ones can be had again. It answers reclaims of several data
 * halls within seconds: after the next one, the remaining servers carry the load up to
 * the point at which requests would wait. All functions are pure.
 *
 * @module
 */
import type { CapacityLimits } from "../model/configuration.ts";
import {
  byPrice,
  type DataHallServers,
  type DataHallTarget,
  fillCheapest,
  reclaimableTargets,
} from "./capacity_plan.ts";
import type { ServerDemand } from "./server_demand.ts";

/** Plans all data halls of a service. */
export function planBridgedCapacity(
  demand: Pick<ServerDemand, "needed" | "lastingNeeded" | "bridge">,
  halls: readonly DataHallServers[],
  options: {
    readonly limits: CapacityLimits;
    /**
     * Whether reclaimable servers are missing for longer than they take to start, so
     * that none can be expected to come.
     */
    readonly isReclaimableLacking: boolean;
  },
): readonly DataHallTarget[] {
  const { limits, isReclaimableLacking } = options;
  const maximum = limits.maximum * halls.length;
  const needed = Math.min(demand.needed, maximum);
  const bridge = Math.min(demand.bridge, needed);
  const lastingNeeded = Math.min(demand.lastingNeeded, needed);
  const expected = halls.map((hall) => hall.reclaimableExpected);
  const ready = halls.map((hall) => hall.reclaimableReady);
  const minimumCount = Math.max(
    bridge - remainingAfterReclaim(expected),
    isReclaimableLacking ? lastingNeeded - sum(expected) : 0,
    0,
  );
  // Servers on demand that exist are retained until reclaimable ones are ready.
  const maximumCount = Math.max(
    minimumCount,
    bridge - remainingAfterReclaim(ready),
    needed - sum(ready),
  );
  const cheapest = byPrice(halls, limits);
  const fill = (count: number, used: (hall: DataHallServers) => number) =>
    fillCheapest(
      count,
      cheapest.map((hall) => ({
        dataHall: hall.dataHall,
        ready: onDemandExpected(hall),
        headroom: headroomOf(hall, limits.maximum - used(hall)),
      })),
    );
  const reclaimable = reclaimableTargets(needed, halls, limits);
  const minimums = fill(minimumCount, (hall) => hall.reclaimableExpected);
  const maximums = fill(maximumCount, (hall) => hall.reclaimableReady);
  return halls.map(({ dataHall }) => {
    const onDemandMinimum = minimums.get(dataHall) ?? 0;
    return {
      dataHall,
      reclaimable: reclaimable.get(dataHall),
      onDemandMinimum,
      onDemandMaximum: Math.max(onDemandMinimum, maximums.get(dataHall) ?? 0),
    };
  });
}

/** Returns the servers on demand that a data hall may have. */
function headroomOf(hall: DataHallServers, free: number): number {
  const headroom = Math.max(0, free);
  return hall.onDemandSoldOut === true
    ? Math.min(headroom, onDemandExpected(hall))
    : headroom;
}

function onDemandExpected(hall: DataHallServers): number {
  return hall.onDemandExpected ?? hall.onDemandReady;
}

/**
 * Returns the reclaimable servers that remain when the data hall with most of them is
 * reclaimed.
 */
function remainingAfterReclaim(reclaimable: readonly number[]): number {
  return sum(reclaimable) - Math.max(0, ...reclaimable);
}

function sum(counts: readonly number[]): number {
  return counts.reduce((total, count) => total + count, 0);
}
