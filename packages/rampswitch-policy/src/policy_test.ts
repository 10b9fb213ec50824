// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import { inDoubt, refused } from "rampswitch-types";
import { seededRandom } from "rampswitch-utils";
import { Admission, type AdmissionRequest } from "./admission.ts";
import {
  INITIAL_CAPACITY_PLAN_STATE,
  planCapacity,
  type PlannedClass,
  type PlannedHost,
} from "./capacity_plan.ts";
import { planMigration } from "./migration_plan.ts";
import { PrefixIndex } from "./prefix_index.ts";
import { decideRetry, RetryBudget } from "./retry.ts";
import { isEjectionAllowed, ServerHealth } from "./server_health.ts";
import { ServerLoad } from "./server_load.ts";

function request(
  id: string,
  options: Partial<AdmissionRequest> = {},
): AdmissionRequest {
  return {
    id,
    workspace: "small",
    weight: 1,
    priority: 0,
    tokens: 10,
    arrivedAt: 0,
    deadline: 100_000,
    runMilliseconds: 10,
    background: false,
    ...options,
  };
}

/** Runs all queued requests one after the other and returns their order. */
function drain(admission: Admission, first: string): readonly string[] {
  const order: string[] = [];
  let running: readonly string[] = [first];
  for (let now = 1; running.length > 0; now += 1) {
    running.forEach((id) => admission.end(id, now));
    running = admission.next(now).map(({ id }) => id);
    order.push(...running);
  }
  return order;
}

describe("admission", () => {
  test("gives a small workspace its share next to a large one", () => {
    const admission = new Admission({ tokens: 10, queueRequests: 100 });
    admission.submit(request("first"), 0);
    Array.from({ length: 20 }, (_, index) =>
      admission.submit(request(`large-${index}`, { workspace: "large" }), 0),
    );
    Array.from({ length: 5 }, (_, index) =>
      admission.submit(request(`small-${index}`), 0),
    );
    const order = drain(admission, "first").slice(0, 10);
    const small = order.filter((id) => id.startsWith("small"));
    expect(small.length).toBeGreaterThanOrEqual(4);
  });

  test("refuses a request at once that cannot meet its deadline", () => {
    const admission = new Admission({ tokens: 10, queueRequests: 100 });
    admission.submit(request("a"), 0);
    admission.end("a", 1);
    admission.submit(request("b"), 2);
    admission.end("b", 1_002);
    admission.submit(request("c"), 1_003);
    Array.from({ length: 50 }, (_, index) =>
      admission.submit(request(`q-${index}`), 1_003),
    );
    const late = admission.submit(request("late", { deadline: 1_100 }), 1_003);
    expect(late).toMatchObject({
      kind: "refused",
      outcome: { kind: "refused_not_run", reason: "deadline_unreachable" },
    });
  });

  test("queues background work after chat until its slack is used up", () => {
    const admission = new Admission({ tokens: 10, queueRequests: 100 });
    admission.submit(request("first"), 0);
    const background = { background: true, runMilliseconds: 1_000 };
    admission.submit(
      request("settlement", { ...background, deadline: 9_000 }),
      0,
    );
    admission.submit(request("chat", { deadline: 20_000 }), 0);
    admission.end("first", 1);
    expect(admission.next(1).map(({ id }) => id)).toEqual(["chat"]);
    admission.submit(request("chat-2", { deadline: 20_000 }), 7_500);
    admission.end("chat", 7_500);
    expect(admission.next(7_500).map(({ id }) => id)).toEqual(["settlement"]);
  });

  test("limits the length of its queue", () => {
    const admission = new Admission({ tokens: 10, queueRequests: 2 });
    const kinds = ["a", "b", "c", "d"].map(
      (id) => admission.submit(request(id), 0).kind,
    );
    expect(kinds).toEqual(["admitted", "queued", "queued", "refused"]);
  });
});

