// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import { SILENT_LOGGER } from "rampswitch-utils";
import { ServingMetrics } from "../observation/mod.ts";
import { LimitBook } from "./limit_table.ts";

const LIFE = { id: "s1", born: 7 };

function book(onLower: () => void = () => undefined): LimitBook {
  return new LimitBook({
    logger: SILENT_LOGGER,
    metrics: new ServingMetrics(),
    onLower,
  });
}

/** What one book tells another at a time. */
function tell(from: LimitBook, to: LimitBook, now: number): void {
  to.heard(from.news(now, { ownOnly: false }), now);
}

describe("limits that servers name", () => {
  test("hold as long as they are named", () => {
    const known = book();
    expect(known.of(LIFE, 1_000)).toBeUndefined();
    known.read(LIFE, 1.2, 1_000);
    expect(known.of(LIFE, 1_001)).toBe(1.2);
    expect(known.of(LIFE, 900_000)).toBe(1.2);
    known.read(LIFE, undefined, 900_001);
    expect(known.of(LIFE, 902_000)).toBeUndefined();
  });

  test("are told to other hosts, with the time since they were read", () => {
    const [reader, other, third] = [book(), book(), book()];
    reader.read(LIFE, 2, 1_000);
    tell(reader, other, 1_200);
    tell(other, third, 1_400);
    expect(third.of(LIFE, 1_500)).toBe(2);
    expect(third.ageOf(LIFE, 1_500)).toBe(500);
  });

  test("are told by those alone that read them, where others tell the rest", () => {
    const [reader, relay] = [book(), book()];
    reader.read(LIFE, 2, 1_000);
    tell(reader, relay, 1_200);
    expect(relay.news(1_300, { ownOnly: true })).toEqual([]);
    expect(reader.news(1_300, { ownOnly: true })).toHaveLength(1);
  });

  test("count by when they were read, not by when they are heard of", () => {
    const [first, second, other] = [book(), book(), book()];
    first.read(LIFE, 1, 1_000);
    second.read(LIFE, 5, 9_000);
    tell(second, other, 9_500);
    tell(first, other, 9_600);
    expect(other.of(LIFE, 12_000)).toBe(5);
  });

  test("are the lower ones while answers may have overtaken each other", () => {
    const known = book();
    known.read(LIFE, 1, 1_000);
    known.read(LIFE, 5, 1_100);
    expect(known.of(LIFE, 1_200)).toBe(1);
    expect(known.of(LIFE, 2_000)).toBe(5);
    known.read(LIFE, undefined, 2_100);
    expect(known.of(LIFE, 2_200)).toBe(5);
    known.heard([{ ...LIFE, perSecond: 0.5, age: 200 }], 2_250);
    expect(known.of(LIFE, 2_300)).toBe(0.5);
    expect(known.of(LIFE, 3_500)).toBeUndefined();
  });

  test("do not come back by late news once they ended", () => {
    const [reader, late] = [book(), book()];
    reader.read(LIFE, 1, 1_000);
    tell(reader, late, 1_100);
    reader.read(LIFE, undefined, 5_000);
    tell(late, reader, 6_000);
    expect(reader.of(LIFE, 7_000)).toBeUndefined();
    tell(reader, late, 7_000);
    expect(late.of(LIFE, 8_000)).toBeUndefined();
  });

  test("are of one life of a server", () => {
    const known = book();
    known.read(LIFE, 1, 1_000);
    expect(known.of({ id: "s1", born: 8 }, 1_100)).toBeUndefined();
    known.forget(LIFE);
    expect(known.of(LIFE, 1_100)).toBeUndefined();
  });

  test("are told at once where an answer lowers them, and else with the news", () => {
    const told: string[] = [];
    const known = book(() => told.push("told"));
    known.read(LIFE, 5, 1_000);
    known.read(LIFE, 5, 1_100);
    known.read(LIFE, 9, 1_200);
    expect(told).toHaveLength(1);
    known.read(LIFE, 1, 1_300);
    expect(told).toHaveLength(2);
    known.heard([{ id: "s2", born: 1, perSecond: 1, age: 0 }], 1_400);
    expect(told).toHaveLength(2);
  });

  test("are no more in one message than fit, the newest first", () => {
    const known = book();
    Array.from({ length: 2_000 }, (_, index) =>
      known.read({ id: `s${index}`, born: 1 }, 1, index),
    );
    const news = known.news(3_000, { ownOnly: true });
    expect(news.length).toBeLessThan(500);
    expect(news[0]?.id).toBe("s1999");
  });
});
