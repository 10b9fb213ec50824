// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { afterEach, describe, expect, test } from "@jest/globals";
import { Result } from "true-myth";
import type { StoredList, StoreError } from "rampswitch-store";
import {
  ManualClock,
  Ownership,
  seededRandom,
  SILENT_LOGGER,
} from "rampswitch-utils";
import { WorkspaceLimits } from "../admission/mod.ts";
import { ServingMetrics } from "../observation/mod.ts";
import { ObjectStoreStandin } from "../streams/object_store_standin.ts";
import { FleetHosts } from "./fleet_hosts.ts";
import { DIRECT_GOSSIP_TIMING } from "./relay_plan.ts";
import {
  ATTRIBUTES,
  hostNames,
  idleUpdate,
  UPDATE_INTERVAL_MILLISECONDS,
} from "./fleet_hosts_standin.ts";
import { HostRegistry, type HostRegistryParts } from "./host_registry.ts";

const SECOND = 1_000;
const MINUTE = 60 * SECOND;
const HOSTS_PREFIX = "hosts/";

/** Time from the removal of an entry to its next list, in milliseconds. */
const TWO_LISTS = 40 * SECOND;

const UNAVAILABLE: StoreError = { kind: "unavailable", detail: "cut off" };

let ownership = new Ownership();

afterEach(async () => {
  await ownership[Symbol.asyncDispose]();
  ownership = new Ownership();
});

/** A host of a simulated fleet. */
interface SimulatedHost {
  readonly hosts: FleetHosts;
  readonly registry: HostRegistry;
  /** Whether it neither gossips nor reaches the store. */
  isSuspended: boolean;
  /** Hosts of different parts do not hear each other. */
  part: string;
}

/** Hosts that all gossip with each other in simulated time and share a store. */
class SimulatedFleet {
  readonly store = new ObjectStoreStandin();
  readonly clock = new ManualClock(SECOND);
  readonly running = new Map<string, SimulatedHost>();
  /** Name of the host that holds the duties. */
  holder: string | undefined;
  /** Lists are answered with this one, as by a stale replica. */
  staleList: StoredList | undefined;
  refusesRemovals = false;
  /** Calls that removed or tried to remove an entry. */
  removals = 0;

  constructor(names: readonly string[]) {
    names.forEach((name) => this.start(name));
    this.holder = names[0];
  }

  /** Writes entries of hosts that do not run. */
  list(names: readonly string[]): void {
    const entry = JSON.stringify(ATTRIBUTES);
    names.forEach((name) => this.store.write(`${HOSTS_PREFIX}${name}`, entry));
  }

  /** Names of the hosts with an entry. */
  async listed(): Promise<readonly string[]> {
    return namesOf(await this.current());
  }

  async current(): Promise<StoredList> {
    const listed = await this.store.list(HOSTS_PREFIX);
    return listed.unwrapOr({ version: 0, objects: [] });
  }

  /** Number of hosts that each running host believes to serve. */
  get sizes(): readonly number[] {
    const now = this.clock.now();
    return [...this.running.values()].map(({ hosts }) => hosts.size(now));
  }

  start(name: string): SimulatedHost {
    const self = { name, ...ATTRIBUTES };
    const hosts = new FleetHosts(self);
    const state = { isSuspended: false, part: "all" };
    const parts = {
      store: this.#storeFor(state),
      hostsPrefix: HOSTS_PREFIX,
      clock: this.clock,
      random: seededRandom(name.length),
      logger: SILENT_LOGGER,
      metrics: new ServingMetrics(),
      holdsDuties: () => this.holder === name,
      storeWritesPerSecond: () => 400,
    };
    const registry = new HostRegistry(self, parts, {
      onListed: (listed) => hosts.addListed(listed, this.clock.now()),
      isGone: (peer) => hosts.isGone(peer),
    });
    const host = Object.assign(state, { hosts, registry });
    ownership.own(registry);
    this.running.set(name, host);
    return host;
  }

  async end(name: string): Promise<void> {
    const host = this.running.get(name);
    this.running.delete(name);
    await host?.registry[Symbol.asyncDispose]();
  }

  /** Suspends, resumes, cuts off or joins hosts. */
  change(
    names: readonly string[],
    change: Partial<Pick<SimulatedHost, "isSuspended" | "part">>,
  ): void {
    names.forEach((name) =>
      Object.assign(this.running.get(name) ?? {}, change),
    );
  }

  /** Lets time pass; calls `each` after each round of gossip. */
  async pass(
    milliseconds: number,
    each: () => void = () => undefined,
  ): Promise<void> {
    const until = this.clock.now() + milliseconds;
    while (this.clock.now() < until) {
      this.clock.advance(UPDATE_INTERVAL_MILLISECONDS);
      for (let turn = 0; turn < 30; turn += 1) await Promise.resolve();
      this.#gossip();
      each();
    }
  }

