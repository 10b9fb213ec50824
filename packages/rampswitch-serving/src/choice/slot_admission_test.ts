// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import fc from "fast-check";
import {
  KnownPlaces,
  type PlaceDemand,
  placeTotals,
  shareWithPlaces,
} from "./slot_admission.ts";

const DEMAND: PlaceDemand = {
  arrivalsPerMillisecond: 0.26,
  holdMilliseconds: 1_200,
  targetMilliseconds: 600,
  lagMilliseconds: 800,
};

function fleet(engines: number, load: number) {
  return placeTotals(
    Array.from({ length: engines }, () => ({ slots: 12, load })),
  );
}

describe("share of the requests with places", () => {
  test("takes all while places are free, or get free in time", () => {
    expect(shareWithPlaces(fleet(44, 7), DEMAND)).toBe(1);
    expect(shareWithPlaces(fleet(44, 12), DEMAND)).toBe(1);
  });

  test("takes what full engines get done", () => {
    const share = shareWithPlaces(fleet(20, 13.5), DEMAND);
    // 200 requests of 312 that come in 1.2 s end in that time.
    expect(share).toBeGreaterThan(0.5);
    expect(share).toBeLessThan(0.8);
  });

  test("takes less the longer the queue is, and nothing in the end", () => {
    const shares = [12, 16, 20, 30].map((load) =>
      shareWithPlaces(fleet(20, load), DEMAND),
    );
    expect(shares).toEqual(shares.toSorted((left, right) => right - left));
    expect(shares.at(-1)).toBe(0);
  });

  test("is a share whatever servers and peers tell", () => {
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
          const share = shareWithPlaces(placeTotals(servers), demand);
          expect(share).toBeGreaterThanOrEqual(0);
          expect(share).toBeLessThanOrEqual(1);
        },
      ),
    );
  });

  test("lets no single server's word turn callers away", () => {
    const lying = { slots: 12, load: 1e9 };
    const servers = Array.from({ length: 20 }, () => ({ slots: 12, load: 6 }));
    expect(shareWithPlaces(placeTotals([...servers, lying]), DEMAND)).toBe(1);
  });

  test("leaves it to the choice where there are no servers", () => {
    expect(shareWithPlaces(placeTotals([]), DEMAND)).toBe(1);
  });
});

describe("known places", () => {
  test("are added up ten times a second at most", () => {
    const places = new KnownPlaces();
    let reads = 0;
    const servers = () => {
      reads += 1;
      return [{ slots: 12, load: reads }];
    };
    const loads = [0, 50, 99, 100, 150].map(
      (now) => places.of("models", now, servers).load,
    );
    expect(loads).toEqual([1, 1, 1, 2, 2]);
    expect(places.of("other", 150, servers).load).toBe(3);
  });
});
