// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import { ServerBackOff } from "./server_back_off.ts";

const SLOTS = 8;

function backOffOf(
  milliseconds: number,
  now = 0,
  returnDelay = 0,
): ServerBackOff {
  const backOff = new ServerBackOff();
  backOff.requested({ now, milliseconds, returnDelay });
  return backOff;
}

describe("a back-off that a server requested", () => {
  test("is active until the latest end plus this host's return delay", () => {
    const backOff = backOffOf(1_000);
    backOff.requested({ now: 100, milliseconds: 300, returnDelay: 0 });
    expect([backOff.isActive(999), backOff.isActive(1_000)]).toEqual([
      true,
      false,
    ]);
    backOff.requested({ now: 200, milliseconds: 1_000, returnDelay: 50 });
    expect([backOff.isActive(1_249), backOff.isActive(1_250)]).toEqual([
      true,
      false,
    ]);
  });

  test("is followed by one request, then by twice as many for each accepted one", () => {
    const backOff = backOffOf(1_000);
    const first = backOff.sent(SLOTS);
    expect(backOff.allowsSend(1_001)).toBe(false);
    first.requestAccepted();
    first.requestAccepted();
    expect(backOff.allowsSend(1_001)).toBe(true);
    backOff.sent(SLOTS);
    expect(backOff.allowsSend(1_001)).toBe(false);
    first.ended();
    expect(backOff.allowsSend(1_001)).toBe(true);
  });

  test("sets no limit once as many requests were accepted as the server has slots", () => {
    const backOff = backOffOf(1_000);
    [1, 2, 4].forEach(() => backOff.sent(SLOTS).requestAccepted());
    const sends = Array.from({ length: 50 }, () => backOff.sent(SLOTS));
    expect(sends).toHaveLength(50);
    expect(backOff.allowsSend(1_001)).toBe(true);
  });

  test("has a maximum length", () => {
    expect(backOffOf(1e15).isActive(3_600_001)).toBe(false);
  });

  test("counts by its share of the last 10 seconds", () => {
    const backOff = backOffOf(2_000);
    backOff.requested({ now: 1_000, milliseconds: 3_000, returnDelay: 0 });
    expect(backOff.share(4_000)).toBeCloseTo(0.4);
    expect(backOff.share(12_000)).toBeCloseTo(0.2);
    expect(backOff.share(20_000)).toBe(0);
  });
});
