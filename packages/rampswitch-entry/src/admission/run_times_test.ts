// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { expect, test } from "@jest/globals";
import { RunTimes } from "./run_times.ts";

test("runs are expected to take as long as predicted until one has ended", () => {
  const times = new RunTimes();
  times.started({ id: "a", runMilliseconds: 100 }, 0);
  expect(times.expected(100)).toBe(100);
});

test("the ratio of the first run counts, and later ones move it", () => {
  const times = new RunTimes();
  times.started({ id: "a", runMilliseconds: 1 }, 0);
  times.ended("a", 500);
  expect(times.expected(1)).toBe(500);
  times.started({ id: "b", runMilliseconds: 1 }, 1_000);
  times.ended("b", 1_000);
  expect(times.expected(1)).toBeCloseTo(400);
});

test("the end of a run that did not start teaches nothing", () => {
  const times = new RunTimes();
  times.ended("a", 500);
  expect(times.expected(10)).toBe(10);
});
