// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import fc from "fast-check";
import {
  SlotTotalsCache,
  type SlotDemand,
  slotTotals,
  admittedShare,
} from "./slot_admission.ts";

const DEMAND: SlotDemand = {
  arrivalsPerMillisecond: 0.26,
  holdMilliseconds: 1_200,
  targetMilliseconds: 600,
  lagMilliseconds: 800,
};

function fleet(engines: number, load: number) {
  return slotTotals(
    Array.from({ length: engines }, () => ({ slots: 12, load })),
  );
}

describe("share of the requests that are accepted", () => {
  test("is 1 while slots are free or become free in time", () => {
    expect(admittedShare(fleet(44, 7), DEMAND)).toBe(1);
    expect(admittedShare(fleet(44, 12), DEMAND)).toBe(1);
  });

  test("is what full engines can complete", () => {
    const share = admittedShare(fleet(20, 13.5), DEMAND);
    // 200 of the 312 requests that arrive in 1.2 s complete in that time.
    expect(share).toBeGreaterThan(0.5);
    expect(share).toBeLessThan(0.8);
  });

  test("falls with the length of the queue, down to 0", () => {
    const shares = [12, 16, 20, 30].map((load) =>
      admittedShare(fleet(20, load), DEMAND),
    );
    expect(shares).toEqual(shares.toSorted((left, right) => right - left));
    expect(shares.at(-1)).toBe(0);
  });

  test("is between 0 and 1 whatever servers and peers report", () => {
    const number = fc.double({ min: 0, max: 1e9, noNaN: true });
    fc.assert(
      fc.property(
        fc.array(
          fc.record({
            slots: fc.integer({ min: 1, max: 65_535 }),
            load: number,
          }),
          { maxLength: 20 },
        ),
        fc.record({
          arrivalsPerMillisecond: number,
          holdMilliseconds: fc.double({ min: 5, max: 30_000, noNaN: true }),
          targetMilliseconds: number,
          lagMilliseconds: number,
        }),
        (servers, demand) => {
          const share = admittedShare(slotTotals(servers), demand);
          expect(share).toBeGreaterThanOrEqual(0);
          expect(share).toBeLessThanOrEqual(1);
        },
      ),
    );
  });

  test("is not lowered by the false report of a single server", () => {
    const lying = { slots: 12, load: 1e9 };
    const servers = Array.from({ length: 20 }, () => ({ slots: 12, load: 6 }));
    expect(admittedShare(slotTotals([...servers, lying]), DEMAND)).toBe(1);
  });

  test("is 1 without servers, so that the choice gives the reason", () => {
    expect(admittedShare(slotTotals([]), DEMAND)).toBe(1);
  });
});

describe("cached slot totals", () => {
  test("are computed at most ten times per second", () => {
    const cache = new SlotTotalsCache();
    let reads = 0;
    const servers = () => {
      reads += 1;
      return [{ slots: 12, load: reads }];
    };
    const loads = [0, 50, 99, 100, 150].map(
      (now) => cache.of("models", now, servers).load,
    );
    expect(loads).toEqual([1, 1, 1, 2, 2]);
    expect(cache.of("other", 150, servers).load).toBe(3);
  });
});
