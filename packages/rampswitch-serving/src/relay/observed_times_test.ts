// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import fc from "fast-check";
import { ArrivalRates } from "./arrival_rates.ts";
import { HoldTimes } from "./hold_times.ts";

describe("hold time of a slot", () => {
  test("is estimated by service", () => {
    const times = new HoldTimes();
    Array.from({ length: 200 }).forEach(() =>
      times.addMeasurement("models", 400),
    );
    expect(times.of("models")).toBeCloseTo(400, -1);
    expect(times.of("other")).toBe(1_000);
  });

  test("stays within its bounds for all measurements", () => {
    fc.assert(
      fc.property(fc.array(fc.double({ noNaN: true })), (measured) => {
        const times = new HoldTimes();
        measured.forEach((one) => times.addMeasurement("models", one));
        expect(times.of("models")).toBeGreaterThanOrEqual(5);
        expect(times.of("models")).toBeLessThanOrEqual(30_000);
      }),
    );
  });
});

describe("arrival rate", () => {
  test("follows recent arrivals, by service", () => {
    const rates = new ArrivalRates(0);
    const steady = Array.from({ length: 100 }, (_, index) =>
      rates.addArrival("models", 10_000 + index * 100),
    );
    expect(steady.at(-1)).toBeCloseTo(0.01, 3);
    expect(rates.addArrival("other", 20_000)).toBeLessThan(0.001);
  });

  test("does not treat the first request after a start as a burst", () => {
    expect(new ArrivalRates(5_000).addArrival("models", 5_001)).toBe(0.001);
  });
});
