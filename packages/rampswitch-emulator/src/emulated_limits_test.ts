// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import { ALLOWED_BEYOND } from "rampswitch-standins";
import { EmulatedLimits } from "./emulated_limits.ts";
import { LIMIT_TROUBLES } from "./limits_shape.ts";

/** Share of what servers take that is to be used while there is demand. */
const WANTED_SHARE = 0.8;

const RUN = {
  way: "asked",
  hosts: 9,
  perSecond: 1,
  demand: 4,
  seconds: 40,
} as const;

describe("a fleet before servers that name limits", () => {
  test.each(LIMIT_TROUBLES)("keeps them together (%s)", (trouble) => {
    [0.2, 5].forEach((perSecond) => {
      const run = { ...RUN, perSecond, trouble, seed: 7 };
      const { mostBeyond } = new EmulatedLimits(run).play();
      expect(mostBeyond).toBeLessThanOrEqual(ALLOWED_BEYOND);
    });
  });

  // Nobody remembers a limit for hosts that all start anew: until the first answer is
  // read and told, they send as to any server.
  test("keeps them when all hosts end together, 50 a second", () => {
    const run = { ...RUN, perSecond: 50, trouble: "all_end", seed: 7 } as const;
    const { mostBeyond } = new EmulatedLimits(run).play();
    expect(mostBeyond).toBeLessThanOrEqual(ALLOWED_BEYOND);
  });

  test("uses what they take while there is demand", () => {
    const run = { ...RUN, trouble: "none", seed: 3 } as const;
    const { used, refusalMilliseconds } = new EmulatedLimits(run).play();
    expect(used).toBeGreaterThanOrEqual(WANTED_SHARE);
    expect(refusalMilliseconds).toBeLessThan(100);
  });

  test("shows a way that keeps no limit", () => {
    const run = {
      ...RUN,
      way: "even_share",
      trouble: "none",
      seed: 3,
    } as const;
    const { mostBeyond } = new EmulatedLimits(run).play();
    expect(mostBeyond).toBeGreaterThan(ALLOWED_BEYOND);
  });
});
