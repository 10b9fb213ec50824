// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import fc from "fast-check";
import { allocateRoom, type ClassDemand } from "./room_allocation.ts";

/** Share of the overall share that each class gets at least. */
const FLOOR = 0.3;

/** Errors of sums of floating-point numbers. */
const ROUNDING = 1e-6;

const CLASSES = fc.array(
  fc.record({
    rank: fc.integer({ min: 0, max: 4 }),
    demand: fc.double({ min: 0, max: 1_000, noNaN: true }),
  }),
  { minLength: 1, maxLength: 30 },
);
const ROOM = fc.double({ min: 0, max: 10_000, noNaN: true });

function total(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0);
}

function granted(
  classes: readonly ClassDemand[],
  room: number,
): readonly number[] {
  return allocateRoom(classes, room).map((one) => one.granted);
}

describe("the allocation of room", () => {
  test("meets the most urgent rank first, beyond the floors", () => {
    const classes = [
      { rank: 1, demand: 320 },
      { rank: 0, demand: 100 },
    ];
    const [less = 0, first] = granted(classes, 160);
    expect(first).toBeCloseTo(100);
    expect(less).toBeCloseTo(60);
  });

  test("divides a rank by max-min fairness", () => {
    const classes = [40, 320, 100].map((demand) => ({ rank: 0, demand }));
    expect(granted(classes, 160).map(Math.round)).toEqual([40, 60, 60]);
  });

  test("grants no more than the room, and all of it if demand exceeds it", () => {
    fc.assert(
      fc.property(CLASSES, ROOM, (classes, room) => {
        const sum = total(granted(classes, room));
        const demand = total(classes.map((one) => one.demand));
        expect(sum).toBeLessThanOrEqual(room + ROUNDING);
        expect(sum).toBeGreaterThanOrEqual(Math.min(room, demand) - ROUNDING);
      }),
    );
  });

  test("grants no class more than its demand, and each its floor", () => {
    fc.assert(
      fc.property(CLASSES, ROOM, (classes, room) => {
        const demand = total(classes.map((one) => one.demand));
        const share = demand > room ? room / demand : 1;
        granted(classes, room).forEach((value, index) => {
          const own = classes[index]?.demand ?? 0;
          expect(value).toBeLessThanOrEqual(own + ROUNDING);
          expect(value).toBeGreaterThanOrEqual(FLOOR * share * own - ROUNDING);
        });
      }),
    );
  });

  test("leaves nobody short while another of its rank gets more beyond its floor", () => {
    fc.assert(
      fc.property(CLASSES, ROOM, (classes, room) => {
        const values = granted(classes, room);
        const demand = total(classes.map((one) => one.demand));
        const share = demand > room ? room / demand : 1;
        classes.forEach((one, index) => {
          const own = values[index] ?? 0;
          if (own >= one.demand - ROUNDING) return;
          classes.forEach((other, otherIndex) => {
            const value = values[otherIndex] ?? 0;
            const isAboveFloor =
              value > FLOOR * share * other.demand + ROUNDING;
            if (other.rank !== one.rank || !isAboveFloor) return;
            expect(value).toBeLessThanOrEqual(own + ROUNDING);
          });
        });
      }),
    );
  });

  test("serves no rank beyond its floors while a more urgent one is short", () => {
    fc.assert(
      fc.property(CLASSES, ROOM, (classes, room) => {
        const values = granted(classes, room);
        const demand = total(classes.map((one) => one.demand));
        const share = demand > room ? room / demand : 1;
        const short = classes
          .filter((one, index) => (values[index] ?? 0) < one.demand - ROUNDING)
          .map(({ rank }) => rank);
        const mostUrgent = Math.min(Infinity, ...short);
        classes.forEach((one, index) => {
          if (one.rank <= mostUrgent) return;
          expect(values[index]).toBeLessThanOrEqual(
            FLOOR * share * one.demand + ROUNDING,
          );
        });
      }),
    );
  });

  test("lets a class whose demand is met rise to as much again at most", () => {
    fc.assert(
      fc.property(CLASSES, ROOM, (classes, room) => {
        allocateRoom(classes, room).forEach((one, index) => {
          const demand = classes[index]?.demand ?? 0;
          expect(one.ceiling).toBeGreaterThanOrEqual(one.granted);
          expect(one.ceiling).toBeLessThanOrEqual(2 * demand + ROUNDING);
          if (one.granted < demand - ROUNDING) {
            expect(one.ceiling).toBe(one.granted);
          }
        });
      }),
    );
  });
});
