// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import { writeIntervalMilliseconds } from "./write_interval.ts";

const LOAD = { hosts: 3, storeWritesPerSecond: 400, streams: 10 };

describe("the time between two writes of new streams", () => {
  test.each([
    [3, 400, 100],
    [24, 400, 180],
    [360, 3_200, 337.5],
    [360, 400, 1_000],
  ])(
    "keeps %i hosts to a third of %i writes a second: %i ms",
    (hosts, storeWritesPerSecond, expected) => {
      const load = { ...LOAD, hosts, storeWritesPerSecond };
      expect(writeIntervalMilliseconds(load)).toBeCloseTo(expected);
    },
  );

  test("is longer for an object of many streams", () => {
    const interval = writeIntervalMilliseconds({ ...LOAD, streams: 4_000 });
    expect(interval).toBeCloseTo(400);
  });

  test("is the longest while the number of hosts is unknown", () => {
    const load = { ...LOAD, hosts: undefined };
    expect(writeIntervalMilliseconds(load)).toBe(1_000);
  });
});
