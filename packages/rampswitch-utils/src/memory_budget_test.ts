// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { expect, test } from "@jest/globals";
import { MemoryBudget } from "./memory_budget.ts";

const TOTAL_BYTES = 1_000_000;

/** A need of a usual request, in bytes. */
const SMALL_BYTES = 100;

test("many greedy holders leave room for small needs", () => {
  const budget = new MemoryBudget(TOTAL_BYTES);
  const greedy = Array.from({ length: 500 }, () => budget.open());
  greedy.forEach((holder) => {
    while (holder.take(1_000));
  });
  expect(budget.used).toBeLessThan(TOTAL_BYTES);
  expect(budget.open().take(SMALL_BYTES)).toBe(true);
});

test("a single holder may have a third of all, and returns it", () => {
  const budget = new MemoryBudget(TOTAL_BYTES);
  const holder = budget.open();
  expect(holder.take(Math.floor(TOTAL_BYTES / 3))).toBe(true);
  expect(holder.take(2)).toBe(false);
  holder[Symbol.dispose]();
  expect([holder.held, budget.used]).toEqual([0, 0]);
});

test("what is within the limits of a configuration fits on a small machine", () => {
  const budget = new MemoryBudget(TOTAL_BYTES);
  budget.fit(TOTAL_BYTES);
  expect(budget.open().take(TOTAL_BYTES)).toBe(true);
});
