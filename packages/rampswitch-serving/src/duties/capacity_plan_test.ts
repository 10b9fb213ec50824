// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import fc from "fast-check";
import type { CapacityLimits } from "../model/configuration.ts";
import {
  type DataHallServers,
  type DataHallTarget,
  planCapacity,
  serversNeeded,
} from "./capacity_plan.ts";

const LIMITS: CapacityLimits = {
  minimum: 1,
  maximum: 7,
  startMilliseconds: 4_000,
  reclaimablePriceShare: 0.15,
  dataHallPrices: new Map([
    ["a", 1],
    ["b", 0.8],
    ["c", 1.25],
    ["d", 0.9],
  ]),
};

function hall(
  dataHall: string,
  servers: Partial<DataHallServers> = {},
): DataHallServers {
  return {
    dataHall,
    onDemandReady: 0,
    reclaimableReady: 0,
    reclaimableExpected: 0,
    reclaimableSoldOut: false,
    ...servers,
  };
}

function minimumOnDemand(hallTargets: readonly DataHallTarget[]): number {
  return hallTargets.reduce(
    (sum, hallTarget) => sum + hallTarget.onDemandMinimum,
    0,
  );
}

const READY = { reclaimableReady: 3, reclaimableExpected: 3 };

describe("needed servers", () => {
  test("follow from the prompt tokens to read and the slots in use", () => {
    const engine = { slots: 32, memoryTokens: 500_000, migratable: true };
    const load = { running: 0, readTokensPerSecond: 0, readingRate: 50 };
    expect(serversNeeded(load, engine)).toBe(3);
    expect(
      serversNeeded({ ...load, readTokensPerSecond: 100_000 }, engine),
    ).toBe(6);
    expect(serversNeeded({ ...load, running: 100 }, engine)).toBe(9);
  });

  test("are utilized more fully the more of them share a load", () => {
    const engine = { slots: 16, memoryTokens: 500_000, migratable: true };
    const shares = [1, 4, 16, 64].map((filled) => {
      const load = { running: filled * 16, readTokensPerSecond: 0 };
      const needed = serversNeeded({ ...load, readingRate: 50 }, engine);
      return filled / needed;
    });
    expect(shares).toEqual(
      shares.toSorted((soldOutHalls, right) => soldOutHalls - right),
    );
    expect(shares.at(-1)).toBeGreaterThan(0.45);
    expect(shares.at(-1)).toBeLessThan(0.55);
  });
});

