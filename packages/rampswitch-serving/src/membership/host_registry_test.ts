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

const GOOD = { address: "127.0.0.1:9002", dataHall: "a", cores: 2 };

const BROKEN: Readonly<Record<string, string>> = {
  text: "no JSON",
  "no-port": JSON.stringify({ ...GOOD, address: "127.0.0.1" }),
  "far-port": JSON.stringify({ ...GOOD, address: "127.0.0.1:70000" }),
  "no-address": JSON.stringify({ ...GOOD, address: "" }),
  "no-cores": JSON.stringify({ ...GOOD, cores: -1 }),
  "no-hall": JSON.stringify({ ...GOOD, dataHall: "" }),
};

/** A store of hosts that keeps what was put. */
class HostStore {
  readonly era = ONE_ERA.era;
  #onEra: Parameters<ObjectStore["onEra"]>[0] = () => undefined;
  readonly onEra: ObjectStore["onEra"] = (listener) => {
    this.#onEra = listener;
  };

  /** Comes back from a copy that lacks an entry. */
  comeBackWithout(name: string): void {
    this.values.delete(name);
    this.#onEra({ from: 1, to: 2 });
  }

  readonly values = new Map<string, string>([
    ["good", JSON.stringify(GOOD)],
    ...Object.entries(BROKEN),
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
  return Promise.reject(new Error("the registry lists and puts alone"));
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
  };
  return new HostRegistry(SELF, parts, onListed);
}

describe("the list of hosts", () => {
  // Datagrams went to whatever stood in an entry. A port that is none threw when
  // the next one was sent, and ended each host that had read the entry. An own
  // entry that was spoilt after it was registered stayed so, and other hosts
  // forgot this one.
  test("holds the good ones beside spoilt ones, and mends the own one", async () => {
    const store = new HostStore();
    const clock = new ManualClock(1_000);
    const lists: (readonly string[])[] = [];
    const registry = registryOf(store, clock, (hosts) =>
      lists.push(hosts.map(({ name }) => name).toSorted()),
    );
    await advance(clock);
    expect(lists.at(-1)).toEqual(["good", "self"]);
    store.values.set("self", "spoilt");
    await advance(clock);
    await advance(clock);
    expect(lists.at(-1)).toEqual(["good", "self"]);
    await registry[Symbol.asyncDispose]();
  });

  // The store came back from a copy of before this host's start. It believed itself
  // registered, and hosts that started later did not find it.
  test("gets the own entry again where the store lost it", async () => {
    const store = new HostStore();
    const clock = new ManualClock(1_000);
    const registry = registryOf(store, clock, () => undefined);
    await advance(clock);
    store.comeBackWithout("self");
    clock.advance(100);
    await advance(clock);
    expect(store.values.has("self")).toBe(true);
    await registry[Symbol.asyncDispose]();
  });
});
