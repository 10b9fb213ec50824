// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import { ArrivalRates } from "./arrival_rates.ts";

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
