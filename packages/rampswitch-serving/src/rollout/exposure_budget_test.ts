// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import fc from "fast-check";
import {
  ExposureBudget,
  slackOfHost,
  staggerOfHost,
} from "./exposure_budget.ts";

const TERMS = { share: 0.1, slack: 50 };

/**
 * Sends requests of the given kinds, each to the version that the budget
 * allows.
 */
function simulate(
  budget: ExposureBudget,
  kinds: readonly ("canary" | "all")[],
): void {
  kinds.forEach((kind, index) => {
    const canary = { share: 0.05, elapsedShare: index / kinds.length };
    budget.recordSend(
      kind === "canary" ? budget.allowsCanary(canary) : budget.allowsTarget,
    );
  });
}

describe("exposure of one host", () => {
  test("stays within the share and the slack for any order of sends", () => {
    fc.assert(
      fc.property(
        fc.array(fc.constantFrom("canary" as const, "all" as const), {
          maxLength: 400,
        }),
        fc.nat(20),
        fc.double({ min: 0, max: 0.99, noNaN: true }),
        (kinds, slack, stagger) => {
          const budget = new ExposureBudget(TERMS, { slack, stagger });
          simulate(budget, kinds);
          expect(budget.sentToTarget).toBeLessThanOrEqual(
            TERMS.share * budget.sent + slack,
          );
        },
      ),
    );
  });

  test("reserves most of the share for the promotion", () => {
    const budget = new ExposureBudget(TERMS, { slack: 0, stagger: 0 });
    simulate(
      budget,
      Array.from({ length: 1_000 }, () => "canary" as const),
    );
    expect(budget.sentToTarget).toBe(50);
    expect(Math.floor(budget.remainingTargetSends)).toBe(55);
  });

  // Guards against a version that gets all slack at once at hosts that know of gone ones:
  // they count for the rank of a host, and not for the number of hosts.
  test.each([
    ["the first host", 0],
    ["the last host", 4],
    ["a host after 60 gone ones", 64],
  ])("releases its slack gradually at %s", (_, rank) => {
    const stagger = staggerOfHost({ rank, hosts: 5 });
    const budget = new ExposureBudget(TERMS, { slack: 8, stagger });
    const first = { share: 0, elapsedShare: 0 };
    const sendAll = (canary: typeof first) => {
      const sent = budget.sentToTarget;
      while (budget.allowsCanary(canary)) budget.recordSend(true);
      return budget.sentToTarget - sent;
    };
    expect(sendAll(first)).toBe(4);
    expect(sendAll({ ...first, elapsedShare: 1 })).toBe(4);
  });
});

describe("slack of the fleet", () => {
  test("is divided completely among any number of hosts, and never exceeded", () => {
    fc.assert(
      fc.property(fc.integer({ min: 1, max: 400 }), (hosts) => {
        const all = Array.from({ length: hosts }, (_, rank) =>
          slackOfHost(TERMS, { rank, hosts }),
        );
        const sum = all.reduce((total, slack) => total + slack, 0);
        expect(sum).toBe(30);
        expect(sum).toBeLessThanOrEqual(TERMS.slack);
      }),
    );
  });
});
