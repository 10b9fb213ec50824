// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import * as fc from "fast-check";
import { ManualClock, SILENT_LOGGER } from "rampswitch-utils";
import { ServerRecord } from "../choice/mod.ts";
import { ServingMetrics } from "../observation/mod.ts";
import { BrittleServers } from "./brittle_servers.ts";
import { ShareWaits } from "./share_waits.ts";
import { slotShare, weightsOf } from "./slot_share.ts";
import { backendServerStandin } from "../model/backend_server_standin.ts";

const BOUND = 5;

function recordOf(id: string, born?: number): ServerRecord {
  return new ServerRecord(
    backendServerStandin({ id, born, slots: 2, reclaimable: false }),
  );
}

function fleetOf(
  hosts: readonly string[],
  rates: ReadonlyMap<string, number> = new Map(),
) {
  const clock = new ManualClock();
  const records = new Map(
    ["s1", "s2"].map((id) => [id, recordOf(id, 7)] as const),
  );
  const servers = new Map(
    hosts.map((host) => [
      host,
      new BrittleServers({
        clock,
        logger: SILENT_LOGGER,
        metrics: new ServingMetrics(),
        host,
        hosts: () => hosts,
        rates: () => rates,
        server: (id) => records.get(id),
        broadcast: () => undefined,
      }),
    ]),
  );
  clock.advance(2_000);
  const of = (host: string) => servers.get(host) as BrittleServers;
  return { clock, of, record: records.get("s1") as ServerRecord, records };
}

describe("shares of a server's slots", () => {
  test("follow the requests that hosts get, and are never more than its slots", () => {
    fc.assert(
      fc.property(
        fc.nat(200),
        fc.array(fc.nat(1_000), { minLength: 1, maxLength: 40 }),
        (slots, rates) => {
          const hosts = rates.map((_, index) => `h${index}`);
          const byHost = new Map(
            rates.map((rate, index) => [`h${index}`, rate]),
          );
          const weights = weightsOf(byHost, hosts);
          const shares = hosts.map((host) =>
            slotShare({ id: "s1", slots }, host, { hosts, weights }),
          );
          return shares.reduce((sum, share) => sum + share, 0) === slots;
        },
      ),
    );
    const hosts = Array.from({ length: 8 }, (_, index) => `h${index}`);
    const rates = new Map(hosts.map((host) => [host, 2]));
    const weights = weightsOf(rates.set("h0", 100), hosts);
    const shareOf = (host: string) =>
      slotShare({ id: "s1", slots: 64 }, host, { hosts, weights });
    expect(shareOf("h0")).toBeGreaterThan(32);
    expect(shareOf("h1")).toBeGreaterThanOrEqual(4);
  });

  test("are even while no host gets twice as much as most", () => {
    const hosts = ["a", "b", "c", "d"];
    const rates = new Map([
      ["a", 19],
      ["b", 10],
      ["c", 11],
      ["d", 6],
    ]);
    expect(weightsOf(rates, hosts).size).toBe(0);
    expect(weightsOf(new Map(), hosts).size).toBe(0);
  });

  test("rise only once the other hosts have given up theirs", () => {
    const rates = new Map<string, number>();
    const { clock, of, record } = fleetOf(["a", "b"], rates);
    of("a").recordAdvertised(record, BOUND);
    record.started(0);
    expect(of("a").allows(record)).toBe(false);
    rates.set("a", 100).set("b", 1);
    const rose = Array.from({ length: 6 }, () => {
      clock.advance(600);
      of("a").recordAdvertised(record, BOUND);
      return of("a").allows(record);
    });
    expect(rose.slice(0, 2)).toEqual([false, false]);
    rates.set("a", 1).set("b", 100);
    clock.advance(600);
    expect(of("a").allows(record)).toBe(false);
  });

  test("are never more than its slots together, and all of them are shared", () => {
    fc.assert(
      fc.property(
        fc.nat(200),
        fc.integer({ min: 1, max: 360 }),
        (slots, count) => {
          const hosts = Array.from(
            { length: count },
            (_, index) => `h${index}`,
          );
          const shares = hosts.map((host) =>
            slotShare({ id: "s1", slots }, host, { hosts }),
          );
          const sum = shares.reduce((total, share) => total + share, 0);
          return (
            sum === slots && Math.max(...shares) - Math.min(...shares) <= 1
          );
        },
      ),
      { seed: 58, numRuns: 40 },
    );
  });
});

