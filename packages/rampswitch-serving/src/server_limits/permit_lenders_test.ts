// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import fc from "fast-check";
import { TurnLenders } from "./permit_lenders.ts";

const PACE = { silence: 700, interval: 250 };
const SERVICE = "models";
const NAMES = ["a", "b", "c", "d"];

/** Time after which a change of the holder counts, generously, in milliseconds. */
const SETTLED_MILLISECONDS = 1_300;

interface Fleet {
  readonly hosts: ReadonlyMap<string, TurnLenders>;
  now: number;
}

function fleet(): Fleet {
  const hosts = new Map(NAMES.map((name) => [name, new TurnLenders(name)]));
  hosts.forEach((lenders, name) =>
    NAMES.filter((other) => other !== name).forEach((other) =>
      lenders.expected(other, 0),
    ),
  );
  return { hosts, now: 0 };
}

/** One round of the news: each host sees some others, and is heard by some. */
function round(
  state: Fleet,
  seen: (from: string, to: string) => boolean = () => true,
): void {
  state.now += PACE.interval;
  state.hosts.forEach((lenders, name) => {
    const holders = NAMES.filter(
      (other) => other === name || seen(other, name),
    );
    lenders.look({ services: [SERVICE], holders }, state.now, PACE);
  });
  state.hosts.forEach(({ lentTo }, from) =>
    state.hosts.forEach((lenders, to) => {
      if (from === to || !seen(from, to)) return;
      const told = { lentTo, stopping: false };
      lenders.heard(from, told, { at: state.now, pace: PACE });
    }),
  );
}

function rounds(
  state: Fleet,
  count: number,
  seen?: (from: string, to: string) => boolean,
): void {
  Array.from({ length: count }).forEach(() => round(state, seen));
}

/** The hosts that lend to each host. */
function loans(state: Fleet): readonly string[] {
  return [...state.hosts.values()].flatMap((lenders) => [
    ...lenders.owners(SERVICE, state.now, PACE).lenders,
  ]);
}

describe("hosts that lend their slots", () => {
  test("lend them all to one host, once they surely lend to no other", () => {
    const state = fleet();
    rounds(state, 2);
    expect(loans(state)).toEqual([]);
    rounds(state, SETTLED_MILLISECONDS / PACE.interval);
    expect(loans(state).toSorted()).toEqual(NAMES);
    const holders = [...state.hosts.values()].map((one) => one.holder(SERVICE));
    expect(new Set(holders).size).toBe(1);
  });

  test("never lend to two hosts, whoever hears whom", () => {
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
            const seen = (from: string, to: string) =>
              cut[NAMES.indexOf(from) * 4 + NAMES.indexOf(to)] === true;
            Array.from({ length: lengths[index] ?? 1 }).forEach(() => {
              round(state, seen);
              const lent = loans(state);
              expect(lent).toHaveLength(new Set(lent).size);
            });
          });
        },
      ),
    );
  });

  test("lend to another one when the first is gone", () => {
    const state = fleet();
    rounds(state, 8);
    const first = state.hosts.get("a")?.holder(SERVICE) ?? "";
    const lives = (from: string, to: string) => from !== first && to !== first;
    rounds(state, 12, lives);
    const second = [...state.hosts]
      .filter(([name]) => name !== first)
      .map(([, one]) => one.holder(SERVICE));
    expect(new Set(second).size).toBe(1);
    expect(second[0]).not.toBe(first);
  });

  test("lend nothing to a host that was paused, until they say so again", () => {
    const state = fleet();
    rounds(state, 8);
    state.now += 5_000;
    expect(loans(state)).toEqual([]);
    round(state);
    expect(loans(state)).toEqual([]);
    rounds(state, 8);
    expect(loans(state).toSorted()).toEqual(NAMES);
  });

  test("own no slots once they stop", () => {
    const state = fleet();
    rounds(state, 8);
    const [, holder] =
      [...state.hosts].find(([name, one]) => one.holder(SERVICE) === name) ??
      [];
    const stopping = NAMES.find((name) => holder?.holder(SERVICE) !== name);
    holder?.heard(
      stopping ?? "",
      { lentTo: {}, stopping: true },
      { at: state.now, pace: PACE },
    );
    const { hosts, lenders } = holder?.owners(SERVICE, state.now, PACE) ?? {};
    expect(hosts).not.toContain(stopping);
    expect(lenders?.size).toBe(NAMES.length - 1);
  });
});
