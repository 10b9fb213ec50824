// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import fc from "fast-check";
import type { CapacityLimits } from "../model/configuration.ts";
import { planBridgedCapacity } from "./bridged_plan.ts";
import {
  type DataHallServers,
  type DataHallTarget,
  planCapacity,
} from "./capacity_plan.ts";

const LIMITS: CapacityLimits = {
  minimum: 1,
  maximum: 46,
  startMilliseconds: 4_000,
  reclaimablePriceShare: 0.15,
  dataHallPrices: new Map([
    ["a", 1],
    ["b", 0.85],
    ["c", 1.2],
    ["d", 1.1],
  ]),
};

/** Demand of a calm day: 7.7 engines are busy. */
const CALM = { needed: 19, lastingNeeded: 19, bridge: 11 };

const AVAILABLE = { limits: LIMITS, isReclaimableLacking: false };

/** Data halls with numbers of reclaimable servers; `undefined` is sold out and empty. */
function halls(
  counts: readonly (number | undefined)[],
  others: Partial<DataHallServers> = {},
): readonly DataHallServers[] {
  return ["a", "b", "c", "d"].map((dataHall, index) => ({
    dataHall,
    onDemandReady: 0,
    reclaimableReady: counts[index] ?? 0,
    reclaimableExpected: counts[index] ?? 0,
    reclaimableSoldOut: counts[index] === undefined,
    ...others,
  }));
}

function minimumOnDemand(targets: readonly DataHallTarget[]): number {
  return targets.reduce((sum, { onDemandMinimum }) => sum + onDemandMinimum, 0);
}

describe("servers on demand", () => {
  test("bridge reclaims of three data halls within ten seconds", () => {
    // What remains after each reclaim, while none can be had where one was.
    const states = [
      { counts: [9, 9, 8, 8], bridged: 0, planned: 0 },
      { counts: [undefined, 9, 8, 8], bridged: 0, planned: 0 },
      { counts: [undefined, undefined, 8, 8], bridged: 3, planned: 7 },
      {
        counts: [undefined, undefined, undefined, 8],
        bridged: 11,
        planned: 15,
      },
    ];
    states.forEach(({ counts, bridged, planned }) => {
      const servers = halls(counts);
      expect(
        minimumOnDemand(planBridgedCapacity(CALM, servers, AVAILABLE)),
      ).toBe(bridged);
      expect(minimumOnDemand(planCapacity(CALM.needed, servers, LIMITS))).toBe(
        planned,
      );
    });
  });

  test("replace reclaimable servers that can't be had for long", () => {
    const servers = halls([undefined, undefined, undefined, undefined]);
    const lacking = { ...AVAILABLE, isReclaimableLacking: true };
    expect(minimumOnDemand(planBridgedCapacity(CALM, servers, AVAILABLE))).toBe(
      11,
    );
    expect(minimumOnDemand(planBridgedCapacity(CALM, servers, lacking))).toBe(
      19,
    );
  });

  test("go to the cheapest data halls that have room", () => {
    const minimumsWith = (maximum: number, servers = halls([])) =>
      planBridgedCapacity(CALM, servers, {
        ...AVAILABLE,
        limits: { ...LIMITS, maximum },
      }).map(({ onDemandMinimum }) => onDemandMinimum);
    expect(minimumsWith(46)).toEqual([5, 6, 0, 0]);
    expect(minimumsWith(5)).toEqual([5, 5, 0, 1]);
    const withoutB = halls([]).map((hall) =>
      hall.dataHall === "b" ? { ...hall, onDemandSoldOut: true } : hall,
    );
    expect(minimumsWith(7, withoutB)).toEqual([6, 0, 0, 5]);
  });

  test("are not all lost with one data hall", () => {
    fc.assert(
      fc.property(
        fc.integer({ min: 1, max: 92 }),
        fc.boolean(),
        (needed, isReclaimableLacking) => {
          const targets = planBridgedCapacity(
            {
              needed,
              lastingNeeded: needed,
              bridge: Math.ceil(needed * 0.6),
            },
            halls([]),
            { limits: LIMITS, isReclaimableLacking },
          );
          const half = Math.ceil(minimumOnDemand(targets) / 2);
          targets.forEach(({ onDemandMinimum }) => {
            expect(onDemandMinimum).toBeLessThanOrEqual(half);
          });
        },
      ),
      { seed: 6 },
    );
  });

  test("exceed half in a data hall only where no other one has room", () => {
    const onlyB = halls([]).map((hall) =>
      hall.dataHall === "b" ? hall : { ...hall, onDemandSoldOut: true },
    );
    expect(
      planBridgedCapacity(CALM, onlyB, AVAILABLE).map(
        ({ onDemandMinimum }) => onDemandMinimum,
      ),
    ).toEqual([0, 11, 0, 0]);
  });

  test("that still start are not ordered again elsewhere", () => {
    const starting = halls([]).map((hall) =>
      hall.dataHall === "d" ? { ...hall, onDemandExpected: 6 } : hall,
    );
    expect(
      planBridgedCapacity(CALM, starting, AVAILABLE).map(
        ({ onDemandMinimum }) => onDemandMinimum,
      ),
    ).toEqual([0, 5, 0, 6]);
  });

  test("are retained until reclaimable ones are ready in their place", () => {
    const expected = { reclaimableReady: 0, reclaimableExpected: 9 };
    const starting = halls([9, 9, 9, 9], { ...expected, onDemandReady: 5 });
    const targets = planBridgedCapacity(CALM, starting, AVAILABLE);
    expect(minimumOnDemand(targets)).toBe(0);
    expect(
      targets.reduce((sum, { onDemandMaximum }) => sum + onDemandMaximum, 0),
    ).toBe(19);
    const ready = halls([9, 9, 9, 9], { onDemandReady: 5 });
    expect(
      planBridgedCapacity(CALM, ready, AVAILABLE).every(
        ({ onDemandMaximum }) => onDemandMaximum === 0,
      ),
    ).toBe(true);
  });

  test("carry the lasting demand with what the next reclaim leaves, within the limits", () => {
    const anyHall = fc.record({
      ready: fc.integer({ min: 0, max: 46 }),
      soldOut: fc.boolean(),
    });
    fc.assert(
      fc.property(
        fc.array(anyHall, { minLength: 4, maxLength: 4 }),
        fc.double({ min: 1, max: 1e6, noNaN: true }),
        fc.boolean(),
        (servers, needed, isReclaimableLacking) => {
          const counts = servers.map(({ ready }) => ready);
          const all = halls(counts).map((hall, index) => ({
            ...hall,
            reclaimableSoldOut: servers[index]?.soldOut === true,
          }));
          const whole = Math.ceil(needed);
          const bridge = Math.ceil(whole * 0.6);
          const targets = planBridgedCapacity(
            { needed: whole, lastingNeeded: whole, bridge },
            all,
            { limits: LIMITS, isReclaimableLacking },
          );
          const total = counts.reduce((sum, count) => sum + count, 0);
          const remaining = total - Math.max(...counts);
          const room = 4 * 46 - total;
          expect(minimumOnDemand(targets)).toBeGreaterThanOrEqual(
            Math.min(room, Math.min(bridge, 4 * 46) - remaining),
          );
          targets.forEach((target) => {
            expect(target.onDemandMinimum).toBeLessThanOrEqual(
              target.onDemandMaximum,
            );
            expect(target.onDemandMaximum).toBeLessThanOrEqual(46);
            expect(target.reclaimable ?? 0).toBeLessThanOrEqual(46);
          });
        },
      ),
      { seed: 5 },
    );
  });
});
