// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import { FleetArrivals } from "./fleet_arrivals.ts";

const SERVICE = "models";
const START = 10_000;

/** A host of a fleet that got so many requests in its last four seconds. */
function hostWith(requests: number, hosts: number): FleetArrivals {
  const arrivals = new FleetArrivals(0, () => hosts);
  Array.from({ length: requests }, () => arrivals.addArrival(SERVICE, START));
  return arrivals;
}

/** Rate of all hosts as one of them sees it, in requests a second. */
function fleetRate(host: FleetArrivals, now = START): number {
  return host.fleetReport(now)[SERVICE] ?? 0;
}

describe("arrivals at all hosts", () => {
  test("are added up, whatever part of them comes to one host", () => {
    const favoured = hostWith(400, 8);
    const others = Array.from({ length: 7 }, () => hostWith(10, 8));
    others.forEach((other, index) =>
      favoured.receive(`h${index}`, other.ownReport(START), START),
    );
    expect(fleetRate(favoured)).toBeCloseTo((400 + 70) / 4, 1);
    expect(favoured.ownPart(SERVICE, START)).toBeCloseTo(400 / 470, 2);
  });

  test("are taken for even while no peer is known", () => {
    expect(fleetRate(hostWith(40, 8))).toBeCloseTo(80, 1);
    expect(hostWith(40, 8).ownPart(SERVICE, START)).toBeCloseTo(1 / 8, 2);
    expect(hostWith(0, 8).ownPart(SERVICE, START)).toBeCloseTo(1 / 8, 2);
  });

  test("count silent peers as much as those that report, not as this host", () => {
    const favoured = hostWith(400, 8);
    favoured.receive("h1", hostWith(20, 8).ownReport(START), START);
    expect(fleetRate(favoured)).toBeCloseTo((400 + 7 * 20) / 4, 1);
  });

  test("count peers of an earlier version, which report nothing, as silent ones", () => {
    const host = hostWith(400, 4);
    host.receive("h1", undefined, START);
    host.receive("h2", undefined, START);
    expect(host.ownPart(SERVICE, START)).toBeCloseTo(1 / 4, 2);
    host.receive("h3", { [SERVICE]: 10 }, START);
    expect(fleetRate(host)).toBeCloseTo(100 + 3 * 10, 1);
  });

  test("are taken for even below a relay that does not know the service", () => {
    const member = hostWith(400, 360);
    member.receiveFleet(undefined, START);
    expect(member.ownPart(SERVICE, START)).toBeCloseTo(1 / 360, 4);
    member.receiveFleet({}, START);
    expect(member.ownPart(SERVICE, START)).toBeCloseTo(1 / 360, 4);
  });

  test("leave out reports that are older than three seconds", () => {
    const host = hostWith(400, 2);
    host.receive("h1", { [SERVICE]: 1_000 }, START);
    expect(fleetRate(host, START + 2_900)).toBeCloseTo(1_100, 0);
    expect(fleetRate(host, START + 3_000)).toBeCloseTo(200, 0);
  });

  test("come from the digest of a relay, and are no less than this host's own", () => {
    const member = hostWith(400, 360);
    member.receiveFleet({ [SERVICE]: 110 }, START);
    expect(member.ownPart(SERVICE, START)).toBeCloseTo(100 / 110, 2);
    member.receiveFleet({ [SERVICE]: 50 }, START);
    expect(member.ownPart(SERVICE, START)).toBe(1);
  });
});
