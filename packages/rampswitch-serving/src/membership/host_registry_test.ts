// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import { Result } from "true-myth";
import { type ObjectStore, type StoredObject, ONE_ERA } from "rampswitch-store";
import { ManualClock, seededRandom, SILENT_LOGGER } from "rampswitch-utils";
import { ServingMetrics } from "../observation/mod.ts";
import type { ListedHost } from "./fleet_hosts.ts";
import { HostRegistry } from "./host_registry.ts";

const SELF = {
  name: "self",
  address: "127.0.0.1:9001",
  dataHall: "a",
  cores: 1,
};

const VALID = { address: "127.0.0.1:9002", dataHall: "a", cores: 2 };

const MALFORMED: Readonly<Record<string, string>> = {
  text: "no JSON",
  "no-port": JSON.stringify({ ...VALID, address: "127.0.0.1" }),
  "far-port": JSON.stringify({ ...VALID, address: "127.0.0.1:70000" }),
  "no-address": JSON.stringify({ ...VALID, address: "" }),
  "no-cores": JSON.stringify({ ...VALID, cores: -1 }),
  "no-hall": JSON.stringify({ ...VALID, dataHall: "" }),
};

/** An in-memory store of host entries. */
class HostStore {
  readonly era = ONE_ERA.era;
  #onEra: Parameters<ObjectStore["onEra"]>[0] = () => undefined;
  readonly onEra: ObjectStore["onEra"] = (listener) => {
    this.#onEra = listener;
  };

  /** Simulates a store restore from a copy that lacks an entry. */
  restoreWithout(name: string): void {
    this.values.delete(name);
    this.#onEra({ from: 1, to: 2 });
  }

  readonly values = new Map<string, string>([
    ["good", JSON.stringify(VALID)],
    ...Object.entries(MALFORMED),
  ]);

  readonly list: ObjectStore["list"] = () =>
    Promise.resolve(
      Result.ok({
        version: 5,
        objects: [...this.values].map(([name, value]) => ({
          key: `hosts/${name}`,
          version: 5,
          value,
        })),
      }),
    );

  readonly put: ObjectStore["put"] = (key, value) => {
    this.values.set(key.slice("hosts/".length), value);
    const object: StoredObject = { key, version: 6, value };
    return Promise.resolve(Result.ok(object));
  };

  readonly get = unused;
  readonly remove = unused;
  readonly watch = unused;
}

function unused(): Promise<never> {
  return Promise.reject(new Error("the registry calls only list and put"));
}

async function advance(clock: ManualClock): Promise<void> {
  for (let step = 0; step < 100; step += 1) {
    clock.advance(200);
    await new Promise((resolve) => setImmediate(resolve));
  }
}

function registryOf(
  store: HostStore,
  clock: ManualClock,
  onListed: (hosts: readonly ListedHost[]) => void,
): HostRegistry {
  const parts = {
    store,
    hostsPrefix: "hosts/",
    clock,
    random: seededRandom(1),
    logger: SILENT_LOGGER,
    metrics: new ServingMetrics(),
    holdsDuties: () => false,
    storeWritesPerSecond: () => 400,
  };
  const isGone = () => false;
  return new HostRegistry(SELF, parts, { onListed, isGone });
}

describe("the list of hosts", () => {
  // Guards against two failures. An entry with an invalid port made the next send
  // throw, which ended each host that had read the entry. An own entry that became
  // malformed after registration was not replaced, so that other hosts lost this one.
  test("contains valid entries beside malformed ones and repairs its own", async () => {
    const store = new HostStore();
    const clock = new ManualClock(1_000);
    const lists: (readonly string[])[] = [];
    const registry = registryOf(store, clock, (hosts) =>
      lists.push(hosts.map(({ name }) => name).toSorted()),
    );
    await advance(clock);
    expect(lists.at(-1)).toEqual(["good", "self"]);
    store.values.set("self", "malformed");
    await advance(clock);
    await advance(clock);
    expect(lists.at(-1)).toEqual(["good", "self"]);
    await registry[Symbol.asyncDispose]();
  });

  // Guards against a host that stays unlisted after a store restore: the copy was
  // older than the host's start, the host still counted as registered, and hosts that
  // started later did not find it.
  test("gets its own entry again after a store restore", async () => {
    const store = new HostStore();
    const clock = new ManualClock(1_000);
    const registry = registryOf(store, clock, () => undefined);
    await advance(clock);
    store.restoreWithout("self");
    clock.advance(100);
    await advance(clock);
    expect(store.values.has("self")).toBe(true);
    await registry[Symbol.asyncDispose]();
  });
});
