// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import fc from "fast-check";
import {
  EMPTY_ENTRY,
  retainedUntil,
  isQuarantined,
  mergeEntries,
  type QuarantineEntry,
  addsInformation,
  nextTrialAt,
  withTrial,
} from "./quarantine_entry.ts";

const SECOND = 1_000;

/** Times that differ by more than the tolerance for one event. */
const time = fc.integer({ min: 1, max: 60 }).map((count) => count * SECOND);

/** Each incarnation has one end, whichever host reports it. */
const losses = fc
  .uniqueArray(fc.integer({ min: 1, max: 7 }), { maxLength: 7 })
  .map((ends) => new Map(ends.map((end) => [`s${end}`, end * SECOND])));

const entries = fc.record({
  lostIncarnations: losses,
  lastTrialAt: fc.option(time, { nil: -Infinity }),
  trials: fc.integer({ min: 0, max: 3 }),
  completedAt: fc.option(time, { nil: -Infinity }),
});

function mergeAll(all: readonly QuarantineEntry[]): QuarantineEntry {
  return all.reduce(mergeEntries, EMPTY_ENTRY);
}

function lossesAt(...times: readonly number[]): QuarantineEntry {
  return {
    ...EMPTY_ENTRY,
    lostIncarnations: new Map(times.map((at, index) => [`s${index}`, at])),
  };
}

describe("entries of one request", () => {
  test("merge to the same one in any order and however often they are received", () => {
    const reported = fc.array(entries, { minLength: 1, maxLength: 6 });
    const shuffles = reported.chain((all) =>
      fc.tuple(
        fc.constant(all),
        fc.shuffledSubarray([...all, ...all], {
          minLength: 2 * all.length,
        }),
      ),
    );
    fc.assert(
      fc.property(shuffles, ([once, again]) => {
        // Reported entries are normalized: a request that completed has no trials.
        const normal = (all: readonly QuarantineEntry[]) =>
          mergeAll(all.map((one) => mergeEntries(EMPTY_ENTRY, one)));
        expect(normal(again)).toEqual(normal(once));
      }),
      { seed: 34, numRuns: 2_000 },
    );
  });

  test("add nothing once they are merged", () => {
    fc.assert(
      fc.property(entries, entries, (left, right) => {
        const both = mergeEntries(left, right);
        expect(addsInformation(mergeEntries(both, right), both)).toBe(false);
      }),
      { seed: 34, numRuns: 1_000 },
    );
  });

  test("do not treat a time that is reported back as a newer one", () => {
    const known = { ...EMPTY_ENTRY, lastTrialAt: 5_000, completedAt: 4_000 };
    const echo = { ...EMPTY_ENTRY, lastTrialAt: 5_120, completedAt: 4_150 };
    expect(mergeEntries(known, echo)).toEqual(known);
  });

  test("count incarnations and not the reports of their losses", () => {
    const once = lossesAt(1_000);
    const reportedLater = lossesAt(1_140);
    expect(mergeEntries(once, reportedLater).lostIncarnations.size).toBe(1);
    expect(isQuarantined(mergeEntries(once, reportedLater))).toBe(false);
  });

  test("discard the losses before a completion", () => {
    const lost = lossesAt(1_000, 2_000, 3_000);
    const freed = mergeEntries(lost, { ...EMPTY_ENTRY, completedAt: 2_500 });
    expect([...freed.lostIncarnations.keys()]).toEqual(["s2"]);
    expect(nextTrialAt(freed)).toBe(-Infinity);
  });
});

describe("the next trial", () => {
  test.each([
    ["one loss", lossesAt(1_000), -Infinity],
    ["two losses", lossesAt(1_000, 1_100), -Infinity],
    ["three losses", lossesAt(1_000, 1_100, 1_200), 5_200],
    ["eight at once", lossesAt(...Array<number>(8).fill(1_000)), 5_000],
  ])("is due after %s", (_name, entry, dueAt) => {
    expect(nextTrialAt(entry)).toBe(dueAt);
  });

  test("is due after ten times the delay for each further trial", () => {
    const first = withTrial(lossesAt(0, 0, 0), 5 * SECOND);
    expect(nextTrialAt(first)).toBe(45 * SECOND);
    const second = withTrial(first, 50 * SECOND);
    expect(nextTrialAt(second)).toBe(450 * SECOND);
    expect(nextTrialAt(withTrial(second, 500 * SECOND))).toBe(900 * SECOND);
  });

  test("waits for a trial without a known outcome", () => {
    const first = withTrial(lossesAt(0, 0, 0), 2 * SECOND);
    expect(nextTrialAt(first)).toBe(42 * SECOND);
  });

  test("is due before the entry of a request is removed", () => {
    fc.assert(
      fc.property(entries, (entry) => {
        const known = mergeEntries(EMPTY_ENTRY, entry);
        if (!isQuarantined(known)) return;
        expect(retainedUntil(known)).toBeGreaterThan(nextTrialAt(known));
      }),
      { seed: 34, numRuns: 1_000 },
    );
  });
});
