// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import { deflateRawSync } from "node:zlib";
import { encodedSlowdowns, isSlowdowns, slowdownsOf } from "./speed_codec.ts";

const BORN = 1_796_169_600_123;

describe("slowdowns in a message", () => {
  test("are decoded as they were encoded, to a percent", () => {
    const slowdowns = [
      { id: "s1", born: BORN, slowdown: 2.5, hosts: 1 },
      { id: "s2", born: undefined, slowdown: 0.4, hosts: 7 },
    ];
    const encoded: unknown = JSON.parse(
      JSON.stringify(encodedSlowdowns(slowdowns)),
    );
    expect(isSlowdowns(encoded) && slowdownsOf(encoded)).toEqual(slowdowns);
    const inexact = [{ id: "s1", born: BORN, slowdown: 1.2345, hosts: 1 }];
    expect(slowdownsOf(encodedSlowdowns(inexact))[0]?.slowdown).toBe(1.23);
  });

  test("are left out when there are none", () => {
    expect(encodedSlowdowns([])).toBeUndefined();
  });

  test("are none in a message of a host of an earlier version", () => {
    expect(isSlowdowns(undefined) && slowdownsOf(undefined)).toEqual([]);
  });

  // A message has room for other updates, and members send about two a second.
  test("take at most 400 bytes of a compressed message", () => {
    const slowdowns = Array.from({ length: 32 }, (_, index) => ({
      id: `engine-${100 + 7 * index}`,
      born: BORN + 7_919 * index,
      slowdown: 1.25 + index / 9,
      hosts: 1,
    }));
    const text = JSON.stringify(encodedSlowdowns(slowdowns));
    const compressed = deflateRawSync(text, { level: 1, memLevel: 5 });
    expect(compressed.length).toBeLessThanOrEqual(400);
  });
});
