// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import fc from "fast-check";
import { ResendBudget } from "./resend_budget.ts";

const TERMS = { share: 0.2, allowance: 56, windowMilliseconds: 10_000 };

/** Start of an incarnation whose first window is over. */
const LONG_AGO = -60_000;

describe("resend budget", () => {
  test("all hosts together stay within the budget in any window", () => {
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
          steps.forEach(({ host, gap, repeats: resendCount }) => {
            now += gap;
            const budget = budgets[host % hosts];
            budget?.recordRequest("service", { now, hosts });
            requests.push(now);
            Array.from({ length: resendCount }).forEach(() => {
              if (budget?.spend("service", { now, hosts }) === true) {
                repeats.push(now);
              }
            });
          });
          const countWithin = (times: readonly number[], end: number) =>
            times.filter(
              (at) => at > end - TERMS.windowMilliseconds && at <= end,
            ).length;
          repeats.forEach((at) => {
            expect(countWithin(repeats, at)).toBeLessThanOrEqual(
              TERMS.share * countWithin(requests, at) + TERMS.allowance,
            );
          });
        },
      ),
      { seed: 11, numRuns: 60 },
    );
  });

  test("counting by buckets never allows more than an exact count", () => {
    fc.assert(
      fc.property(
        fc.array(
          fc.record({
            gap: fc.integer({ min: 0, max: 900 }),
            requests: fc.integer({ min: 0, max: 30 }),
            repeats: fc.integer({ min: 0, max: 30 }),
            stopped: fc.boolean(),
          }),
          { maxLength: 120 },
        ),
        (steps) => {
          const budget = new ResendBudget(TERMS, LONG_AGO);
          const requests: number[] = [];
          const repeats: number[] = [];
          let now = 0;
          steps.forEach(
            ({
              gap,
              requests: requestCount,
              repeats: resendCount,
              stopped,
            }) => {
              now += gap;
              Array.from({ length: requestCount }).forEach(() => {
                budget.recordRequest("service", { now, hosts: 9 });
                requests.push(now);
              });
              const kind = stopped ? "continuation" : "repeat";
              Array.from({ length: resendCount }).forEach(() => {
                if (!budget.spend("service", { now, hosts: 9, kind })) return;
                repeats.push(now);
                const allowed =
                  TERMS.share * countInWindow(requests, now) +
                  TERMS.allowance / 9;
                expect(countInWindow(repeats, now)).toBeLessThanOrEqual(
                  (stopped ? 0.95 : 0.8) * allowed,
                );
              });
            },
          );
        },
      ),
      { seed: 12, numRuns: 60 },
    );
  });

  test("under constant load, nearly the exact count's maximum is resent", () => {
    const budget = new ResendBudget(TERMS, LONG_AGO);
    const times = Array.from({ length: 1_200 }, (_, index) => index * 50);
    const repeats = times.filter((now) => {
      budget.recordRequest("service", { now, hosts: 9 });
      return budget.spend("service", { now, hosts: 9 });
    });
    const exact = 0.8 * (TERMS.share * 200 + TERMS.allowance / 9);
    const last = countInWindow(repeats, times.at(-1) ?? 0);
    expect(last).toBeGreaterThanOrEqual(0.9 * exact);
    expect(last).toBeLessThanOrEqual(exact);
  });

  test("stopped streams continue after ordinary resends are refused", () => {
    const budget = new ResendBudget(TERMS, LONG_AGO);
    const context = { now: 0, hosts: 1, kind: "repeat" } as const;
    budget.recordRequest("service", { now: 0, hosts: 2 });
    expect(spendAll(budget, context)).toBe(22);
    expect(spendAll(budget, { ...context, kind: "continuation" })).toBe(4);
    expect(spendAll(budget, context)).toBe(0);
  });

  test("a new incarnation earns its allowance over a window", () => {
    const budget = new ResendBudget(TERMS, 0);
    const part = (now: number) =>
      budget.state("service", { now, hosts: 56 }).allowed;
    expect([0, 5_000, 10_000, 60_000].map(part)).toEqual([0, 0.25, 1, 1]);
  });

  test("a new incarnation may resend its first request once", () => {
    const budget = new ResendBudget(TERMS);
    budget.recordRequest("service", { now: 0, hosts: 1 });
    const context = { now: 0, hosts: 1, kind: "repeat" } as const;
    expect(spendAll(budget, context)).toBe(1);
  });

  test("an incarnation assumes a large fleet in its first window", () => {
    const budget = new ResendBudget(TERMS, 0);
    const part = (hosts: number | undefined) =>
      budget.state("service", { now: 5_000, hosts }).allowed;
    expect(part(undefined)).toBeCloseTo((0.25 * TERMS.allowance) / 32, 9);
    expect(part(2)).toBe(part(undefined));
    expect(part(56)).toBe((0.25 * TERMS.allowance) / 56);
  });

  test("a host that never reads the list loses its allowance", () => {
    const budget = new ResendBudget(TERMS, LONG_AGO);
    const state = budget.state("service", { now: 0, hosts: undefined });
    expect(state).toEqual({ spent: 0, allowed: 0 });
  });

  test("the only host in the list has the whole allowance", () => {
    const budget = new ResendBudget(TERMS, LONG_AGO);
    const state = budget.state("service", { now: 0, hosts: 1 });
    expect(state).toEqual({ spent: 0, allowed: TERMS.allowance });
  });

  test("a new incarnation may continue a stream whatever it has earned", () => {
    const budget = new ResendBudget(TERMS);
    const context = { now: 0, hosts: undefined } as const;
    expect(spendAll(budget, { ...context, kind: "repeat" })).toBe(1);
    expect(spendAll(budget, { ...context, kind: "continuation" })).toBe(1);
  });

  test("a fleet counts as large as its maximum within the last minute", () => {
    const budget = new ResendBudget(TERMS, LONG_AGO);
    const part = (now: number, hosts: number) =>
      budget.state("service", { now, hosts }).allowed;
    budget.recordRequest("other", { now: 0, hosts: 56 });
    budget.recordRequest("other", { now: 20_000, hosts: 28 });
    budget.recordRequest("other", { now: 40_000, hosts: 14 });
    expect(part(59_999, 14)).toBe(1);
    expect(part(60_000, 14)).toBe(2);
    expect(part(80_000, 14)).toBe(4);
    expect(part(80_000, 112)).toBe(0.5);
  });

  test("reading the state changes nothing", () => {
    const budget = new ResendBudget(TERMS, LONG_AGO);
    const context = { now: 0, hosts: 2 };
    const before = budget.state("service", context);
    budget.state("service", { now: 0, hosts: 500 });
    expect(budget.state("service", context)).toEqual(before);
    budget.spend("service", context);
    expect(budget.state("service", context)).toEqual({ spent: 1, allowed: 28 });
  });

  test("resends count until their whole bucket has left the window", () => {
    const budget = new ResendBudget(TERMS, LONG_AGO);
    const context = { now: 0, hosts: 2 };
    [0, 400].forEach((now) => budget.spend("service", { ...context, now }));
    budget.recordRequest("service", { now: 10_100, hosts: 2 });
    const spent = (now: number) =>
      budget.state("service", { ...context, now }).spent;
    expect([10_100, 10_399, 10_500].map(spent)).toEqual([2, 2, 0]);
  });

  test("resends spent before a change of terms still count", () => {
    const budget = new ResendBudget(TERMS, LONG_AGO);
    const context = { now: 0, hosts: 2 };
    budget.spend("service", context);
    budget.setTerms({ ...TERMS, windowMilliseconds: 20_000 });
    const spent = (now: number) =>
      budget.state("service", { ...context, now }).spent;
    expect([19_999, 20_500].map(spent)).toEqual([1, 0]);
  });
});

function countInWindow(times: readonly number[], end: number): number {
  return times.filter((at) => at > end - TERMS.windowMilliseconds && at <= end)
    .length;
}

function spendAll(
  budget: ResendBudget,
  context: Parameters<ResendBudget["spend"]>[1],
): number {
  const attempts = Array.from({ length: 100 });
  return attempts.filter(() => budget.spend("service", context)).length;
}
