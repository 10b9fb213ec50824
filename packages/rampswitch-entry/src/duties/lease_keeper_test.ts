// Copyright 2026 the rampswitch authors. Apache-2.0 license.

// Guards against a lease that is taken twice by one holder, or held by nobody, since the
// answer to its write was lost.

import { expect, test } from "@jest/globals";
import type { Lease } from "rampswitch-configuration";
import type { ObjectStore } from "rampswitch-store";
import { createMetrics, ManualClock, seededRandom } from "rampswitch-utils";
import { LosingStore, type WriteFate } from "../losing_store_standin.ts";
import { LeaseKeeper } from "./lease_keeper.ts";

const LEASE_MILLISECONDS = 10_000;

function newKeeper(store: LosingStore, self: string, clock: ManualClock) {
  return new LeaseKeeper("duty", {
    store: store as unknown as ObjectStore,
    clock,
    random: seededRandom(1),
    metrics: createMetrics("test", undefined),
    self,
    clockSkewMilliseconds: 100,
    leaseMilliseconds: LEASE_MILLISECONDS,
  });
}

/** Takes or renews a lease, through the pauses between its writes. */
async function acquire(
  keeper: LeaseKeeper,
  clock: ManualClock,
): Promise<Lease | undefined> {
  let isSettled = false;
  const acquiring = keeper.acquireOrRenew().finally(() => {
    isSettled = true;
  });
  while (!isSettled) {
    await new Promise(setImmediate);
    clock.advance(100);
  }
  return acquiring;
}

test.each<readonly [readonly WriteFate[], number]>([
  [["lost"], 1],
  [["not_arrived"], 1],
  [["not_arrived", "lost"], 1],
])("a lease whose write meets %j is held once", async (fates, writes) => {
  const clock = new ManualClock();
  const store = new LosingStore();
  store.fates = [...fates];
  const lease = await acquire(newKeeper(store, "a", clock), clock);
  expect(lease).toMatchObject({ holder: "a", epoch: 1 });
  expect(store.written).toHaveLength(writes);
  expect(await acquire(newKeeper(store, "b", clock), clock)).toBeUndefined();
});

test("a renewal without any answer keeps the lease only until its former end", async () => {
  const clock = new ManualClock();
  const store = new LosingStore();
  const keeper = newKeeper(store, "a", clock);
  const first = await acquire(keeper, clock);
  clock.advance(LEASE_MILLISECONDS / 2);
  store.fates = ["not_arrived", "not_arrived", "not_arrived"];
  await acquire(keeper, clock);
  expect(keeper.held?.expiresAt).toBe(first?.expiresAt);
  clock.advance(LEASE_MILLISECONDS);
  expect(keeper.held).toBeUndefined();
});
