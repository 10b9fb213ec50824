// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import fc from "fast-check";
import { ResendBudget } from "./resend_budget.ts";

const TERMS = { share: 0.2, allowance: 56, windowMilliseconds: 10_000 };

describe("budget of repeated sends", () => {
  test("all hosts together keep the fleet's budget in any window", () => {
    fc.assert(
      fc.property(
        fc.integer({ min: 1, max: 12 }),
        fc.array(
          fc.record({
            host: fc.nat(11),
            gap: fc.integer({ min: 0, max: 200 }),
            repeats: fc.integer({ min: 0, max: 9 }),
          }),
          { maxLength: 300 },
        ),
        (hosts, steps) => {
          const budgets = Array.from(
            { length: hosts },
            () => new ResendBudget(TERMS),
          );
          const requests: number[] = [];
          const repeats: number[] = [];
          let now = 0;
          steps.forEach(({ host, gap, repeats: wanted }) => {
            now += gap;
            const budget = budgets[host % hosts];
            budget?.requested("service", now);
            requests.push(now);
            Array.from({ length: wanted }).forEach(() => {
              if (budget?.spend("service", { now, hosts }) === true) {
                repeats.push(now);
              }
            });
          });
          const within = (times: readonly number[], end: number) =>
            times.filter(
              (at) => at > end - TERMS.windowMilliseconds && at <= end,
            ).length;
          repeats.forEach((at) => {
            expect(within(repeats, at)).toBeLessThanOrEqual(
              TERMS.share * within(requests, at) + TERMS.allowance,
            );
          });
        },
      ),
      { seed: 11, numRuns: 60 },
    );
  });
});
