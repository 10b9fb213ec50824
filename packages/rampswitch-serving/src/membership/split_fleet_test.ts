// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { expect, test } from "@jest/globals";
import { FleetHosts, type KnownHost } from "./fleet_hosts.ts";
import { entriesOf, hostNames, idleUpdate } from "./fleet_hosts_standin.ts";
import type { FleetDigest, PeerUpdate } from "./peer_messages.ts";
import { RELAYED_GOSSIP_TIMING } from "./relay_plan.ts";

const NAMES = hostNames("host", 24);
const SECOND_MILLISECONDS = 1_000;

interface SentUpdates {
  readonly name: string;
  readonly wantsDigest: boolean;
  readonly updates: readonly PeerUpdate[];
}

/** A fleet with relays that gossips in simulated time. */
class RelayedFleet {
  readonly #hosts = new Map(
    entriesOf(NAMES).map((self) => [self.name, new FleetHosts(self)]),
  );
  #now = SECOND_MILLISECONDS;
  #round = 0;
  /** Number of messages to hosts that are silent. */
  sentToSilent = 0;
  isConnected: (one: string, other: string) => boolean = () => true;

  constructor() {
    this.#hosts.forEach((host) => host.addListed(entriesOf(NAMES), this.#now));
  }

  /** Smallest number of hosts that any host believes to serve. */
  get smallestSize(): number {
    const sizes = [...this.#hosts.values()].map((host) => host.size(this.#now));
    return Math.min(...sizes);
  }

  /** Lets time pass. */
  pass(milliseconds: number): void {
    const until = this.#now + milliseconds;
    while (this.#now < until) {
      this.#now += RELAYED_GOSSIP_TIMING.interval;
      this.#round += 1;
      this.#hosts.forEach((host, name) => this.#gossip(name, host));
    }
  }

  #gossip(name: string, host: FleetHosts): void {
    const [now, round] = [this.#now, this.#round];
    const own = idleUpdate(name, round);
    const wantsDigest = host.role(now) === "member";
    if (wantsDigest) {
      const updates = [own];
      this.#send(host.relaysToUpdate(now, round), {
        name,
        wantsDigest,
        updates,
      });
    } else {
      const gathered = host
        .directSenders(now)
        .flatMap(({ update }) => update ?? []);
      const updates = [own, ...gathered];
      this.#send(host.otherRelays(now, round), { name, wantsDigest, updates });
      const silent = host.silentHostInTurn(now, round);
      this.#send(silent, { name, wantsDigest, updates: [own] });
      this.sentToSilent += silent.length;
    }
    const relays = host.ownRelays(now);
    const digest = { hosts: host.size(now), relays } as unknown as FleetDigest;
    this.#reached(name, host.digestRequesters(now)).forEach((to) =>
      to.applyDigest(digest, now),
    );
  }

  #send(
    to: readonly KnownHost[],
    { name, wantsDigest, updates }: SentUpdates,
  ): void {
    this.#reached(name, to).forEach((host) => {
      updates
        .filter((update) => !host.hasApplied(update.host, "1", update.sequence))
        .forEach((update) => host.applyUpdate(update, this.#now));
      const sender = { wantsDigest, readsSharedDigest: true };
      host.recordSender(name, sender, this.#now);
    });
  }

  #reached(from: string, to: readonly KnownHost[]): readonly FleetHosts[] {
    return to
      .filter(({ name }) => name !== from && this.isConnected(from, name))
      .flatMap(({ name }) => this.#hosts.get(name) ?? []);
  }
}

/**
 * Guards against a fleet that stays in two parts after a cut: each part had relays of
 * its own, which sent updates to relays that they heard alone.
 */
test("halves of a fleet with relays hear each other again after a cut", () => {
  const fleet = new RelayedFleet();
  fleet.pass(20 * SECOND_MILLISECONDS);
  expect(fleet.smallestSize).toBe(24);
  expect(fleet.sentToSilent).toBe(0);
  const half = new Set(NAMES.slice(0, 12));
  fleet.isConnected = (one, other) => half.has(one) === half.has(other);
  fleet.pass(60 * SECOND_MILLISECONDS);
  expect(fleet.smallestSize).toBe(12);
  fleet.isConnected = () => true;
  fleet.pass(20 * SECOND_MILLISECONDS);
  expect(fleet.smallestSize).toBe(24);
});
