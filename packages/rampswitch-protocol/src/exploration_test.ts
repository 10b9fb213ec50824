// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import {
  DEFAULT_BOUNDS,
  explore,
  type ExplorationBounds,
} from "./exploration.ts";
import { SLOT_RULES, type SlotRules } from "./slot_rules.ts";

const ONE_KEY = {
  ...DEFAULT_BOUNDS,
  keys: 1,
  withdrawals: 0,
  handovers: 0,
};
const NO_DEATHS = { ...ONE_KEY, deaths: 0, takeovers: 0 };

interface Mutation {
  readonly name: string;
  readonly rules: Partial<SlotRules>;
  readonly bounds: ExplorationBounds;
}

const RULE_MUTATIONS: readonly Mutation[] = [
  {
    name: "a backup that ignores epochs",
    rules: { acceptsEpoch: () => true },
    bounds: ONE_KEY,
  },
  {
    name: "a third host that takes over without proof",
    rules: { canTakeOver: () => true },
    bounds: ONE_KEY,
  },
  {
    name: "a third host that accepts keys older than its records",
    rules: { coversKey: () => true },
    bounds: ONE_KEY,
  },
  {
    name: "a primary that does not wait for the learner's answer",
    rules: {
      holders: (entry) => (entry.backup === undefined ? [] : [entry.backup]),
    },
    bounds: { ...NO_DEATHS, promotions: 1 },
  },
  {
    name: "a primary that retains claims of a former tenure",
    rules: {
      retainsClaims: () => true,
      acceptsRecord: (known) => known === undefined,
      answerClaim: () => "held",
    },
    bounds: NO_DEATHS,
  },
];

describe("the slot protocol", () => {
  test("runs no key twice in the first 60,000 states of the default bounds", () => {
    const report = explore({ ...DEFAULT_BOUNDS, states: 60_000 });
    expect(report.violation).toBeUndefined();
    expect(report.statesExplored).toBe(60_000);
  });

  test("runs a key at most once in every state without crashes", () => {
    const report = explore({ ...NO_DEATHS, promotions: 1, handovers: 1 });
    expect(report.violation).toBeUndefined();
    expect(report.complete).toBe(true);
  });
});

describe("the exploration finds a second execution with", () => {
  test.each(RULE_MUTATIONS)("$name", ({ rules, bounds }) => {
    const report = explore(bounds, { ...SLOT_RULES, ...rules });
    expect(report.violation).toBeDefined();
  });
});
