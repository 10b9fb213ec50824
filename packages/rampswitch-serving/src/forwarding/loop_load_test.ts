// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import { LoopLoad } from "./loop_load.ts";

describe("load of the event loop", () => {
  test("is told by the last span, not by all time since the last request", () => {
    const times = { now: 0, idle: 0 };
    const load = new LoopLoad(() => ({ ...times }));
    const pass = (milliseconds: number, idle: number) => {
      times.now += milliseconds;
      times.idle += idle;
      return load.isSaturated();
    };
    expect(pass(60_000, 59_000)).toBe(false);
    expect(pass(200, 0)).toBe(true);
    expect(pass(50, 50)).toBe(true);
    expect(pass(100, 100)).toBe(false);
    expect(pass(5_000, 0)).toBe(false);
  });
});
