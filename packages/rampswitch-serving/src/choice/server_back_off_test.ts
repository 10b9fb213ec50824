// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import { AskedRest } from "./server_back_off.ts";

const SLOTS = 8;

function asked(milliseconds: number, now = 0, returnsAfter = 0): AskedRest {
  const rest = new AskedRest();
  rest.asked({ now, milliseconds, returnsAfter });
  return rest;
}

describe("a rest that a server asked for", () => {
  test("holds to the latest end, and to this host's part of the return", () => {
    const rest = asked(1_000);
    rest.asked({ now: 100, milliseconds: 300, returnsAfter: 0 });
    expect([rest.holds(999), rest.holds(1_000)]).toEqual([true, false]);
    rest.asked({ now: 200, milliseconds: 1_000, returnsAfter: 50 });
    expect([rest.holds(1_249), rest.holds(1_250)]).toEqual([true, false]);
  });

  test("is followed by one request, then by twice as many with each one taken", () => {
    const rest = asked(1_000);
    const first = rest.sent(SLOTS);
    expect(rest.takes(1_001)).toBe(false);
    first.taken();
    first.taken();
    expect(rest.takes(1_001)).toBe(true);
    rest.sent(SLOTS);
    expect(rest.takes(1_001)).toBe(false);
    first.ended();
    expect(rest.takes(1_001)).toBe(true);
  });

  test("is over once as many were taken as the server has slots", () => {
    const rest = asked(1_000);
    [1, 2, 4].forEach(() => rest.sent(SLOTS).taken());
    const sends = Array.from({ length: 50 }, () => rest.sent(SLOTS));
    expect(sends).toHaveLength(50);
    expect(rest.takes(1_001)).toBe(true);
  });

  test("of any length ends", () => {
    expect(asked(1e15).holds(3_600_001)).toBe(false);
  });

  test("counts for the plan by its share of the newest time", () => {
    const rest = asked(2_000);
    rest.asked({ now: 1_000, milliseconds: 3_000, returnsAfter: 0 });
    expect(rest.share(4_000)).toBeCloseTo(0.4);
    expect(rest.share(12_000)).toBeCloseTo(0.2);
    expect(rest.share(20_000)).toBe(0);
  });
});