  #gossip(): void {
    const now = this.clock.now();
    const active = [...this.running].filter(([, host]) => !host.isSuspended);
    active.forEach(([name, { hosts, part }]) =>
      active
        .filter(([other, to]) => to.part === part && hosts.get(other))
        .forEach(([, to]) => to.hosts.applyUpdate(idleUpdate(name, now), now)),
    );
  }

  #storeFor(host: { readonly isSuspended: boolean }) {
    const { store } = this;
    const reach = <Value>(call: () => Promise<Result<Value, StoreError>>) =>
      host.isSuspended
        ? Promise.resolve(Result.err<Value, StoreError>(UNAVAILABLE))
        : call();
    const reachable: HostRegistryParts["store"] = {
      onEra: (listener) => store.onEra(listener),
      list: (prefix) =>
        reach(() =>
          this.staleList === undefined
            ? store.list(prefix)
            : Promise.resolve(Result.ok(this.staleList)),
        ),
      put: (...options) => reach(() => store.put(...options)),
      remove: (...options) => {
        this.removals += 1;
        return this.refusesRemovals
          ? Promise.resolve(Result.err(UNAVAILABLE))
          : reach(() => store.remove(...options));
      },
    };
    return reachable;
  }
}

function namesOf({ objects }: StoredList): readonly string[] {
  return objects.map(({ key }) => key.slice(HOSTS_PREFIX.length)).toSorted();
}

const PRESENT = hostNames("present", 5);

const WORKSPACE = {
  name: "w",
  keys: [],
  priority: 0,
  tokensPerSecond: 40_000,
  burstTokens: 40_000,
  tokensWithoutEstimate: 1,
  countsTokens: true,
};

/** Tokens of the one request of each host in a round of updates: 0.28 of the limit. */
const DEMAND_TOKENS = (0.28 * 40_000) / 4 / PRESENT.length;

const GONE = hostNames("gone", 20);
const ALL = [...GONE, ...PRESENT].toSorted();

/**
 * Guards against a store that keeps an entry of each host that ever was, so that each
 * host believes in all of them.
 */
describe("entries of gone hosts", () => {
  // At most a tenth of the writes that the store takes in a second.
  test.each([
    [60, 30],
    [600, 40],
  ])(
    "are removed by the holder of the duties, %i at a bounded rate",
    async (gone, maximum) => {
      const fleet = new SimulatedFleet(PRESENT);
      fleet.list(hostNames("gone", gone));
      await fleet.pass(4 * MINUTE);
      expect(await fleet.listed()).toHaveLength(gone + PRESENT.length);
      const perSecond: number[] = [];
      for (let second = 0; second < 8 * 60; second += 1) {
        const before = fleet.removals;
        await fleet.pass(SECOND);
        perSecond.push(fleet.removals - before);
      }
      expect(await fleet.listed()).toEqual(PRESENT);
      expect(Math.max(...perSecond)).toBe(maximum);
      expect(fleet.removals).toBe(gone);
      expect([...fleet.running.values()].map(roleNow(fleet))).toEqual(
        PRESENT.map(() => "direct"),
      );
    },
  );

  test.each<[string, (fleet: SimulatedFleet) => unknown, number]>([
    ["no host holds the duties", (f) => (f.holder = undefined), 0],
    [
      "the holder hears nobody",
      (f) => f.change(PRESENT.slice(0, 1), { part: "holder" }),
      0,
    ],
    ["all are suspended", (f) => f.change(PRESENT, { isSuspended: true }), 0],
    ["the store is away", (f) => (f.store.isDown = true), 0],
    // One call for each list in which they are gone.
    ["the store refuses removals", (f) => (f.refusesRemovals = true), 120],
    [
      "they have registered again since the list",
      async (f) => {
        f.staleList = await f.current();
        f.list(GONE);
      },
      Infinity,
    ],
  ])("are kept where %s", async (_, change, removals) => {
    const fleet = new SimulatedFleet(PRESENT);
    fleet.list(GONE);
    await fleet.pass(2 * MINUTE);
    await change(fleet);
    await fleet.pass(30 * MINUTE);
    fleet.store.isDown = false;
    expect(await fleet.listed()).toEqual(ALL);
    expect(fleet.removals).toBeLessThanOrEqual(removals);
    const known = fleet.running.get("present-1")?.hosts.all();
    expect(known).toHaveLength(ALL.length - 1);
  });

  test("are removed again after the store came back older", async () => {
    const fleet = new SimulatedFleet(PRESENT.slice(0, 4));
    fleet.list(GONE);
    await fleet.pass(MINUTE);
    const copy = namesOf(await fleet.current());
    fleet.start("present-4");
    await fleet.pass(6 * MINUTE);
    expect(await fleet.listed()).toEqual(PRESENT);
    fleet.store.comeBackEmpty();
    fleet.list(copy);
    await fleet.pass(SECOND);
    expect(await fleet.listed()).toEqual(ALL);
    await fleet.pass(4 * MINUTE);
    expect(await fleet.listed()).toEqual(ALL);
    await fleet.pass(2 * MINUTE);
    expect(await fleet.listed()).toEqual(PRESENT);
    expect(fleet.sizes).toEqual([5, 5, 5, 5, 5]);
  });

  test("stay few while hosts are replaced 180 times in an hour", async () => {
    const fleet = new SimulatedFleet(PRESENT);
    const known: number[] = [];
    const entries: number[] = [];
    for (let replaced = 0; replaced < 180; replaced += 1) {
      const oldest = [...fleet.running.keys()].find(
        (name) => name !== fleet.holder,
      );
      await fleet.end(oldest ?? "");
      fleet.start(`replaced-${replaced}`);
      await fleet.pass(20 * SECOND, () =>
        fleet.running.forEach(({ hosts }) => known.push(hosts.all().length)),
      );
      entries.push((await fleet.listed()).length);
    }
    // Five minutes of silence at three a minute, two reads of the list, five hosts.
    expect(Math.max(...entries)).toBeLessThanOrEqual(5 + 3 * 5 + 3);
    // Five more minutes in memory.
    expect(Math.max(...known)).toBeLessThanOrEqual(5 + 3 * 10 + 6);
  });
});

