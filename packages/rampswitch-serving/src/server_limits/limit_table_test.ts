// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import { SILENT_LOGGER } from "rampswitch-utils";
import { ServingMetrics } from "../observation/mod.ts";
import { LimitTable } from "./limit_table.ts";

const INCARNATION = { id: "s1", born: 7 };

function limitTable(onLower: () => void = () => undefined): LimitTable {
  return new LimitTable({
    logger: SILENT_LOGGER,
    metrics: new ServingMetrics(),
    onLowered: onLower,
  });
}

/** Passes the limits of one table on to another one at a given time. */
function exchange(from: LimitTable, to: LimitTable, now: number): void {
  to.receive(from.updates(now, { ownOnly: false }), now);
}

describe("limits that servers advertise", () => {
  test("apply as long as they are advertised", () => {
    const table = limitTable();
    expect(table.limitOf(INCARNATION, 1_000)).toBeUndefined();
    table.recordAdvertised(INCARNATION, 1.2, 1_000);
    expect(table.limitOf(INCARNATION, 1_001)).toBe(1.2);
    expect(table.limitOf(INCARNATION, 900_000)).toBe(1.2);
    table.recordAdvertised(INCARNATION, undefined, 900_001);
    expect(table.limitOf(INCARNATION, 902_000)).toBeUndefined();
  });

  test("are reported to other hosts with the time since they were read", () => {
    const [reader, other, third] = [limitTable(), limitTable(), limitTable()];
    reader.recordAdvertised(INCARNATION, 2, 1_000);
    exchange(reader, other, 1_200);
    exchange(other, third, 1_400);
    expect(third.limitOf(INCARNATION, 1_500)).toBe(2);
    expect(third.advertisedAge(INCARNATION, 1_500)).toBe(500);
  });

  test("are reported only by the hosts that read them if `ownOnly` is set", () => {
    const [reader, relay] = [limitTable(), limitTable()];
    reader.recordAdvertised(INCARNATION, 2, 1_000);
    exchange(reader, relay, 1_200);
    expect(relay.updates(1_300, { ownOnly: true })).toEqual([]);
    expect(reader.updates(1_300, { ownOnly: true })).toHaveLength(1);
  });

  test("are ordered by when they were read, not by when they are received", () => {
    const [first, second, other] = [limitTable(), limitTable(), limitTable()];
    first.recordAdvertised(INCARNATION, 1, 1_000);
    second.recordAdvertised(INCARNATION, 5, 9_000);
    exchange(second, other, 9_500);
    exchange(first, other, 9_600);
    expect(other.limitOf(INCARNATION, 12_000)).toBe(5);
  });

  test("are the lower ones while answers may have overtaken one another", () => {
    const table = limitTable();
    table.recordAdvertised(INCARNATION, 1, 1_000);
    table.recordAdvertised(INCARNATION, 5, 1_100);
    expect(table.limitOf(INCARNATION, 1_200)).toBe(1);
    expect(table.limitOf(INCARNATION, 2_000)).toBe(5);
    table.recordAdvertised(INCARNATION, undefined, 2_100);
    expect(table.limitOf(INCARNATION, 2_200)).toBe(5);
    table.receive([{ ...INCARNATION, perSecond: 0.5, age: 200 }], 2_250);
    expect(table.limitOf(INCARNATION, 2_300)).toBe(0.5);
    expect(table.limitOf(INCARNATION, 3_500)).toBeUndefined();
  });

  test("are not restored by late updates once they have ended", () => {
    const [reader, delayed] = [limitTable(), limitTable()];
    reader.recordAdvertised(INCARNATION, 1, 1_000);
    exchange(reader, delayed, 1_100);
    reader.recordAdvertised(INCARNATION, undefined, 5_000);
    exchange(delayed, reader, 6_000);
    expect(reader.limitOf(INCARNATION, 7_000)).toBeUndefined();
    exchange(reader, delayed, 7_000);
    expect(delayed.limitOf(INCARNATION, 8_000)).toBeUndefined();
  });

  test("belong to one incarnation of a server", () => {
    const table = limitTable();
    table.recordAdvertised(INCARNATION, 1, 1_000);
    expect(table.limitOf({ id: "s1", born: 8 }, 1_100)).toBeUndefined();
    table.forget(INCARNATION);
    expect(table.limitOf(INCARNATION, 1_100)).toBeUndefined();
  });

  test("are reported at once only where an answer lowers them", () => {
    const calls: string[] = [];
    const table = limitTable(() => calls.push("lower"));
    table.recordAdvertised(INCARNATION, 5, 1_000);
    table.recordAdvertised(INCARNATION, 5, 1_100);
    table.recordAdvertised(INCARNATION, 9, 1_200);
    expect(calls).toHaveLength(1);
    table.recordAdvertised(INCARNATION, 1, 1_300);
    expect(calls).toHaveLength(2);
    table.receive([{ id: "s2", born: 1, perSecond: 1, age: 0 }], 1_400);
    expect(calls).toHaveLength(2);
  });

  test("are bounded in one message, the newest first", () => {
    const table = limitTable();
    Array.from({ length: 2_000 }, (_, index) =>
      table.recordAdvertised({ id: `s${index}`, born: 1 }, 1, index),
    );
    const updates = table.updates(3_000, { ownOnly: true });
    expect(updates.length).toBeLessThan(500);
    expect(updates[0]?.id).toBe("s1999");
  });
});
