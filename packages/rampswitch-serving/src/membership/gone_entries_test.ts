// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { afterEach, describe, expect, test } from "@jest/globals";
import {
  ManualClock,
  Ownership,
  seededRandom,
  SILENT_LOGGER,
} from "rampswitch-utils";
import { ServingMetrics } from "../observation/mod.ts";
import { FleetHosts } from "./fleet_hosts.ts";
import { hostNames, idleUpdate } from "./fleet_hosts_standin.ts";
import { HostRegistry } from "./host_registry.ts";
import { HostEntryStore, HOSTS_PREFIX } from "./host_store_standin.ts";

const ENTRY = { address: "127.0.0.1:9", dataHall: "a", cores: 1 };
const SECOND = 1_000;
const MINUTE = 60 * SECOND;

/** Time between two updates of a host, in milliseconds. */
const GOSSIP_INTERVAL = 250;

/** Time from the removal of an entry to its next list, in milliseconds. */
const TWO_LISTS = 40 * SECOND;

let ownership = new Ownership();

afterEach(async () => {
  await ownership[Symbol.asyncDispose]();
  ownership = new Ownership();
});

/** A host of a simulated fleet without relays. */
interface SimulatedHost {
  readonly hosts: FleetHosts;
  /** Whether it neither gossips nor reaches the store. */
  isSuspended: boolean;
  /** Hosts of different parts do not hear each other. */
  part: string;
}

/** Hosts that gossip in simulated time and share a store. */
class SimulatedFleet {
  readonly store = new HostEntryStore();
  readonly clock = new ManualClock(SECOND);
  readonly running = new Map<string, SimulatedHost>();
  readonly #registries = new Map<string, HostRegistry>();
  /** Name of the host that holds the duties. */
  holder: string | undefined;

  start(name: string): SimulatedHost {
    const self = { name, ...ENTRY };
    const hosts = new FleetHosts(self);
    const host = { hosts, isSuspended: false, part: "all" };
    const registry = ownership.own(
      new HostRegistry(
        self,
        {
          store: this.store.viewFor(() => !host.isSuspended),
          hostsPrefix: HOSTS_PREFIX,
          clock: this.clock,
          random: seededRandom(name.length),
          logger: SILENT_LOGGER,
          metrics: new ServingMetrics(),
          holdsDuties: () => this.holder === name,
        },
        {
          onListed: (listed) => hosts.addListed(listed, this.clock.now()),
          isGone: (peer) => hosts.isGone(peer),
        },
      ),
    );
    this.running.set(name, host);
    this.#registries.set(name, registry);
    return host;
  }

  /** Number of hosts that each running host believes to serve. */
  get sizes(): readonly number[] {
    const now = this.clock.now();
    return [...this.running.values()].map(({ hosts }) => hosts.size(now));
  }

  /** Suspends, resumes, cuts off or joins hosts. */
  change(
    names: readonly string[],
    change: Partial<Pick<SimulatedHost, "isSuspended" | "part">>,
  ): void {
    names.forEach((name) => {
      const host = this.running.get(name);
      if (host !== undefined) Object.assign(host, change);
    });
  }

  async end(name: string): Promise<void> {
    this.running.delete(name);
    await this.#registries.get(name)?.[Symbol.asyncDispose]();
  }

  /** Lets time pass; calls `each` after each round of gossip. */
  async pass(
    milliseconds: number,
    each: () => void = () => undefined,
  ): Promise<void> {
    const until = this.clock.now() + milliseconds;
    while (this.clock.now() < until) {
      this.clock.advance(GOSSIP_INTERVAL);
      for (let turn = 0; turn < 30; turn += 1) await Promise.resolve();
      this.#gossip();
      each();
    }
  }

  #gossip(): void {
    const now = this.clock.now();
    const active = [...this.running].filter(
      ([, { isSuspended }]) => !isSuspended,
    );
    active.forEach(([name, { hosts, part }]) =>
      hosts
        .directRecipients(now, Math.floor(now / GOSSIP_INTERVAL))
        .forEach((to) =>
          active
            .find(([other, one]) => other === to.name && one.part === part)?.[1]
            .hosts.applyUpdate(idleUpdate(name, now), now),
        ),
    );
  }
}

function fleetOf(names: readonly string[]): SimulatedFleet {
  const fleet = new SimulatedFleet();
  names.forEach((name) => fleet.start(name));
  fleet.holder = names[0];
  return fleet;
}

