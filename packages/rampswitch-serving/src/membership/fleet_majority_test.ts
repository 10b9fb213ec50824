// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import {
  type FleetView,
  receivesFromAll,
  receivesFromMost,
  lackStore,
} from "./fleet_majority.ts";

const NOW = 10_000;

/** A host heard some time ago, and how long ago the store confirmed it anything then. */
function host(silence: number, configurationAge?: number) {
  return { receivedAt: NOW - silence, update: { configurationAge } };
}

function view(listed: number, hosts: FleetView["hosts"]): FleetView {
  return { listed, hosts, digest: undefined, isRelayed: false, now: NOW };
}

function relayed(direct: FleetView): FleetView {
  return { ...direct, isRelayed: true };
}

describe("the majority of a fleet", () => {
  test.each([
    ["one host alone", view(1, []), true],
    ["one host of two", view(2, [host(5_000, 0)]), false],
    ["two of three", view(3, [host(100, 0), host(5_000, 0)]), true],
    ["half of four", view(4, [host(100, 0)]), false],
    ["a list that was not read", view(0, []), false],
  ])("is heard or not: %s", (_, seen, heard) => {
    expect(receivesFromMost(seen)).toBe(heard);
  });

  test.each([
    ["all lack it", view(3, [host(100, 4_000), host(100, 4_000)]), true],
    ["one reaches it", view(3, [host(100, 4_000), host(100, 200)]), false],
    ["this host hears nobody", view(3, []), false],
    ["this host is the only one", view(1, []), true],
    ["none has ever reached it", view(2, [host(100)]), true],
  ])("lacks the store or not: %s", (_, seen, lacking) => {
    expect(lackStore(seen, 3_000)).toBe(lacking);
  });

  test.each([
    ["all are heard", view(3, [host(100), host(7_900)]), true],
    [
      "one may have dropped this host",
      view(3, [host(100), host(8_000)]),
      false,
    ],
    ["the list of hosts was not read", view(0, []), false],
    ["hosts are heard through relays", relayed(view(1, [])), false],
  ])("leaves out nobody or not: %s", (_, seen, heard) => {
    expect(receivesFromAll(seen)).toBe(heard);
  });

  test("is told to a member by its relay", () => {
    const digest = { hosts: 50, configurationAge: 200 };
    const member = { ...view(78, []), digest, isRelayed: true };
    expect(receivesFromMost(member)).toBe(true);
    expect(lackStore(member, 3_000)).toBe(false);
    expect(receivesFromMost({ ...member, listed: 100 })).toBe(false);
  });
});