describe("retries", () => {
  const random = seededRandom(1);

  test("never repeat a request that may have run and must not run twice", () => {
    const decision = decideRetry(
      {
        outcome: inDoubt("backend_lost", ""),
        mayHaveRunBefore: false,
        repeatable: false,
        attemptsWithoutProgress: 1,
        remainingMilliseconds: 1_000,
        reason: "backend_lost",
      },
      { budget: new RetryBudget(), random },
    );
    expect(decision.kind).toBe("give_up");
  });

  test("continue answers in progress although the budget is empty", () => {
    const budget = new RetryBudget();
    while (budget.spend());
    const attempt = {
      outcome: inDoubt("backend_lost", ""),
      mayHaveRunBefore: false,
      repeatable: true,
      attemptsWithoutProgress: 1,
      remainingMilliseconds: 1_000,
      reason: "backend_lost",
    } as const;
    const options = { budget, random };
    expect(decideRetry(attempt, options).kind).toBe("give_up");
    expect(decideRetry({ ...attempt, madeProgress: true }, options).kind).toBe(
      "retry",
    );
  });

  test("add about a tenth to the load when a whole service fails", () => {
    const budget = new RetryBudget();
    let sends = 0;
    Array.from({ length: 2_000 }, () => {
      budget.earn();
      for (let attempts = 1; ; attempts += 1) {
        sends += 1;
        const decision = decideRetry(
          {
            outcome: refused("connect_failed", ""),
            mayHaveRunBefore: false,
            repeatable: true,
            attemptsWithoutProgress: attempts,
            remainingMilliseconds: 1_000,
            reason: "connect_failed",
          },
          { budget, random },
        );
        if (decision.kind === "give_up") return;
      }
    });
    expect(sends / 2_000).toBeLessThan(1.12);
  });
});

describe("health", () => {
  function fail(health: ServerHealth, now: number, times = 5): void {
    Array.from({ length: times }, () => health.handle({ type: "failed", now }));
  }

  test("ejects, probes, starts slowly and recovers", () => {
    const health = new ServerHealth();
    fail(health, 0);
    expect(health.admits(1_000)).toBe(false);
    expect(health.admits(2_000)).toBe(true);
    health.sent();
    expect(health.admits(2_001)).toBe(false);
    health.handle({ type: "succeeded", now: 2_100 });
    expect(health.state).toBe("slowStart");
    expect(health.share(3_100)).toBeCloseTo(0.1);
    expect(health.admits(12_200)).toBe(true);
    expect(health.state).toBe("healthy");
  });

  test("ejects for longer after a failed probe", () => {
    const health = new ServerHealth();
    fail(health, 0);
    health.admits(2_000);
    fail(health, 2_000, 1);
    expect(health.admits(4_500)).toBe(false);
    expect(health.admits(6_000)).toBe(true);
  });

  test("lets at most half of a group be ejected", () => {
    expect(isEjectionAllowed(3, 6)).toBe(true);
    expect(isEjectionAllowed(4, 6)).toBe(false);
  });

  test("counts fast errors as load, not as free capacity", () => {
    const load = new ServerLoad();
    Array.from({ length: 10 }, () => {
      load.sent(1, 10);
      load.ended(true, 11);
    });
    expect(load.estimate(12, 1).requests).toBeGreaterThanOrEqual(10);
    expect(load.estimate(2_000, 1).requests).toBe(0);
  });
});

describe("load", () => {
  test("includes the requests that other hosts probably sent since a report", () => {
    const load = new ServerLoad();
    load.applyReport({
      running: 1,
      waiting: 0,
      promptTokensWaiting: 0,
      at: 100,
    });
    load.sent(5, 90);
    load.sent(5, 110);
    load.applyReport({
      running: 1,
      waiting: 0,
      promptTokensWaiting: 0,
      at: 105,
    });
    expect(load.estimate(120, 8).requests).toBe(9);
  });
});

describe("the prefix index", () => {
  test("finds the longest cached prefix and removes evicted blocks", () => {
    const index = new PrefixIndex(100);
    index.stored("a", ["1", "2", "3"]);
    index.stored("b", ["1"]);
    expect(index.matches(["1", "2", "3", "4"])[0]).toEqual({
      server: "a",
      blocks: 3,
    });
    index.evicted("a", "2");
    expect(index.matches(["1", "2", "3"])).toEqual(
      expect.arrayContaining([{ server: "a", blocks: 1 }]),
    );
    index.removeServer("a");
    expect(index.matches(["1"]).map(({ server }) => server)).toEqual(["b"]);
  });

  test("stays within its capacity", () => {
    const index = new PrefixIndex(10);
    index.stored(
      "a",
      Array.from({ length: 50 }, (_, block) => `${block}`),
    );
    expect(index.size).toBe(10);
  });
});

