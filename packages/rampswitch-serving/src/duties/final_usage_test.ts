// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import fc from "fast-check";
import {
  finalUsageFromReports,
  isFinal,
  NO_FINAL_USAGE,
  type WindowRange,
  mergeWindows,
} from "./final_usage.ts";

/** Ranges of windows that were added one after another. */
const additions = fc.array(
  fc
    .tuple(fc.nat(2_000), fc.nat(4))
    .map(([first, more]): WindowRange => [first, first + more]),
  { maxLength: 120 },
);

function isFinalIn(windows: readonly WindowRange[], window: number): boolean {
  return isFinal({ ...NO_FINAL_USAGE, windows }, window);
}

function addAll(ranges: readonly WindowRange[]): readonly WindowRange[] {
  return ranges.reduce<readonly WindowRange[]>(
    (known, range) => mergeWindows(known, [range]),
    [],
  );
}

describe("final windows", () => {
  test("stay final, whichever windows are added in whichever order", () => {
    fc.assert(
      fc.property(additions, (ranges) => {
        const windows = addAll(ranges);
        ranges.forEach(([first, last]) => {
          expect(isFinalIn(windows, first)).toBe(true);
          expect(isFinalIn(windows, last)).toBe(true);
        });
      }),
    );
  });

  test("need few ranges, and do not include windows above the highest", () => {
    fc.assert(
      fc.property(additions, (ranges) => {
        const windows = addAll(ranges);
        expect(windows.length).toBeLessThanOrEqual(32);
        const highest = Math.max(-1, ...ranges.map(([, last]) => last));
        expect(isFinalIn(windows, highest + 1)).toBe(false);
        windows.slice(1).forEach(([first], index) => {
          expect(first).toBeGreaterThan((windows[index]?.[1] ?? 0) + 1);
        });
      }),
    );
  });

  test("that are far ahead do not make the windows between final", () => {
    const windows = addAll([
      [100, 105],
      [820, 820],
    ]);
    expect([106, 400, 819].map((one) => isFinalIn(windows, one))).toEqual([
      false,
      false,
      false,
    ]);
  });

  test("are all up to the newest report in a lease of an earlier version", () => {
    const final = finalUsageFromReports({ 98: {}, 100: { w: 3 } });
    expect([7, 98, 99, 100, 101].map((one) => isFinal(final, one))).toEqual([
      true,
      true,
      true,
      true,
      false,
    ]);
    expect(finalUsageFromReports({})).toEqual(NO_FINAL_USAGE);
  });
});