const PRESENT = hostNames("present", 5);

/**
 * Guards against a store that keeps an entry of each host that ever was, so that each
 * host believes in all of them.
 */
describe("entries of gone hosts", () => {
  test("are removed by the holder of the duties, 600 at a bounded rate", async () => {
    const fleet = fleetOf(PRESENT);
    hostNames("gone", 600).forEach((name) => fleet.store.write(name, ENTRY));
    await fleet.pass(4 * MINUTE);
    expect(fleet.store.names).toHaveLength(605);
    const perSecond: number[] = [];
    for (let second = 0; second < 8 * 60; second += 1) {
      const before = fleet.store.removals;
      await fleet.pass(SECOND);
      perSecond.push(fleet.store.removals - before);
    }
    expect(fleet.store.names.toSorted()).toEqual(PRESENT);
    expect(Math.max(...perSecond)).toBeLessThanOrEqual(40);
    expect(fleet.store.removals).toBe(600);
  });

  test("are removed by no other host", async () => {
    const fleet = fleetOf(PRESENT);
    fleet.holder = undefined;
    fleet.store.write("gone", ENTRY);
    await fleet.pass(10 * MINUTE);
    expect(fleet.store.names).toContain("gone");
    expect(fleet.store.removals).toBe(0);
  });

  test("are kept by a holder that hears nobody", async () => {
    const fleet = fleetOf(PRESENT);
    await fleet.pass(2 * MINUTE);
    fleet.change(PRESENT.slice(0, 1), { part: "holder" });
    await fleet.pass(30 * MINUTE);
    expect(fleet.store.names.toSorted()).toEqual(PRESENT);
  });

  test("are kept after a suspension of the holder", async () => {
    const fleet = fleetOf(PRESENT);
    await fleet.pass(2 * MINUTE);
    fleet.change(PRESENT, { isSuspended: true });
    await fleet.pass(30 * MINUTE);
    fleet.change(PRESENT, { isSuspended: false });
    await fleet.pass(MINUTE);
    expect(fleet.store.removals).toBe(0);
  });

  test("are kept when their hosts registered again since the list", async () => {
    const fleet = fleetOf(PRESENT);
    fleet.store.write("late", ENTRY);
    fleet.store.write("gone", ENTRY);
    await fleet.pass(4 * MINUTE);
    fleet.store.staleList = fleet.store.current;
    fleet.store.write("late", ENTRY);
    await fleet.pass(2 * MINUTE);
    expect(fleet.store.names.toSorted()).toEqual(["late", ...PRESENT]);
  });

  test("wait while the store is away", async () => {
    const fleet = fleetOf(PRESENT);
    hostNames("gone", 20).forEach((name) => fleet.store.write(name, ENTRY));
    await fleet.pass(2 * MINUTE);
    fleet.store.isReachable = false;
    await fleet.pass(30 * MINUTE);
    const known = fleet.running.get("present-1")?.hosts.all().length;
    expect([fleet.store.removals, known]).toEqual([0, 24]);
    fleet.store.isReachable = true;
    await fleet.pass(MINUTE);
    expect(fleet.store.names.toSorted()).toEqual(PRESENT);
  });

  test("are removed again after the store came back older", async () => {
    const fleet = fleetOf(PRESENT.slice(0, 4));
    hostNames("gone", 20).forEach((name) => fleet.store.write(name, ENTRY));
    await fleet.pass(MINUTE);
    const copy = fleet.store.current;
    fleet.start("present-4");
    await fleet.pass(6 * MINUTE);
    expect(fleet.store.names.toSorted()).toEqual(PRESENT);
    fleet.store.restore(copy);
    await fleet.pass(SECOND);
    expect(fleet.store.names).toHaveLength(25);
    expect(fleet.store.names).toContain("present-4");
    await fleet.pass(4 * MINUTE);
    expect(fleet.store.names).toHaveLength(25);
    await fleet.pass(2 * MINUTE);
    expect(fleet.store.names.toSorted()).toEqual(PRESENT);
    expect(fleet.sizes).toEqual([5, 5, 5, 5, 5]);
  });

  test("are tried once a list while the store refuses their removal", async () => {
    const fleet = fleetOf(PRESENT);
    hostNames("gone", 20).forEach((name) => fleet.store.write(name, ENTRY));
    fleet.store.refusesRemovals = true;
    await fleet.pass(6 * MINUTE);
    expect(fleet.store.names).toHaveLength(25);
    expect(fleet.store.removals).toBeGreaterThan(0);
    expect(fleet.store.removals).toBeLessThanOrEqual(6);
  });

  test("stay few while hosts are replaced 180 times in an hour", async () => {
    const fleet = fleetOf(PRESENT);
    const most = { entries: 0, known: 0, expected: 0 };
    const roles = new Set<string>();
    for (let replaced = 0; replaced < 180; replaced += 1) {
      const oldest = [...fleet.running.keys()].find(
        (name) => name !== fleet.holder,
      );
      await fleet.end(oldest ?? "");
      fleet.start(`replaced-${replaced}`);
      await fleet.pass(20 * SECOND, () => {
        const now = fleet.clock.now();
        most.entries = Math.max(most.entries, fleet.store.names.length);
        fleet.running.forEach(({ hosts }) => {
          most.known = Math.max(most.known, hosts.all().length);
        });
        const holder = fleet.running.get(PRESENT[0] ?? "")?.hosts;
        most.expected = Math.max(
          most.expected,
          holder?.expectedCount(now) ?? 0,
        );
        roles.add(holder?.role(now) ?? "");
      });
    }
    expect([...roles]).toEqual(["direct"]);
    expect(most.expected).toBeLessThanOrEqual(5 + 3 + 2);
    // Five minutes of silence at three a minute, two reads of the list, five hosts.
    expect(most.entries).toBeLessThanOrEqual(5 + 3 * 5 + 3);
    // Five more minutes in memory.
    expect(most.known).toBeLessThanOrEqual(5 + 3 * 10 + 6);
    expect(await settled(fleet)).toEqual([]);
  });
});

