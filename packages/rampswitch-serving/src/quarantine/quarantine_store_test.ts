// Copyright 2026 the rampswitch authors. Apache-2.0 license.

// Stored entries must survive the end of all hosts. A host that started with its
// clock two hours ahead treated all of them as expired: the request ran freely
// there, and the host's next write dropped the entries, so that no later host knew
// them either.

import { afterEach, describe, expect, test } from "@jest/globals";
import { Result } from "true-myth";
import {
  ManualClock,
  Ownership,
  seededRandom,
  SILENT_LOGGER,
} from "rampswitch-utils";
import { type ObjectStore, type StoredObject, ONE_ERA } from "rampswitch-store";
import { ServingMetrics } from "../observation/mod.ts";
import { Fingerprint } from "./fingerprint.ts";
import { Quarantine } from "./quarantine.ts";
import { QuarantineStore } from "./quarantine_store.ts";

const HOUR_MILLISECONDS = 3_600_000;

let ownership = new Ownership();

afterEach(async () => {
  await ownership[Symbol.asyncDispose]();
  ownership = new Ownership();
});

function requestOf(name: string): Fingerprint {
  return new Fingerprint({
    method: "POST",
    hostName: "models.example",
    target: "/stream/x",
    workspace: "w",
    body: Buffer.from(name),
  });
}

/** A store with one object. */
function storeOfOne(): ObjectStore & {
  readonly values: readonly string[];
  /** Restores the store from a copy without the object. */
  restoreWithoutObject(): void;
} {
  const listeners: Parameters<ObjectStore["onEra"]>[0][] = [];
  const values: string[] = [];
  let object: StoredObject | undefined;
  const unused = () => Promise.reject(new Error("not used by the quarantine"));
  return {
    ...ONE_ERA,
    onEra: (listener) => listeners.push(listener),
    restoreWithoutObject: () => {
      object = undefined;
      listeners.forEach((listener) => listener({ from: 1, to: 2 }));
    },
    values,
    list: () =>
      Promise.resolve(
        Result.ok({
          version: object?.version ?? 0,
          objects: object === undefined ? [] : [object],
        }),
      ),
    put: (key, value) => {
      object = { key, value, version: (object?.version ?? 0) + 1 };
      values.push(value);
      return Promise.resolve(Result.ok(object));
    },
    get: unused,
    remove: unused,
    watch: unused,
  };
}

/**
 * Starts a host with its clock ahead by some milliseconds, and lets it read the
 * store.
 */
async function startedHost(
  store: ObjectStore,
  clock: ManualClock,
  ahead: number,
): Promise<Quarantine> {
  const opened: { stored?: QuarantineStore } = {};
  const parts = {
    store,
    clock,
    random: seededRandom(1),
    logger: SILENT_LOGGER,
    metrics: new ServingMetrics(),
  };
  const quarantine = new Quarantine({
    ...parts,
    trialRank: () => ({ rank: 0, lagMilliseconds: 700 }),
    onStoredChange: () => opened.stored?.scheduleWrite(),
  });
  opened.stored = ownership.own(
    new QuarantineStore({
      ...parts,
      prefix: "quarantine/",
      quarantine,
      wallTime: () => 10 * HOUR_MILLISECONDS + clock.now() + ahead,
    }),
  );
  await pass(clock);
  return quarantine;
}

async function pass(clock: ManualClock): Promise<void> {
  for (let round = 0; round < 8; round += 1) {
    clock.advance(100);
    await new Promise((resolve) => setImmediate(resolve));
  }
}

function crash(quarantine: Quarantine, request: Fingerprint): void {
  ["a", "b", "c"].forEach((life) =>
    quarantine.recordLoss(request, {
      incarnation: life,
      leavingSince: undefined,
    }),
  );
}

describe("the stored quarantine of a request that crashes servers", () => {
  // A restore from a copy lost a write that the store had acknowledged, so that
  // hosts that started later knew of no quarantine.
  test("is stored again after the store was restored without it", async () => {
    const clock = new ManualClock(1_000);
    const store = storeOfOne();
    const quarantine = await startedHost(store, clock, 0);
    crash(quarantine, requestOf("lost"));
    await pass(clock);
    const before = store.values.length;
    store.restoreWithoutObject();
    await pass(clock);
    expect(before).toBeGreaterThan(0);
    expect(store.values.length).toBeGreaterThan(before);
  });

  test.each([-2 * HOUR_MILLISECONDS, 2 * HOUR_MILLISECONDS])(
    "is known to a host that starts with a clock %d ms ahead",
    async (ahead) => {
      const store = storeOfOne();
      const clock = new ManualClock(1_000);
      const crashing = requestOf("guilty");
      crash(await startedHost(store, clock, 0), crashing);
      await pass(clock);
      const started = await startedHost(store, clock, ahead);
      expect(started.forbidsResend(crashing)).toBe(true);
      crash(started, requestOf("another"));
      await pass(clock);
      expect(store.values.at(-1)).toContain(crashing.text);
    },
  );
});
