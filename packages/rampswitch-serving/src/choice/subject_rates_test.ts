// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import { exponential, seededRandom } from "rampswitch-utils";
import { SubjectRates } from "./subject_rates.ts";

const FLEET = { hosts: 62, servers: 56 };

/** Adds one host's part of a rate of the fleet, for a while; returns the time after. */
function addRequests(
  rates: SubjectRates,
  subject: string,
  {
    perSecond,
    milliseconds,
    from,
    seconds,
  }: {
    readonly perSecond: number;
    readonly milliseconds: number;
    readonly from: number;
    readonly seconds: number;
  },
): number {
  const random = seededRandom(9);
  const until = from + seconds * 1_000;
  let at = from;
  while (at < until) {
    rates.add(subject, milliseconds, at);
    at += exponential(random, (1_000 * FLEET.hosts) / perSecond);
  }
  return until;
}

describe("homes of a subject", () => {
  test("is one for a subject that is new or seldom", () => {
    const rates = new SubjectRates();
    expect(rates.homes("new", 5, FLEET)).toBe(1);
    const now = addRequests(rates, "seldom", {
      perSecond: 2,
      milliseconds: 37,
      from: 0,
      seconds: 60,
    });
    expect(rates.homes("seldom", now, FLEET)).toBe(1);
  });

  test("are as many as its prefill fills, and fewer when its rate falls", () => {
    // Two thirds of 263 short requests a second fill 6.5 engines at 37 ms each.
    const rates = new SubjectRates();
    const busy = addRequests(rates, "large", {
      perSecond: 176,
      milliseconds: 37,
      from: 0,
      seconds: 60,
    });
    const homes = rates.homes("large", busy, FLEET);
    expect(homes).toBeGreaterThanOrEqual(9);
    expect(homes).toBeLessThanOrEqual(14);
    const calm = addRequests(rates, "large", {
      perSecond: 2,
      milliseconds: 37,
      from: busy,
      seconds: 60,
    });
    expect(rates.homes("large", calm, FLEET)).toBe(1);
  });

  test("are at most a quarter of the servers, and at least one", () => {
    const rates = new SubjectRates();
    rates.add("large", 1e9, 0);
    expect(rates.homes("large", 0, { hosts: 1, servers: 20 })).toBe(5);
    expect(rates.homes("large", 0, { hosts: 1, servers: 2 })).toBe(1);
    expect(rates.homes("large", 0, { hosts: 1, servers: 9_000 })).toBe(16);
  });

  test("are forgotten for the oldest of many subjects", () => {
    const rates = new SubjectRates();
    rates.add("first", 1e6, 0);
    Array.from({ length: 1_000 }, (_, at) => rates.add(`s${at}`, 1e6, at));
    expect(rates.homes("first", 1_000, FLEET)).toBe(1);
    expect(rates.homes("s999", 1_000, FLEET)).toBeGreaterThan(1);
  });
});
