// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import fc from "fast-check";
import { PermitLenders } from "./permit_lenders.ts";

const INTERVALS = { silence: 700, interval: 250 };
const SERVICE = "models";
const NAMES = ["a", "b", "c", "d"];

/**
 * Upper estimate of the time after which a new holder can use loans, in
 * milliseconds.
 */
const SETTLED_MILLISECONDS = 1_300;

interface Fleet {
  readonly hosts: ReadonlyMap<string, PermitLenders>;
  now: number;
}

function fleet(): Fleet {
  const hosts = new Map(NAMES.map((name) => [name, new PermitLenders(name)]));
  hosts.forEach((lenders, name) =>
    NAMES.filter((other) => other !== name).forEach((other) =>
      lenders.expectHost(other, 0),
    ),
  );
  return { hosts, now: 0 };
}

/**
 * Runs one gossip interval. `reaches` tells whether the updates of one host reach
 * another.
 */
function round(
  state: Fleet,
  reaches: (from: string, to: string) => boolean = () => true,
): void {
  state.now += INTERVALS.interval;
  state.hosts.forEach((lenders, name) => {
    const holders = NAMES.filter(
      (other) => other === name || reaches(other, name),
    );
    lenders.updateLoans({ services: [SERVICE], holders }, state.now, INTERVALS);
  });
  state.hosts.forEach(({ lentTo }, from) =>
    state.hosts.forEach((lenders, to) => {
      if (from === to || !reaches(from, to)) return;
      const update = { lentTo, stopping: false };
      lenders.receive(from, update, { at: state.now, pace: INTERVALS });
    }),
  );
}

function rounds(
  state: Fleet,
  count: number,
  reaches?: (from: string, to: string) => boolean,
): void {
  Array.from({ length: count }).forEach(() => round(state, reaches));
}

/** The lenders of all hosts, one entry for each loan. */
function loans(state: Fleet): readonly string[] {
  return [...state.hosts.values()].flatMap((lenders) => [
    ...lenders.owners(SERVICE, state.now, INTERVALS).lenders,
  ]);
}

describe("lenders of time slots", () => {
  test("all lend to one holder once loans to other holders have ended", () => {
    const state = fleet();
    rounds(state, 2);
    expect(loans(state)).toEqual([]);
    rounds(state, SETTLED_MILLISECONDS / INTERVALS.interval);
    expect(loans(state).toSorted()).toEqual(NAMES);
    const holders = [...state.hosts.values()].map((one) => one.holder(SERVICE));
    expect(new Set(holders).size).toBe(1);
  });

  test("never lend to two holders, whichever updates arrive", () => {
    fc.assert(
      fc.property(
        fc.array(fc.array(fc.boolean(), { minLength: 16, maxLength: 16 }), {
          maxLength: 12,
        }),
        fc.array(fc.integer({ min: 1, max: 9 }), {
          minLength: 12,
          maxLength: 12,
        }),
        (cuts, lengths) => {
          const state = fleet();
          rounds(state, 8);
          cuts.forEach((cut, index) => {
            const reaches = (from: string, to: string) =>
              cut[NAMES.indexOf(from) * 4 + NAMES.indexOf(to)] === true;
            Array.from({ length: lengths[index] ?? 1 }).forEach(() => {
              round(state, reaches);
              const lent = loans(state);
              expect(lent).toHaveLength(new Set(lent).size);
            });
          });
        },
      ),
    );
  });

  test("lend to another holder when the first one is gone", () => {
    const state = fleet();
    rounds(state, 8);
    const first = state.hosts.get("a")?.holder(SERVICE) ?? "";
    const isPresent = (from: string, to: string) =>
      from !== first && to !== first;
    rounds(state, 12, isPresent);
    const second = [...state.hosts]
      .filter(([name]) => name !== first)
      .map(([, one]) => one.holder(SERVICE));
    expect(new Set(second).size).toBe(1);
    expect(second[0]).not.toBe(first);
  });

  test("lend nothing to a holder that was paused until they report the loan again", () => {
    const state = fleet();
    rounds(state, 8);
    state.now += 5_000;
    expect(loans(state)).toEqual([]);
    round(state);
    expect(loans(state)).toEqual([]);
    rounds(state, 8);
    expect(loans(state).toSorted()).toEqual(NAMES);
  });

  test("own no time slots once they stop", () => {
    const state = fleet();
    rounds(state, 8);
    const [, holder] =
      [...state.hosts].find(([name, one]) => one.holder(SERVICE) === name) ??
      [];
    const stopping = NAMES.find((name) => holder?.holder(SERVICE) !== name);
    holder?.receive(
      stopping ?? "",
      { lentTo: {}, stopping: true },
      { at: state.now, pace: INTERVALS },
    );
    const { hosts, lenders } =
      holder?.owners(SERVICE, state.now, INTERVALS) ?? {};
    expect(hosts).not.toContain(stopping);
    expect(lenders?.size).toBe(NAMES.length - 1);
  });
});
