// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import { EmulatedRests, type ReturnWay } from "./emulated_rests.ts";

function overloaded(way: ReturnWay) {
  return new EmulatedRests({
    ...{ hosts: 9, restMilliseconds: 100, shedding: 1, demand: 1.5 },
    ...{ way, seed: 7 },
  }).play();
}

describe("a fleet before servers that ask for rests", () => {
  test("is turned away less where hosts return one after the other", () => {
    const spread = overloaded("hosts");
    const atOnce = overloaded("none");
    expect(spread.sheds).toBeLessThan(atOnce.sheds);
    expect(spread.inTime).toBeGreaterThan(0);
  });
});
