// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import { LoopBacklog, type LoopTimes } from "./loop_backlog.ts";

function backlogAt(times: { current: LoopTimes }): LoopBacklog {
  return new LoopBacklog(() => times.current);
}

// A host that was behind sent 16 requests on after their callers had left.
describe("a loop", () => {
  test("is not behind while it waits for events in between", () => {
    const times = { current: { now: 0, idle: 0 } };
    const backlog = backlogAt(times);
    times.current = { now: 5_000, idle: 4_900 };
    expect(backlog.isBehind()).toBe(false);
  });

  test("is behind after a long step, for all requests until it waits again", () => {
    const times = { current: { now: 0, idle: 0 } };
    const backlog = backlogAt(times);
    times.current = { now: 2_000, idle: 600 };
    expect(backlog.isBehind()).toBe(true);
    times.current = { now: 2_010, idle: 600 };
    expect(backlog.isBehind()).toBe(true);
    times.current = { now: 2_050, idle: 610 };
    expect(backlog.isBehind()).toBe(false);
  });

  test("is behind once many short steps without a wait add up", () => {
    const times = { current: { now: 0, idle: 0 } };
    const backlog = backlogAt(times);
    const answers = [50, 100, 150, 200, 250].map((now) => {
      times.current = { now, idle: 0 };
      return backlog.isBehind();
    });
    expect(answers).toEqual([false, false, false, true, true]);
  });
});
