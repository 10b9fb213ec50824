// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import fc from "fast-check";
import { SuspendAwareClock } from "./suspend_aware_clock.ts";
import { ManualClock } from "./clock.ts";

function createClocks(): {
  readonly steady: ManualClock;
  readonly wall: { ahead: number };
  readonly cautious: SuspendAwareClock;
} {
  const steady = new ManualClock(1_000);
  const wall = { ahead: 1_700_000_000_000 };
  const wallTime = () => wall.ahead + steady.now();
  return { steady, wall, cautious: new SuspendAwareClock(steady, wallTime) };
}

describe("a suspend-aware clock", () => {
  test("advances with the monotonic clock", () => {
    const { steady, cautious } = createClocks();
    steady.advance(700);
    expect(cautious.now()).toBe(1_700);
  });

  test("counts the time for which the monotonic clock stood still", () => {
    const { steady, wall, cautious } = createClocks();
    wall.ahead += 8_000;
    steady.advance(10);
    expect(cautious.now()).toBe(9_010);
    expect(cautious.now()).toBe(9_010);
  });

  test("never goes back, whatever the time of day is set to", () => {
    const steps = fc.array(
      fc.record({
        wall: fc.integer({ min: -5_000, max: 5_000 }),
        steady: fc.integer({ min: 0, max: 300 }),
      }),
      { minLength: 1, maxLength: 50 },
    );
    fc.assert(
      fc.property(steps, (taken) => {
        const { steady, wall, cautious } = createClocks();
        let before = cautious.now();
        taken.forEach((step) => {
          wall.ahead += step.wall;
          steady.advance(step.steady);
          const now = cautious.now();
          expect(now - before).toBeGreaterThanOrEqual(step.steady);
          before = now;
        });
      }),
      { seed: 34, numRuns: 500 },
    );
  });

  test("uses the timers of the monotonic clock", () => {
    const { steady, wall, cautious } = createClocks();
    let fired = false;
    cautious.after(100, () => {
      fired = true;
    });
    wall.ahead += 8_000;
    steady.advance(99);
    expect(fired).toBe(false);
    steady.advance(1);
    expect(fired).toBe(true);
  });
});
