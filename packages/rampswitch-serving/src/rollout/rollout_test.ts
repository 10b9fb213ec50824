// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import fc from "fast-check";
import { Rollout, type RolloutUpdate, type RolloutView } from "./rollout.ts";
import type { Evaluator, VersionFault } from "./version_evaluator.ts";

const SPEC = {
  service: "models",
  toVersion: "v2",
  durationMilliseconds: 30_000,
};
const INCARNATION = "host-2/a";

interface EvaluatorState {
  fault: VersionFault | undefined;
  allows: boolean;
}

function rolloutOf(
  state: EvaluatorState,
  baseline: readonly string[] = ["v1"],
): Rollout {
  const evaluator: Evaluator = {
    observe: () => undefined,
    get fault() {
      return state.fault;
    },
    allows: () => state.allows,
  };
  return new Rollout({
    spec: SPEC,
    baseline,
    storeVersion: 5,
    remainingMilliseconds: SPEC.durationMilliseconds,
    terms: { share: 0.1, slack: 50 },
    slack: 4,
    stagger: 0,
    evaluator,
    now: 0,
  });
}

function viewOf(view: Partial<RolloutView>): RolloutView {
  return {
    now: 29_000,
    ready: { baseline: 4, target: 4 },
    peers: [INCARNATION],
    running: 0,
    ...view,
  };
}

function updateOf(update: Partial<RolloutUpdate>): RolloutUpdate {
  return {
    spec: SPEC,
    baseline: ["v1"],
    storeVersion: 5,
    remainingMilliseconds: 900,
    phase: "canary",
    senderProgress: { hasLeftBaseline: false, counts: {}, waiting: {} },
    ...update,
  };
}

const HAS_LEFT_BASELINE = updateOf({
  phase: "promoting",
  senderProgress: { hasLeftBaseline: true, counts: {}, waiting: {} },
});

const FAULT: VersionFault = {
  kind: "failed",
  route: undefined,
  evidence: 9,
  answers: 20,
  wrong: 9,
};

/** A roll-out in its promotion, with enough earlier sends to the baseline. */
function promoting(state: EvaluatorState): Rollout {
  const rollout = rolloutOf(state);
  Array.from({ length: 400 }).forEach(() =>
    rollout.sent({ arm: "baseline", route: "r", server: "s", sentAt: 0 }),
  );
  rollout.dueState(viewOf({ now: 28_000 }));
  expect(rollout.phase).toBe("promoting");
  return rollout;
}

describe("roll-out on the duty holder", () => {
  test("stores the running state once", () => {
    const rollout = rolloutOf({ fault: undefined, allows: false });
    expect(rollout.dueState(viewOf({ now: 10 }))).toBe("running");
    rollout.stored("running", 6);
    expect(rollout.dueState(viewOf({ now: 20 }))).toBeUndefined();
  });

  test("promotes a good version shortly before the deadline, not earlier", () => {
    const rollout = rolloutOf({ fault: undefined, allows: true });
    rollout.dueState(viewOf({ now: 20_000 }));
    expect(rollout.phase).toBe("canary");
    rollout.dueState(viewOf({ now: 28_000 }));
    expect(rollout.phase).toBe("promoting");
  });

  test("waits while the target version has too few servers or is unevaluated", () => {
    const few = rolloutOf({ fault: undefined, allows: true });
    few.dueState(viewOf({ ready: { baseline: 4, target: 2 } }));
    expect(few.phase).toBe("canary");
    const unevaluated = rolloutOf({ fault: undefined, allows: false });
    unevaluated.dueState(viewOf({}));
    expect(unevaluated.phase).toBe("canary");
  });

  test("completes once all hosts have left the baseline", () => {
    const rollout = promoting({ fault: undefined, allows: true });
    expect(rollout.dueState(viewOf({ running: 1 }))).not.toBe("completed");
    expect(rollout.dueState(viewOf({}))).not.toBe("completed");
    rollout.receive(HAS_LEFT_BASELINE, INCARNATION);
    expect(rollout.dueState(viewOf({ running: 1 }))).not.toBe("completed");
    expect(
      rollout.dueState(viewOf({ peers: [INCARNATION, "new/1"] })),
    ).not.toBe("completed");
    expect(rollout.dueState(viewOf({}))).toBe("completed");
  });

  test("rolls back a version without servers, and one that stays unevaluated", () => {
    const withoutServers = rolloutOf({ fault: undefined, allows: false });
    const none = { baseline: 4, target: 0 };
    withoutServers.dueState(viewOf({ now: 29_000, ready: none }));
    expect(withoutServers.phase).toBe("canary");
    expect(withoutServers.dueState(viewOf({ now: 30_001, ready: none }))).toBe(
      "rolled_back",
    );
    expect(withoutServers.reason).toBe("no_servers");
    const unevaluated = rolloutOf({ fault: undefined, allows: false });
    expect(unevaluated.dueState(viewOf({ now: 60_001 }))).toBe("rolled_back");
    expect(unevaluated.reason).toBe("not_judged");
  });

  test("completes a spec for the only version that is there", () => {
    const rollout = rolloutOf({ fault: undefined, allows: false }, []);
    rollout.dueState(viewOf({ now: 0, peers: [] }));
    expect(rollout.reason).toBe("nothing_to_move");
    expect(rollout.arms({ isFirst: true, now: 0 }).first).toBe("target");
    expect(rollout.dueState(viewOf({ now: 30_000, peers: [] }))).toBe(
      "completed",
    );
  });
});

