// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import { ManualClock } from "rampswitch-utils";
import { LoadMeter } from "./load_meter.ts";

/** Time between samples, in milliseconds. */
const SAMPLE_INTERVAL_MILLISECONDS = 250;

describe("load meter", () => {
  test("a host that starts does not count the earlier totals of a peer as load", () => {
    const clock = new ManualClock();
    const meter = new LoadMeter(clock);
    meter.readTokensPerSecond("models");
    const rates = Array.from({ length: 8 }, (_, index) => {
      clock.advance(SAMPLE_INTERVAL_MILLISECONDS);
      // A peer that has read ten million tokens reads 1,000 in each interval.
      meter.receivePeerTotals("peer/1", { models: 10_000_000 + 1_000 * index });
      return meter.readTokensPerSecond("models");
    });
    expect(Math.max(...rates)).toBeLessThanOrEqual(4_000);
    expect(rates.at(-1)).toBeGreaterThan(3_000);
  });

  test("adds the next incarnation of a peer to its former one", () => {
    const clock = new ManualClock();
    const meter = new LoadMeter(clock);
    meter.receivePeerTotals("peer/1", { models: 0 });
    meter.readTokensPerSecond("models");
    clock.advance(1_000);
    meter.receivePeerTotals("peer/1", { models: 5_000 });
    meter.receivePeerTotals("peer/2", { models: 0 });
    clock.advance(1_000);
    meter.receivePeerTotals("peer/2", { models: 3_000 });
    expect(meter.readTokensPerSecond("models")).toBe(4_000);
  });

  // Guards against memory and work that grow with each host that ever was.
  test("forgets incarnations that ended, and counts what they have read", () => {
    const clock = new ManualClock();
    const meter = new LoadMeter(clock);
    const known = Array.from({ length: 10_000 }, (_, index) => {
      meter.readTokensPerSecond("models");
      meter.receivePeerTotals(`peer/${index}`, { models: 0 });
      // Ten thousand in an hour.
      clock.advance(360);
      meter.receivePeerTotals(`peer/${index}`, { models: 720 });
      return meter.knownIncarnations;
    });
    expect(Math.max(...known)).toBeLessThan(1_000);
    expect(meter.readTokensPerSecond("models")).toBeCloseTo(2_000);
    expect(meter.idle).toBe(false);
  });

  test("requests that wait briefly hardly raise the load", () => {
    const clock = new ManualClock();
    const meter = new LoadMeter(clock);
    const loads = Array.from({ length: 24 }, (_, index) => {
      clock.advance(SAMPLE_INTERVAL_MILLISECONDS);
      return meter.meanRunning("models", index >= 18 && index < 22 ? 160 : 60);
    });
    expect(Math.max(...loads)).toBeLessThan(80);
  });

  test("is idle until any host has sent tokens to be read", () => {
    const meter = new LoadMeter(new ManualClock());
    expect(meter.idle).toBe(true);
    meter.receivePeerTotals("peer/1", { models: 7 });
    expect(meter.idle).toBe(false);
  });
});
