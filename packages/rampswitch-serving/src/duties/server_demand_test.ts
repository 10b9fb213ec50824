// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import fc from "fast-check";
import {
  busyEnginesFor,
  DemandHistory,
  type DemandInputs,
  serversForRunning,
  type ServerDemand,
} from "./server_demand.ts";

const ENGINE = { slots: 64, memoryTokens: 559_203, migratable: true };
const TIMES = { startMilliseconds: 4_000 };

/** Interval between two plans, in milliseconds. */
const STEP = 250;

/**
 * 21 long requests a second (12,000 tokens of prompt, 385 tokens out at 6 ms, 0.28 s of
 * prefill) and 44 short ones (1,800 tokens of prompt, 0.25 s), on engines that read 43
 * tokens a millisecond.
 */
const MIX: DemandInputs = {
  running: 21 * (385 * 0.006 + 0.28) + 44 * 0.25,
  load: {
    readTokensPerSecond: 21 * 12_000 + 44 * 1_800,
    readingRate: 43,
  },
  refusedWork: 0,
  memoryTokens: 10_500,
  listedServers: 48,
};

/** Returns the demand at each step, by the inputs of each time. */
function replay(
  until: number,
  inputsAt: (now: number) => DemandInputs,
  engine = ENGINE,
): readonly (ServerDemand & { readonly at: number })[] {
  const history = new DemandHistory();
  return Array.from({ length: until / STEP + 1 }, (_, index) => {
    const at = index * STEP;
    const options = { ...TIMES, now: at };
    return { at, ...history.update(inputsAt(at), engine, options) };
  });
}

describe("demand of a steady mix", () => {
  test("follows from prefill where that is the scarcest", () => {
    const demand = replay(10_000, () => MIX).at(-1);
    // 7.7 engines read prompts all the time; 66 requests fill one by slots.
    expect(demand).toMatchObject({ need: "prefill", needed: 19, bridge: 11 });
  });

  test("counts slow periods of servers once", () => {
    // 15% of the time servers take 2.5 times as long. The running requests last longer
    // by the same factor, which is measured, and only the usual rate is reduced by it.
    const slowdown = 0.85 + 0.15 * 2.5;
    const slow = {
      ...MIX,
      running: MIX.running * slowdown,
      load: { ...MIX.load, readingRate: 43 / slowdown },
    };
    const usual = busyEnginesFor(MIX, ENGINE);
    const inSlow = busyEnginesFor(slow, ENGINE);
    expect(inSlow.prefill / usual.prefill).toBeCloseTo(slowdown);
    expect(inSlow.slots / usual.slots).toBeCloseTo(slowdown);
  });

  test("follows from slots or memory where those are the scarcest", () => {
    const running = { ...MIX, running: 1_000 };
    expect(
      replay(0, () => ({ ...running, memoryTokens: 2_000 }))[0]?.need,
    ).toBe("slots");
    expect(
      replay(0, () => ({ ...running, memoryTokens: 10_500 }))[0]?.need,
    ).toBe("memory");
  });
});

describe("demand in a burst of drafts by 2.5 for 10 s", () => {
  const burst = { from: 10_000, until: 20_000 };

  function burstOfDrafts(now: number): DemandInputs {
    const factor = now >= burst.from && now < burst.until ? 2.5 : 1;
    // The rate of prompt tokens is a mean over 6 s, as the meter gives it.
    const inBurst =
      Math.min(now, burst.until) - Math.max(now - 6_000, burst.from);
    const share = Math.max(0, Math.min(6_000, inBurst)) / 6_000;
    const drafts = 44 * 1_800 * (1 + 1.5 * share);
    return {
      ...MIX,
      running: MIX.running + 44 * 0.25 * (factor - 1),
      load: { ...MIX.load, readTokensPerSecond: 21 * 12_000 + drafts },
    };
  }

  test("rises at once for reclaimable servers, and after a server's start for others", () => {
    const demands = replay(40_000, burstOfDrafts);
    const usual = demands.find(({ at }) => at === 9_750);
    const at = (time: number) => demands.find((demand) => demand.at === time);
    expect(at(12_000)?.needed).toBeGreaterThan(usual?.needed ?? 0);
    demands
      .filter((demand) => demand.at > 4_000 && demand.at < burst.from + 4_000)
      .forEach((demand) => {
        expect(demand.bridge).toBe(usual?.bridge);
      });
    // Both are as before once the mean has passed the burst.
    expect(at(burst.until + 6_250)).toMatchObject({
      needed: usual?.needed,
      bridge: usual?.bridge,
    });
  });
});