describe("roll-out on any host", () => {
  test("rolls back on its own evaluation, and on the report of any host", () => {
    const state: EvaluatorState = { fault: undefined, allows: true };
    const evaluated = rolloutOf(state);
    state.fault = FAULT;
    evaluated.evaluate(1);
    expect(evaluated.phase).toBe("rolled_back");
    expect(evaluated.arms({ isFirst: true, now: 1 })).toEqual({
      first: "baseline",
      fallback: undefined,
    });
    const informed = rolloutOf({ fault: undefined, allows: true });
    informed.receive(updateOf({ phase: "rolled_back" }), INCARNATION);
    expect(informed.phase).toBe("rolled_back");
  });

  test("sends a request that failed once to the baseline", () => {
    const rollout = rolloutOf({ fault: undefined, allows: true });
    expect(rollout.arms({ isFirst: true, now: 0 }).first).toBe("target");
    expect(rollout.arms({ isFirst: false, now: 0 })).toEqual({
      first: "baseline",
      fallback: undefined,
    });
  });

  test("does not return to a baseline that it reported to have left", () => {
    const rollout = promoting({ fault: undefined, allows: true });
    expect(rollout.hasLeftBaseline(28_900, 0)).toBe(true);
    const firsts = Array.from({ length: 200 }).map(() => {
      const { first, fallback } = rollout.arms({
        isFirst: true,
        now: 29_500,
      });
      if (first !== undefined) {
        rollout.sent({ arm: first, route: "r", server: "s", sentAt: 0 });
      }
      return [first, fallback];
    });
    expect(firsts.flat()).not.toContain("baseline");
    expect(rollout.budget.sentToTarget).toBeLessThanOrEqual(
      0.1 * rollout.budget.sent + 4,
    );
  });

  test("stays within its share, and stays rolled back, whatever it receives", () => {
    const step = fc.oneof(
      fc.constant({ kind: "send" as const }),
      fc.constant({ kind: "evaluate" as const }),
      fc.record({
        kind: fc.constant("receive" as const),
        phase: fc.constantFrom("canary", "promoting", "rolled_back"),
      }),
      fc.record({
        kind: fc.constant("store" as const),
        state: fc.constantFrom("running", "rolled_back"),
        version: fc.nat(20),
      }),
      fc.constant({ kind: "fault" as const }),
    );
    fc.assert(
      fc.property(
        fc.array(fc.tuple(step, fc.nat(400)), { maxLength: 120 }),
        (steps) => {
          const state: EvaluatorState = { fault: undefined, allows: true };
          const rollout = rolloutOf(state);
          let now = 0;
          let wasRolledBack = false;
          steps.forEach(([one, wait]) => {
            now = Math.min(now + wait, 29_999);
            if (one.kind === "send") {
              const { first } = rollout.arms({ isFirst: true, now });
              if (first !== undefined) {
                rollout.sent({
                  arm: first,
                  route: "r",
                  server: "s",
                  sentAt: now,
                });
              }
              expect(wasRolledBack && first === "target").toBe(false);
            } else if (one.kind === "receive") {
              rollout.receive(updateOf({ phase: one.phase }), INCARNATION);
            } else if (one.kind === "store") {
              rollout.stored(one.state, one.version);
            } else if (one.kind === "fault") state.fault = FAULT;
            else rollout.evaluate(now);
            wasRolledBack ||= rollout.phase === "rolled_back";
            expect(wasRolledBack).toBe(rollout.phase === "rolled_back");
            expect(rollout.budget.sentToTarget).toBeLessThanOrEqual(
              0.1 * rollout.budget.sent + 4,
            );
          });
        },
      ),
    );
  });
});
