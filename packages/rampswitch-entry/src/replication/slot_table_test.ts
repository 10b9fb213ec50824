// Copyright 2026 the rampswitch authors. Apache-2.0 license.

// Guards against a proposal that is written twice, or given up, since the answer to its
// write was lost.

import { expect, test } from "@jest/globals";
import type { ObjectStore } from "rampswitch-store";
import type { SlotEntry } from "rampswitch-protocol";
import {
  createMetrics,
  ManualClock,
  seededRandom,
  SILENT_LOGGER,
} from "rampswitch-utils";
import { LosingStore, type WriteFate } from "../losing_store_standin.ts";
import { SlotTable } from "./slot_table.ts";

function entryOf(epoch: number): SlotEntry {
  return { epoch, primary: "host", backup: undefined, knownSince: 0 };
}

/** Lets pending calls and pauses pass. */
async function pass(clock: ManualClock): Promise<void> {
  for (let turn = 0; turn < 50; turn += 1) {
    await new Promise(setImmediate);
    clock.advance(100);
  }
}

test.each<readonly [readonly WriteFate[]]>([
  [["lost"]],
  [["not_arrived"]],
  [["not_arrived", "lost"]],
])("a proposal whose write meets %j is in force once", async (fates) => {
  const clock = new ManualClock();
  const store = new LosingStore();
  const epochs = new Map<number, number>();
  await using table = new SlotTable({
    store: store as unknown as ObjectStore,
    clock,
    random: seededRandom(1),
    metrics: createMetrics("test", undefined),
    logger: SILENT_LOGGER,
    slots: 1,
    listener: {
      observed: (slot, { epoch }) => epochs.set(slot, epoch),
    },
    watchPause: () => 1_000,
  });
  await table.create(0, () => entryOf(1));
  expect(epochs.get(0)).toBe(1);
  store.fates = [...fates];
  table.propose({ slot: 0, from: entryOf(1), to: entryOf(2) });
  await pass(clock);
  expect(epochs.get(0)).toBe(2);
  expect(store.written).toHaveLength(2);
});
