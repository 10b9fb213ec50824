// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import { LeavingIncarnations } from "./leaving_incarnations.ts";

const INCARNATION = { id: "s1", born: 1_000 };
const TO_ALL = { ownOnly: false, isStillNeeded: () => false };

describe("incarnations that advertised that they leave", () => {
  test("stay leaving, from the earliest advertised time on", () => {
    const incarnations = new LeavingIncarnations();
    expect(
      incarnations.add(INCARNATION, { since: 500, origin: "answer" }),
    ).toBe(true);
    expect(incarnations.add(INCARNATION, { since: 900, origin: "peer" })).toBe(
      false,
    );
    expect(incarnations.add(INCARNATION, { since: 300, origin: "peer" })).toBe(
      false,
    );
    expect(incarnations.since(INCARNATION)).toBe(300);
  });

  test("do not stand for other incarnations of the same server", () => {
    const incarnations = new LeavingIncarnations();
    incarnations.add(INCARNATION, { since: 500, origin: "answer" });
    expect(incarnations.since({ ...INCARNATION, born: 2_000 })).toBeUndefined();
    expect(incarnations.since({ id: INCARNATION.id })).toBeUndefined();
  });

  test("are reported while they are recent or still needed", () => {
    const incarnations = new LeavingIncarnations();
    incarnations.add(INCARNATION, { since: 500, origin: "answer" });
    expect(incarnations.updates(700, TO_ALL)).toEqual([
      { ...INCARNATION, age: 200 },
    ]);
    expect(incarnations.updates(60_000, TO_ALL)).toEqual([]);
    const wanted = { ...TO_ALL, isStillNeeded: () => true };
    expect(incarnations.updates(60_000, wanted)).toEqual([
      { ...INCARNATION, age: 59_500 },
    ]);
  });

  test("from other hosts are not reported with `ownOnly`, as relays report them", () => {
    const incarnations = new LeavingIncarnations();
    incarnations.add(INCARNATION, { since: 500, origin: "peer" });
    expect(incarnations.updates(700, { ...TO_ALL, ownOnly: true })).toEqual([]);
  });

  test("from the store are not reported, as all hosts read the store", () => {
    const incarnations = new LeavingIncarnations();
    incarnations.add(INCARNATION, { since: 500, origin: "entry" });
    expect(incarnations.updates(700, TO_ALL)).toEqual([]);
    expect(incarnations.since(INCARNATION)).toBe(500);
  });

  test("are bounded in number; the oldest ones are forgotten", () => {
    const incarnations = new LeavingIncarnations();
    Array.from({ length: 20_000 }, (_, index) =>
      incarnations.add({ id: `s${index}` }, { since: index, origin: "peer" }),
    );
    expect(incarnations.since({ id: "s0" })).toBeUndefined();
    expect(incarnations.since({ id: "s19999" })).toBe(19_999);
    expect(incarnations.updates(20_000, TO_ALL).length).toBeLessThanOrEqual(
      256,
    );
  });
});
