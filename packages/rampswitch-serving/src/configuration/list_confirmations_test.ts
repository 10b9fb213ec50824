// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { expect, test } from "@jest/globals";
import { ManualClock } from "rampswitch-utils";
import { ListConfirmations } from "./list_confirmations.ts";

async function settle(clock: ManualClock, milliseconds: number): Promise<void> {
  clock.advance(milliseconds);
  await new Promise((resolve) => setImmediate(resolve));
}

test("requests at the same time share one call, and later ones wait for the next", async () => {
  const clock = new ManualClock(0);
  const calledAt: number[] = [];
  const confirmations = new ListConfirmations({
    clock,
    confirm: () => {
      calledAt.push(clock.now());
      return Promise.resolve(true);
    },
  });
  const first = [confirmations.confirm(), confirmations.confirm()];
  await settle(clock, 0);
  expect(await Promise.all(first)).toEqual([true, true]);
  await settle(clock, 40);
  const second = confirmations.confirm();
  await settle(clock, 59);
  expect(calledAt).toEqual([0]);
  await settle(clock, 1);
  expect(await second).toBe(true);
  expect(calledAt).toEqual([0, 100]);
});

test("a store that does not answer confirms nothing", async () => {
  const clock = new ManualClock(0);
  const confirmations = new ListConfirmations({
    clock,
    confirm: () => new Promise<boolean>(() => undefined),
  });
  const confirmed = confirmations.confirm();
  await settle(clock, 0);
  await settle(clock, 1_000);
  expect(await confirmed).toBe(false);
});