describe("brittle servers", () => {
  test("get no more from a host than its share", () => {
    const { of, record } = fleetOf(["a", "b"]);
    of("a").recordAdvertised(record, BOUND);
    expect(of("a").allows(record)).toBe(true);
    record.started(0);
    expect(of("a").allows(record)).toBe(false);
  });

  test("get nothing for a second after a rejection, from any host once half of the bound is spent", () => {
    const { clock, of, record } = fleetOf(["a", "b"]);
    of("a").recordAdvertised(record, BOUND);
    of("a").recordRejection(record);
    expect(of("a").allows(record)).toBe(false);
    of("b").receive("a", of("a").updates(), 0);
    expect(of("b").allows(record)).toBe(true);
    of("a").recordRejection(record);
    of("a").recordRejection(record);
    of("b").receive("a", of("a").updates(), 0);
    expect(of("b").allows(record)).toBe(false);
    clock.advance(1_001);
    expect(of("a").allows(record)).toBe(true);
    expect(of("b").allows(record)).toBe(true);
  });

  test("make all servers of their service count as brittle", () => {
    const { of, record, records } = fleetOf(["a", "b", "c"]);
    const other = records.get("s2") as ServerRecord;
    other.started(0);
    expect(of("a").allows(other)).toBe(true);
    of("a").recordAdvertised(record, BOUND);
    expect(of("a").allows(other)).toBe(false);
  });

  test("are no longer brittle with an answer that does not say so, or none for long", () => {
    const { clock, of, record } = fleetOf(["a", "b", "c"]);
    record.started(0);
    of("a").recordAdvertised(record, BOUND);
    of("a").recordAdvertised(record, undefined);
    expect(of("a").allows(record)).toBe(true);
    of("a").recordAdvertised(record, BOUND);
    expect(of("a").allows(record)).toBe(false);
    clock.advance(15_001);
    expect(of("a").allows(record)).toBe(true);
  });

  test("are known from peers, but not by words of a former life", () => {
    const { of, record } = fleetOf(["a", "b", "c"]);
    record.started(0);
    const update = { id: "s1", bound: BOUND, age: 0, rejections: 0 };
    of("a").receive("b", [{ ...update, born: 6 }], 0);
    expect(of("a").allows(record)).toBe(true);
    of("a").receive("b", [{ ...update, born: 7 }], 0);
    expect(of("a").allows(record)).toBe(false);
  });

  test("get nothing from a host that has just started", () => {
    const { clock, record } = fleetOf(["a"]);
    const started = new BrittleServers({
      clock,
      logger: SILENT_LOGGER,
      metrics: new ServingMetrics(),
      host: "a",
      hosts: () => ["a"],
      rates: () => new Map(),
      server: () => record,
      broadcast: () => undefined,
    });
    started.recordAdvertised(record, BOUND);
    expect(started.allows(record)).toBe(false);
    clock.advance(1_501);
    expect(started.allows(record)).toBe(true);
  });
});

describe("requests that wait for a place", () => {
  test("get it in order, or are refused when it is too late", () => {
    const clock = new ManualClock();
    const waits = new ShareWaits(clock);
    const seen: string[] = [];
    let places = 0;
    const add = (name: string, latestAt: number) =>
      waits.add({
        latestAt,
        attempt: () => {
          if (places === 0) return false;
          places -= 1;
          seen.push(name);
          return true;
        },
        refuse: () => seen.push(`${name} refused`),
      });
    add("first", 100);
    add("second", 100);
    add("left", 100)?.();
    expect(add("late", 0)).toBeUndefined();
    places = 1;
    waits.released();
    clock.advance(100);
    expect(seen).toEqual(["first", "second refused"]);
  });
});