/** Guards against shares of a limit that hosts keep for gone ones after a restart. */
test("hosts that start where 100 were gone share a limit among themselves", async () => {
  const fleet = new SimulatedFleet(PRESENT);
  fleet.list(hostNames("gone", 100));
  await fleet.pass(12 * MINUTE);
  expect(shareServed(await fleet.listed())).toBe(1);
});

/** Share of a demand of 0.28 of a limit that the hosts serve after they have started. */
function shareServed(listed: readonly string[]): number {
  const started = PRESENT.map((name) => ({ name, limits: startedLimits() }));
  started.forEach(({ name, limits }) =>
    listed
      .filter((other) => other !== name)
      .forEach((other) => limits.addExpectedPeer(other, 0)),
  );
  const decisions: string[] = [];
  for (let now = 0; now < 30 * SECOND; now += UPDATE_INTERVAL_MILLISECONDS) {
    started.forEach(({ name, limits }) => {
      const update = {
        incarnation: "1",
        totals: limits.admittedTotals(),
        levels: limits.levels(now),
        stopping: false,
      };
      started
        .filter((to) => to.name !== name)
        .forEach((to) => to.limits.receiveUpdate(name, update, now));
      const decision = limits.admit("w", DEMAND_TOKENS, { now, priority: 0 });
      decisions.push(decision.kind);
    });
  }
  const served = decisions.filter((kind) => kind === "admitted");
  return served.length / decisions.length;
}

function startedLimits(): WorkspaceLimits {
  const tolerance = {
    slackTokens: 0,
    excessShare: 0.1,
    windowMilliseconds: 8_000,
  };
  const limits = new WorkspaceLimits(tolerance, DIRECT_GOSSIP_TIMING, {
    random: seededRandom(1),
  });
  limits.configure([WORKSPACE], 0);
  limits.markHostsListed();
  return limits;
}

function roleNow(fleet: SimulatedFleet) {
  return ({ hosts }: SimulatedHost) => hosts.role(fleet.clock.now());
}

/** Guards against hosts that are not listed again although they run. */
describe("a host whose entry was removed", () => {
  const [, , , late = ""] = PRESENT;

  test.each<[string, (fleet: SimulatedFleet) => Promise<void>]>([
    [
      "in error",
      async ({ store }) => {
        const entry = (await store.get(`${HOSTS_PREFIX}${late}`)).unwrapOr(
          undefined,
        );
        await store.remove(`${HOSTS_PREFIX}${late}`, entry?.version ?? 0);
      },
    ],
    [
      "while it was suspended for twelve minutes",
      async (fleet) => {
        fleet.change([late], { isSuspended: true });
        await fleet.pass(12 * MINUTE);
        expect(await fleet.listed()).not.toContain(late);
        fleet.change([late], { isSuspended: false });
      },
    ],
    [
      "while half of the fleet was cut off for twenty minutes",
      async (fleet) => {
        fleet.change(PRESENT.slice(2), { part: "other" });
        await fleet.pass(20 * MINUTE);
        expect(fleet.removals).toBeGreaterThan(0);
        expect(fleet.sizes).toEqual([2, 2, 3, 3, 3]);
        fleet.change(PRESENT, { part: "all" });
      },
    ],
  ])("is known to all again: %s", async (_, remove) => {
    const fleet = new SimulatedFleet(PRESENT);
    await fleet.pass(MINUTE);
    await remove(fleet);
    await fleet.pass(TWO_LISTS);
    expect(await fleet.listed()).toEqual(PRESENT);
    expect(fleet.sizes).toEqual([5, 5, 5, 5, 5]);
  });

  test("does not write again because of a list from before its entry", async () => {
    const fleet = new SimulatedFleet(PRESENT.slice(0, 4));
    await fleet.pass(MINUTE);
    fleet.staleList = await fleet.current();
    fleet.start("present-4");
    await fleet.pass(5 * SECOND);
    const { version } = await fleet.current();
    await fleet.pass(5 * MINUTE);
    // A stale list that claims to be new.
    fleet.staleList = { ...fleet.staleList, version };
    await fleet.pass(5 * MINUTE);
    expect((await fleet.current()).version).toBe(version);
  });
});
