// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import { PermitWaits } from "./permit_waits.ts";

const SERVICE = "models";

describe("waits for permits", () => {
  test("end when the next permit is free", () => {
    const waits = new PermitWaits();
    expect(waits.canQuery(SERVICE, 1_000)).toBe(true);
    waits.recordRefusal(SERVICE, 200, 1_000);
    expect(waits.canQuery(SERVICE, 1_199)).toBe(false);
    expect(waits.canQuery(SERVICE, 1_200)).toBe(true);
  });

  test("are not long where a limit may end meanwhile", () => {
    const waits = new PermitWaits();
    waits.recordRefusal(SERVICE, 60_000, 1_000);
    expect(waits.canQuery(SERVICE, 1_600)).toBe(true);
  });

  test("assign each caller the time of a permit of its own", () => {
    const waits = new PermitWaits();
    waits.recordRefusal(SERVICE, 400, 1_000);
    const share = { perSecond: 2, part: 1 / 4 };
    const delays = [1_000, 1_000, 1_100].map((now) =>
      waits.assignRetryDelay(SERVICE, share, now),
    );
    expect(delays).toEqual([400, 2_400, 4_300]);
  });

  test("do not exceed the maximum retry delay", () => {
    const waits = new PermitWaits();
    const share = { perSecond: 0, part: 1 / 9 };
    waits.assignRetryDelay(SERVICE, share, 1_000);
    expect(waits.assignRetryDelay(SERVICE, share, 1_000)).toBeLessThanOrEqual(
      60_000,
    );
  });
});
