// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import { ManualClock, SILENT_LOGGER } from "rampswitch-utils";
import { AttemptTracker } from "../attempt/mod.ts";
import { ServingMetrics } from "../observation/mod.ts";
import { Fingerprint, Quarantine } from "../quarantine/mod.ts";
import type { AdmittedRequest } from "./admitted_request.ts";
import { ResendRules } from "./resend_rules.ts";

const REMAINING_MILLISECONDS = 1_000;

function createRules(): {
  readonly rules: ResendRules;
  readonly tracker: AttemptTracker;
  readonly lose: (life: string) => void;
} {
  const fingerprint = new Fingerprint({
    method: "GET",
    hostName: "models.example",
    target: "/get/x",
    workspace: "w",
    body: undefined,
  });
  const quarantine = new Quarantine({
    clock: new ManualClock(1_000),
    logger: SILENT_LOGGER,
    metrics: new ServingMetrics(),
    trialRank: () => ({ rank: 0, lagMilliseconds: 0 }),
    onStoredChange: () => undefined,
  });
  const request = {
    fingerprint,
    route: { repeatability: "repeatable", resumable: false, maximumRuns: 3 },
  } as unknown as AdmittedRequest;
  const tracker = new AttemptTracker("repeatable");
  return {
    rules: new ResendRules(request, tracker, { quarantine }),
    tracker,
    lose: (life) =>
      quarantine.recordLoss(fingerprint, {
        incarnation: life,
        leavingSince: undefined,
      }),
  };
}

describe("resend rules", () => {
  test("allow a further send after two lost servers, but not after three", () => {
    const { rules, tracker, lose } = createRules();
    tracker.handle({ type: "written" });
    tracker.handle({ type: "lost" });
    lose("a");
    lose("b");
    expect(rules.reasonAgainstResend(REMAINING_MILLISECONDS)).toBeUndefined();
    lose("c");
    expect(rules.reasonAgainstResend(REMAINING_MILLISECONDS)).toBe(
      "quarantined",
    );
  });

  test("do not abandon a run if no further run may follow", () => {
    const { rules, tracker, lose } = createRules();
    tracker.handle({ type: "written" });
    expect(rules.canAbandonRun).toBe(true);
    ["a", "b", "c"].forEach(lose);
    expect(rules.canAbandonRun).toBe(false);
  });

  test("allow at most four repeats", () => {
    const { rules } = createRules();
    for (let count = 0; count < 4; count += 1) rules.recordRepeat();
    expect(rules.reasonAgainstResend(REMAINING_MILLISECONDS)).toBe(
      "too_many_sends",
    );
  });
});
