// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import { UsageCounter } from "./usage_counter.ts";

const WINDOW_MILLISECONDS = 5_000;

/** Number of windows in an hour. */
const WINDOWS = 720;

describe("counts that a host receives and never reports", () => {
  // Guards against a memory leak. Only the holder of the duties dropped old
  // counts, so at all other hosts they grew by 720 windows an hour for each
  // host.
  test("are dropped once their windows are too old", () => {
    const counter = new UsageCounter(WINDOW_MILLISECONDS);
    for (let window = 0; window < WINDOWS; window += 1) {
      counter.receiveCounts("peer", "1", { [window]: { w: 1 } });
      counter.dropOldWindows(window * WINDOW_MILLISECONDS);
    }
    const known = Array.from({ length: WINDOWS }, (_, window) => window).filter(
      (window) => counter.hasCounts(window),
    );
    expect(known).toEqual([713, 714, 715, 716, 717, 718, 719]);
  });
});

describe("counts to store with the lease", () => {
  test("are those of near windows that are not final", () => {
    const counter = new UsageCounter(WINDOW_MILLISECONDS);
    counter.receiveCounts("peer", "1", {
      98: { w: 1 },
      99: { w: 2 },
      900: { w: 3 },
    });
    counter.countRequest("w", 100 * WINDOW_MILLISECONDS);
    const open = {
      wallTime: 100 * WINDOW_MILLISECONDS,
      isFinal: (window: number) => window === 98,
    };
    expect(counter.openCounts("self/1", open)).toEqual({
      "self/1": { 100: { w: 1 } },
      "peer/1": { 99: { w: 2 } },
    });
  });
});