/** Entries beyond those of running hosts, ten minutes later. */
async function settled(fleet: SimulatedFleet): Promise<readonly string[]> {
  await fleet.pass(10 * MINUTE);
  return fleet.store.names.filter((name) => !fleet.running.has(name));
}

describe("a host whose entry was removed", () => {
  test("registers again", async () => {
    const fleet = fleetOf(PRESENT);
    await fleet.pass(MINUTE);
    fleet.store.drop("present-3");
    await fleet.pass(TWO_LISTS);
    expect(fleet.store.names).toContain("present-3");
  });

  test("is known to all again after ten minutes of suspension", async () => {
    const fleet = fleetOf(PRESENT);
    await fleet.pass(MINUTE);
    const late = PRESENT.slice(3, 4);
    fleet.change(late, { isSuspended: true });
    await fleet.pass(12 * MINUTE);
    expect(fleet.store.names).not.toContain("present-3");
    fleet.change(late, { isSuspended: false });
    await fleet.pass(TWO_LISTS);
    expect(fleet.store.names.toSorted()).toEqual(PRESENT);
    expect(fleet.sizes).toEqual([5, 5, 5, 5, 5]);
  });

  test("is known to all again after half of the fleet was cut off", async () => {
    const fleet = fleetOf(PRESENT);
    await fleet.pass(MINUTE);
    fleet.change(PRESENT.slice(2), { part: "other" });
    await fleet.pass(20 * MINUTE);
    expect(fleet.store.removals).toBeGreaterThan(0);
    expect(fleet.sizes).toEqual([2, 2, 3, 3, 3]);
    fleet.change(PRESENT, { part: "all" });
    await fleet.pass(TWO_LISTS);
    expect(fleet.store.names.toSorted()).toEqual(PRESENT);
    expect(fleet.sizes).toEqual([5, 5, 5, 5, 5]);
  });

  test("does not write again because of a list from before its entry", async () => {
    const fleet = fleetOf(PRESENT.slice(0, 4));
    await fleet.pass(MINUTE);
    fleet.store.staleList = fleet.store.current;
    fleet.start("present-4");
    await fleet.pass(5 * SECOND);
    const { version } = fleet.store.current;
    await fleet.pass(5 * MINUTE);
    expect(fleet.store.current.version).toBe(version);
    // A stale list that claims to be new.
    fleet.store.staleList = { ...fleet.store.staleList, version };
    await fleet.pass(5 * MINUTE);
    expect(fleet.store.current.version).toBe(version);
  });
});