describe("capacity plan", () => {
  test("carries the load with reclaimable servers and a reserve", () => {
    const halls = ["a", "b", "c", "d"].map((name) => hall(name, READY));
    const hallTargets = planCapacity(8, halls, LIMITS);
    const reclaimable = hallTargets.map(
      (hallTarget) => hallTarget.reclaimable ?? 0,
    );
    expect(reclaimable.reduce((sum, count) => sum + count, 0)).toBe(15);
    // Without the data hall that has most, a third more than needed remains.
    const left = 15 - Math.max(...reclaimable);
    expect(left).toBeGreaterThanOrEqual(Math.floor((8 * 4) / 3));
    expect(Math.max(...reclaimable) - Math.min(...reclaimable)).toBe(1);
    expect(
      hallTargets.every((hallTarget) => hallTarget.onDemandMaximum === 0),
    ).toBe(true);
  });

  test("spreads the load over the other data halls after a reclaim", () => {
    const halls = [
      hall("a", { reclaimableSoldOut: true }),
      ...["b", "c", "d"].map((name) => hall(name, READY)),
    ];
    const hallTargets = planCapacity(9, halls, LIMITS);
    expect(hallTargets[0]?.reclaimable).toBeUndefined();
    expect(
      hallTargets.slice(1).map((hallTarget) => hallTarget.reclaimable),
    ).toEqual([6, 5, 5]);
    // Nine remain, and six after the next reclaim; seven have to remain.
    expect(minimumOnDemand(hallTargets)).toBe(1);
  });

  test("orders most servers on demand before the last data hall is reclaimed", () => {
    const halls = [
      ...["a", "b", "c"].map((name) =>
        hall(name, { reclaimableSoldOut: true }),
      ),
      hall("d", { reclaimableReady: 7, reclaimableExpected: 7 }),
    ];
    expect(minimumOnDemand(planCapacity(6, halls, LIMITS))).toBe(5);
  });

  test("orders some servers on demand if one data hall has all reclaimable ones", () => {
    const halls = [
      ...["a", "b", "c"].map((name) => hall(name)),
      hall("d", { reclaimableReady: 7, reclaimableExpected: 7 }),
    ];
    // 0.35 of the six that are needed.
    expect(minimumOnDemand(planCapacity(6, halls, LIMITS))).toBe(3);
  });

  test("orders what the next reclaim would take while all data halls are sold out", () => {
    const soldOut = { reclaimableSoldOut: true };
    const left = (counts: readonly number[]) =>
      ["a", "b", "c", "d"].map((name, index) => {
        const count = counts[index] ?? 0;
        return hall(name, {
          ...soldOut,
          reclaimableReady: count,
          reclaimableExpected: count,
        });
      });
    const minimumFor = (counts: readonly number[]) =>
      minimumOnDemand(planCapacity(7, left(counts), LIMITS));
    expect(minimumFor([4, 5, 4, 0])).toBe(0);
    expect(minimumFor([4, 0, 4, 0])).toBe(2);
    expect(minimumFor([4, 0, 0, 0])).toBe(6);
  });

  test("puts servers on demand into the two cheapest data halls with headroom", () => {
    const halls = ["a", "b", "c", "d"].map((name) =>
      hall(name, { reclaimableSoldOut: true }),
    );
    const minimumsFor = (needed: number) =>
      planCapacity(needed, halls, LIMITS).map(
        (hallTarget) => hallTarget.onDemandMinimum,
      );
    expect(minimumsFor(8)).toEqual([0, 4, 0, 4]);
    expect(minimumsFor(17)).toEqual([3, 7, 0, 7]);
  });

  test("retains servers on demand until others are ready, and orders no unneeded ones", () => {
    const halls = ["a", "b"].map((name) =>
      hall(name, { onDemandReady: 3, reclaimableExpected: 5 }),
    );
    const hallTargets = planCapacity(6, halls, LIMITS);
    expect(hallTargets.map((hallTarget) => hallTarget.onDemandMinimum)).toEqual(
      [0, 0],
    );
    expect(hallTargets.map((hallTarget) => hallTarget.onDemandMaximum)).toEqual(
      [3, 3],
    );
  });

  test("covers the load within the limits, with any data halls sold out", () => {
    const anyHall = fc
      .record({
        ready: fc.integer({ min: 0, max: 7 }),
        soldOut: fc.boolean(),
      })
      .map(({ ready, soldOut }) => ({
        reclaimableReady: soldOut ? 0 : ready,
        reclaimableExpected: soldOut ? 0 : ready,
        reclaimableSoldOut: soldOut,
      }));
    fc.assert(
      fc.property(
        fc.array(anyHall, { minLength: 4, maxLength: 4 }),
        fc.integer({ min: 1, max: 20 }),
        (servers, needed) => {
          const halls = ["a", "b", "c", "d"].map((name, index) =>
            hall(name, servers[index]),
          );
          const hallTargets = planCapacity(needed, halls, LIMITS);
          const ready = halls.reduce((sum, h) => sum + h.reclaimableReady, 0);
          const onDemand = hallTargets.reduce(
            (sum, w) => sum + w.onDemandMinimum,
            0,
          );
          expect(ready + onDemand).toBeGreaterThanOrEqual(needed);
          hallTargets.forEach((hallTarget) => {
            expect(hallTarget.onDemandMinimum).toBeLessThanOrEqual(
              hallTarget.onDemandMaximum,
            );
            expect(hallTarget.onDemandMaximum).toBeLessThanOrEqual(
              LIMITS.maximum,
            );
            expect(hallTarget.reclaimable ?? 0).toBeLessThanOrEqual(
              LIMITS.maximum,
            );
          });
        },
      ),
      { seed: 3 },
    );
  });
});