describe("demand of refused work", () => {
  // Workspaces that send five times their usual load to 42 engines with 48 slots.
  const engine = { slots: 48, memoryTokens: 620_025, migratable: true };
  const served: DemandInputs = {
    running: 42 * 48 * 0.9,
    load: { readTokensPerSecond: 900_000, readingRate: 64.2 },
    refusedWork: 0,
    memoryTokens: 9_000,
    listedServers: 42,
  };

  function withLargeWorkspaces(
    workspaces: number,
    until: number,
  ): (now: number) => DemandInputs {
    // Each of 16 workspaces, three of them large, has a tenth of the load.
    const refusedWork = 1_000 * workspaces * 4 * 0.1 * served.running;
    return (now) =>
      now >= 10_000 && now < until ? { ...served, refusedWork } : served;
  }

  test.each([1, 2, 3])(
    "counts at once when %d large workspaces are refused for a server's start",
    (workspaces) => {
      const demands = replay(
        50_000,
        withLargeWorkspaces(workspaces, 30_000),
        engine,
      );
      const before = demands.find(({ at }) => at === 9_750);
      demands
        .filter(({ at }) => at >= 10_000 && at < 14_000)
        .forEach((demand) => {
          expect(demand.needed).toBe(before?.needed);
        });
      const lasting = demands.find(({ at }) => at === 14_000);
      expect(lasting?.need).toBe("refused_work");
      expect(lasting?.needed).toBeGreaterThan((before?.needed ?? 0) * 1.25);
      expect(lasting?.bridge).toBeGreaterThan(before?.bridge ?? 0);
      // It ends with the burst and the lag of the counts.
      expect(demands.find(({ at }) => at === 35_500)?.needed).toBe(
        before?.needed,
      );
    },
  );

  test("orders nothing for a shortage that is over when servers have started", () => {
    const demands = replay(30_000, withLargeWorkspaces(3, 13_500), engine);
    expect(new Set(demands.map(({ needed }) => needed)).size).toBe(1);
  });

  test("lasts while callers return in waves", () => {
    const steady = withLargeWorkspaces(2, 30_000);
    const waves = replay(
      14_000,
      (now) => (now % 1_000 < 500 ? steady(now) : served),
      engine,
    );
    expect(waves.at(-1)?.need).toBe("refused_work");
  });

  test("is bounded by 1.5 times the requests that ran lately", () => {
    const refusedWith = (refusedWork: number) =>
      replay(20_000, () => ({ ...served, refusedWork }), engine).at(-1);
    expect(refusedWith(1e15)?.refusedSlots).toBeCloseTo(1.5 * served.running);
    expect(refusedWith(Number.NaN)?.refusedSlots).toBe(0);
    expect(refusedWith(-5)?.refusedSlots).toBe(0);
  });

  test("counts when no server is left that runs anything", () => {
    const lost = { ...served, running: 0, listedServers: 0, refusedWork: 5e5 };
    const demands = replay(
      30_000,
      (now) => (now < 10_000 ? served : lost),
      engine,
    );
    // 500 slots of refused work and the prefill that went with as many requests.
    expect(demands.at(-1)).toMatchObject({ need: "refused_work" });
    expect(demands.at(-1)?.needed).toBeGreaterThan(500 / 48);
  });
});

describe("observed demand", () => {
  test("is not known before the first seconds of a holder", () => {
    const history = new DemandHistory();
    history.update(MIX, ENGINE, { ...TIMES, now: 1_000 });
    expect(history.isLoadKnown(2_900)).toBe(false);
    expect(history.isLoadKnown(3_000)).toBe(true);
    expect(history.mayGiveUp(4_000, 4_900)).toBe(false);
    expect(history.mayGiveUp(4_000, 5_000)).toBe(true);
  });

  test("needs no fewer servers than the running requests fill", () => {
    expect(serversForRunning({ running: 640, memoryTokens: 0 }, ENGINE)).toBe(
      14,
    );
    expect(serversForRunning({ running: 0, memoryTokens: 0 }, ENGINE)).toBe(0);
  });

  test("is finite, and its bridge within what is needed, with any counts", () => {
    const anyCount = fc.oneof(
      fc.double(),
      fc.constantFrom(0, -1, Number.NaN, Infinity, 1e300),
      fc.integer({ min: 0, max: 5_000 }),
    );
    fc.assert(
      fc.property(
        fc.array(
          fc.record({
            running: fc.integer({ min: 0, max: 20_000 }),
            tokens: anyCount,
            refusedWork: anyCount,
            memoryTokens: anyCount,
          }),
          { minLength: 1, maxLength: 30 },
        ),
        (steps) => {
          const history = new DemandHistory();
          steps.forEach(({ tokens, ...inputs }, index) => {
            const demand = history.update(
              {
                ...inputs,
                load: { readTokensPerSecond: tokens, readingRate: 43 },
                listedServers: 20,
              },
              ENGINE,
              { ...TIMES, now: index * STEP },
            );
            expect(demand.needed).toBeGreaterThanOrEqual(3);
            expect(demand.needed).not.toBeNaN();
            expect(demand.bridge).not.toBeNaN();
            expect(demand.refusedSlots).toBeLessThanOrEqual(30_000);
          });
        },
      ),
      { seed: 11 },
    );
  });
});
