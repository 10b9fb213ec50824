// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import { eraOf, positionOf, revisionOf } from "./store_position.ts";

describe("positions in the history of a store", () => {
  test("are greater in a later era, whatever their revisions", () => {
    expect(positionOf(2, 0)).toBeGreaterThan(positionOf(1, 4_000_000_000));
    expect(positionOf(1, 8)).toBeGreaterThan(positionOf(1, 7));
  });

  test("are exact over a million eras", () => {
    const position = positionOf(999_999, 4_294_967_295);
    expect(Number.isSafeInteger(position)).toBe(true);
    expect([eraOf(position), revisionOf(position)]).toEqual([
      999_999, 4_294_967_295,
    ]);
  });

  test("equal the revisions of a store without eras", () => {
    expect(positionOf(0, 17)).toBe(17);
  });
});
