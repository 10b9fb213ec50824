// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import { ReportedSlowdowns } from "./reported_slowdowns.ts";
import { ServerSpeed } from "./server_speed.ts";

function speeds(figures: readonly number[], now: number) {
  return figures.map((figure) => {
    const speed = new ServerSpeed();
    speed.reported(figure, now);
    return { speed };
  });
}

describe("mean reported slowdown", () => {
  // Deployments whose servers report nothing order as many servers as before.
  test("is 1 if servers report nothing, whatever their answers took", () => {
    const slowdowns = new ReportedSlowdowns();
    const speed = new ServerSpeed();
    for (let count = 0; count < 20; count += 1) speed.observed(3, 1_000);
    expect(slowdowns.mean("models", [{ speed }], 1_000)).toBe(1);
  });

  test("follows the reports over some seconds", () => {
    const slowdowns = new ReportedSlowdowns();
    const servers = (now: number) => speeds([250, 100], now);
    // One slow server of two must not order servers for half a second.
    expect(slowdowns.mean("models", servers(1_000), 1_000)).toBeLessThan(1.1);
    for (let now = 1_500; now <= 31_000; now += 500)
      slowdowns.mean("models", servers(now), now);
    expect(slowdowns.mean("models", servers(31_000), 31_000)).toBeCloseTo(1.75);
    expect(slowdowns.mean("other", servers(31_000), 31_000)).toBeLessThan(1.1);
  });

  test("is 1 again when reports end", () => {
    const slowdowns = new ReportedSlowdowns();
    for (let now = 1_000; now <= 31_000; now += 500)
      slowdowns.mean("models", speeds([250], now), now);
    expect(slowdowns.mean("models", [], 40_999)).toBeCloseTo(2.5);
    expect(slowdowns.mean("models", [], 41_000)).toBe(1);
  });
});
