// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import { FleetHosts } from "./fleet_hosts.ts";
import {
  entriesOf,
  receiveMessages,
  type ReceivedMessages,
  hostNames,
  idleUpdate,
} from "./fleet_hosts_standin.ts";

const SELF = { name: "self", dataHall: "a", cores: 1 };
const PRESENT = hostNames("present", 4);
const GONE = hostNames("gone", 600);
const START = 1_000;
const MINUTE_MILLISECONDS = 60_000;

/** How long some hosts are not listed, in milliseconds. */
const UNLISTED_MILLISECONDS = 6 * MINUTE_MILLISECONDS;

/**
 * Guards against memory that grows with each host that ever was: a known host was
 * kept although neither the store nor a message named it again.
 */
describe("a host that is neither listed nor heard", () => {
  const listed = entriesOf(["self", ...PRESENT]);
  const start = entriesOf(["self", ...PRESENT, ...GONE]);
  const heard = PRESENT.slice(0, 2);

  test.each<[string, Partial<ReceivedMessages>, readonly string[]]>([
    ["forgotten", { listed, heard: [...heard, "new"] }, [...PRESENT, "new"]],
    ["forgotten by a member", { listed, digested: 5 }, PRESENT],
    ["kept by one that hears nobody", { listed }, [...GONE, ...PRESENT]],
    [
      "kept while the store is away",
      { listed: undefined, heard: [...heard, "new"] },
      [...GONE, "new", ...PRESENT],
    ],
  ])("is %s after six minutes", (_, change, expected) => {
    const hosts = new FleetHosts(SELF);
    const shared = { hosts, from: START, listed: start, heard };
    const removed = START + MINUTE_MILLISECONDS;
    receiveMessages({ ...shared, until: removed });
    const until = removed + UNLISTED_MILLISECONDS;
    const late = { hosts, from: removed, until, listed, ...change };
    receiveMessages(late);
    // A host that is new by an update.
    const after = { from: until, until: until + 250, listed: undefined };
    if (late.heard !== undefined) {
      receiveMessages({ ...late, ...after, heard: [...late.heard, "newest"] });
    }
    const known = hosts.all().map(({ name }) => name);
    const names = late.heard === undefined ? [] : ["newest"];
    expect(known.toSorted()).toEqual([...expected, ...names].toSorted());
  });

  test("is forgotten, so that memory is bounded during 10,000 replacements in an hour", () => {
    const hosts = new FleetHosts(SELF);
    const replacements = 10_000;
    const interval = (60 * MINUTE_MILLISECONDS) / replacements;
    const sizes = hostNames("replaced", replacements).map((name, index) => {
      const from = START + index * interval;
      receiveMessages({
        hosts,
        from,
        until: from + 250,
        listed: entriesOf(["self", ...PRESENT, name]),
        heard: [...PRESENT, name],
      });
      return hosts.all().length;
    });
    // Those of five minutes, and a read of the list.
    expect(Math.max(...sizes)).toBeLessThan((6 * replacements) / 60);
  });
});

/** Guards against entries that are removed although their hosts run. */
describe("a host that is silent", () => {
  const listed = entriesOf(["self", ...PRESENT, "silent"]);
  const until = START + UNLISTED_MILLISECONDS;

  test.each<[string, Partial<ReceivedMessages>, readonly string[]]>([
    ["to one that hears the others", { heard: PRESENT }, ["silent"]],
    ["for four minutes", { heard: PRESENT, until: until - 120_000 }, []],
    ["to a member", { digested: 5 }, []],
    // Other hosts send their updates to relays alone.
    ["to a candidate for a relay", { heard: PRESENT, digested: 5 }, []],
    ["to one that hears nobody", {}, []],
  ])("is gone or not: %s", (_, heard, expected) => {
    const hosts = new FleetHosts(SELF);
    receiveMessages({ hosts, from: START, until, listed, ...heard });
    const names = hosts.all().map(({ name }) => name);
    expect(names.filter((name) => hosts.isGone(name))).toEqual(expected);
  });

  test("is not gone once it has registered again, or is heard", () => {
    const hosts = new FleetHosts(SELF);
    receiveMessages({ hosts, from: START, until, listed, heard: PRESENT });
    const entries = listed.map((entry) => ({ ...entry, version: 2 }));
    hosts.addListed(entries, until);
    expect(hosts.isGone("silent")).toBe(false);
    const later = until + UNLISTED_MILLISECONDS;
    receiveMessages({
      hosts,
      from: until,
      until: later,
      listed,
      heard: PRESENT,
    });
    expect(hosts.isGone("silent")).toBe(true);
    hosts.applyUpdate(idleUpdate("silent", 1), later);
    expect(hosts.isGone("silent")).toBe(false);
  });
});
