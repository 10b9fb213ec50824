// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import fc from "fast-check";
import { encodedReturns, returnsOf } from "./returns_codec.ts";

const RESERVATION = fc.record({
  key: fc
    .array(fc.constantFrom(..."0123456789abcdef"), {
      minLength: 16,
      maxLength: 16,
    })
    .map((digits) => digits.join("")),
  id: fc.nat(0xff_ff),
  dueIn: fc.integer({ min: -1_000, max: 20_000 }),
  rank: fc.nat(9_999),
  kept: fc.boolean(),
});

describe("reservations in messages", () => {
  test("are decoded as they were encoded", () => {
    fc.assert(
      fc.property(fc.array(RESERVATION), (reservations) => {
        expect(returnsOf(encodedReturns(reservations))).toEqual(reservations);
      }),
      { seed: 20_261_203 },
    );
  });

  test("take 14 bytes each, and nothing where there are none", () => {
    const reservation = {
      key: "0123456789abcdef",
      id: 7,
      dueIn: 300.4,
      rank: 102,
      kept: false,
    };
    const many = Array.from({ length: 32 }, () => reservation);
    expect(encodedReturns(many)?.length).toBe(Math.ceil((32 * 14) / 3) * 4);
    expect(encodedReturns([])).toBeUndefined();
    expect(returnsOf(undefined)).toEqual([]);
  });

  test("of any text are within the bounds of the fields", () => {
    fc.assert(
      fc.property(fc.string({ maxLength: 400 }), (text) => {
        returnsOf(text).forEach(({ key, dueIn, rank }) => {
          expect(key).toHaveLength(16);
          expect(Math.abs(dueIn)).toBeLessThanOrEqual(0x80_00);
          expect(rank).toBeLessThan(0x80_00);
        });
      }),
      { seed: 20_261_203 },
    );
  });
});
