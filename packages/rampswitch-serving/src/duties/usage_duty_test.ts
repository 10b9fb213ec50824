// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import { Result } from "true-myth";
import { SILENT_LOGGER } from "rampswitch-utils";
import { ServingMetrics } from "../observation/mod.ts";
import { finalUsageFromReports, NO_FINAL_USAGE } from "./final_usage.ts";
import { UsageCounter } from "./usage_counter.ts";
import { type TimeOfDay, UsageDuty } from "./usage_duty.ts";

const WINDOW_MILLISECONDS = 5_000;

/** A time of day within window 100. */
const STARTED_AT = 501_200;

/** A time of day at which window 99 is final. */
const LATER: TimeOfDay = {
  own: 502_500,
  fleet: 502_500,
  startedAt: STARTED_AT,
  isSettled: true,
};

/** Creates the duty at a host that started in window 100. */
function startedDuty(): {
  readonly counter: UsageCounter;
  readonly duty: UsageDuty;
} {
  const counter = new UsageCounter(WINDOW_MILLISECONDS);
  const duty = new UsageDuty(counter, {
    cloud: {
      reportUsage: () => Promise.resolve(Result.ok(undefined)),
      orderServers: () => Promise.resolve(Result.ok(undefined)),
    },
    logger: SILENT_LOGGER,
    metrics: new ServingMetrics(),
  });
  return { counter, duty };
}

describe("reports of a host that started after a window", () => {
  test("include the counts of its peers and of the lease object", () => {
    const { counter, duty } = startedDuty();
    counter.restore({ "a/1": { 99: { w: 40 } } }, "self/2");
    counter.receiveCounts("b", "1", { 99: { w: 2 }, 100: { w: 7 } });
    expect(duty.finalUsage(NO_FINAL_USAGE, LATER).reports).toEqual({
      99: { w: 42 },
    });
  });

  test("leave out windows without known counts", () => {
    const { duty } = startedDuty();
    expect(duty.finalUsage(NO_FINAL_USAGE, LATER)).toEqual(NO_FINAL_USAGE);
  });

  test("wait until the fleet time is reliable", () => {
    const { counter, duty } = startedDuty();
    counter.receiveCounts("b", "1", { 99: { w: 2 } });
    const time = { ...LATER, isSettled: false };
    expect(duty.finalUsage(NO_FINAL_USAGE, time)).toBe(NO_FINAL_USAGE);
  });

  test("repeat earlier final reports", () => {
    const { counter, duty } = startedDuty();
    counter.receiveCounts("b", "1", { 99: { w: 2 } });
    const known = finalUsageFromReports({ 99: { w: 40 } });
    expect(duty.finalUsage(known, LATER)).toEqual(known);
  });
});