describe("a run on a host that is reclaimed", () => {
  const work = {
    remainingMilliseconds: 3_000,
    remainingTokens: 1_000,
    tokenMilliseconds: 10,
    repeatable: true,
    canMigrateCache: true,
  };

  test.each([
    ["migrates with its cache if time allows", {}, "move_cache"],
    [
      "resumes without its cache if not",
      { remainingMilliseconds: 1_000 },
      "resume",
    ],
    ["stays if it ends in time", { remainingTokens: 10 }, "finish"],
    ["stays if it must not run twice", { repeatable: false }, "finish"],
  ] as const)("%s", (_name, change, plan) => {
    expect(planMigration({ ...work, ...change })).toBe(plan);
  });
});

const HOST_CLASSES: readonly PlannedClass[] = ["a", "b", "c"].flatMap(
  (dataHall) => [
    {
      name: `spot-${dataHall}`,
      dataHall,
      dollarsPerHour: 0.4,
      reclaimable: true,
      tokensPerSecond: 100,
      refusedUntil: 0,
    },
    {
      name: `on-demand-${dataHall}`,
      dataHall,
      dollarsPerHour: 1.2,
      reclaimable: false,
      tokensPerSecond: 100,
      refusedUntil: 0,
    },
  ],
);

function hosts(
  halls: readonly string[],
  state: PlannedHost["state"] = "serving",
): readonly PlannedHost[] {
  return halls.map((dataHall, index) => ({
    name: `host-${index}`,
    hostClass: `spot-${dataHall}`,
    dataHall,
    state,
    load: 0,
    managed: true,
  }));
}

function plan(
  demand: number | undefined,
  planned: readonly PlannedHost[],
  options: {
    readonly classes?: readonly PlannedClass[];
    readonly now?: number;
    readonly plannerState?: typeof INITIAL_CAPACITY_PLAN_STATE;
  } = {},
) {
  return planCapacity(
    {
      now: options.now ?? 1_000_000,
      demand,
      hosts: planned,
      classes: options.classes ?? HOST_CLASSES,
      downloadsFree: 8,
    },
    options.plannerState ?? INITIAL_CAPACITY_PLAN_STATE,
  );
}

describe("capacity", () => {
  test("starts the cheapest hosts, in more than one data hall", () => {
    const { actions, missing } = plan(140, []);
    const halls = new Set(
      actions.map((action) => (action.kind === "start" ? action.dataHall : "")),
    );
    expect(missing).toBe(0);
    expect(halls.size).toBeGreaterThan(1);
    expect(JSON.stringify(actions)).not.toContain("on-demand");
  });

  test("uses another host class if starts are refused", () => {
    const classes = HOST_CLASSES.map((planned) =>
      planned.reclaimable ? { ...planned, refusedUntil: 2_000_000 } : planned,
    );
    const { actions } = plan(70, [], { classes });
    expect(JSON.stringify(actions)).toContain("on-demand");
  });

  test("keeps all hosts if the demand is not known", () => {
    expect(plan(undefined, hosts(["a", "b"])).actions).toEqual([]);
  });

  test("ends a spare host only in the fifth round that has one", () => {
    const planned = hosts(["a", "a", "b", "b", "c", "c"]);
    let plannerState = INITIAL_CAPACITY_PLAN_STATE;
    const ends = Array.from({ length: 5 }, () => {
      const round = plan(70, planned, { plannerState });
      plannerState = round.state;
      return round.actions.length;
    });
    expect(ends).toEqual([0, 0, 0, 0, 1]);
  });

  test("never ends a host that it does not manage", () => {
    const planned = hosts(["a", "a", "b", "b", "c", "c"]).map((host) => ({
      ...host,
      managed: false,
    }));
    const plannerState = { ...INITIAL_CAPACITY_PLAN_STATE, spareRounds: 50 };
    expect(plan(70, planned, { plannerState }).actions).toEqual([]);
  });

  test("does not end hosts during or soon after several reclaims", () => {
    const wave = [
      ...hosts(["a", "a", "b", "b", "c", "c"]),
      ...hosts(["a"], "leaving"),
    ];
    let { state: plannerState } = plan(70, wave);
    const ends = Array.from({ length: 8 }, (_, round) => {
      const next = plan(70, hosts(["a", "a", "b", "b", "c", "c"]), {
        plannerState,
        now: 1_000_000 + round * 2_000,
      });
      plannerState = next.state;
      return next.actions.length;
    });
    expect(ends).toEqual(Array(8).fill(0));
  });
});
