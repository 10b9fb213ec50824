// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import {
  ManualClock,
  type Random,
  seededRandom,
  sleep,
} from "rampswitch-utils";
import { RELAYED_GOSSIP_TIMING } from "../membership/relay_plan.ts";
import type { Workspace } from "../model/configuration.ts";
import { ServingMetrics } from "../observation/mod.ts";
import { FleetAdmission } from "./fleet_admission.ts";
import type { LimitDecision, LimitRequest } from "./limit_request.ts";
import { WorkspaceLimits } from "./workspace_limits.ts";

const TOLERANCE = {
  slackTokens: 140_000,
  excessShare: 0.1,
  windowMilliseconds: 8_000,
};

const DATA_HALLS = 7;

/** Times within a round of updates at which requests arrive. */
const ARRIVALS_PER_ROUND = 4;

/** Mean size in tokens, share of all requests and rank of each kind. */
const REQUEST_KINDS = [
  { tokens: 12_000, share: 0.2, priority: 1 },
  { tokens: 1_100, share: 0.2, priority: 0 },
  { tokens: 2_400, share: 0.35, priority: 2 },
  { tokens: 200, share: 0.25, priority: 2 },
];

const MEAN_TOKENS = REQUEST_KINDS.reduce(
  (sum, { tokens, share }) => sum + tokens * share,
  0,
);

const LARGEST_TOKENS = 54_000;

function workspaceOf(tokensPerSecond: number): Workspace {
  return {
    name: "shared",
    keys: [],
    priority: 0,
    tokensPerSecond,
    burstTokens: tokensPerSecond,
    tokensWithoutEstimate: 200,
    countsTokens: true,
  };
}

interface Host {
  readonly limits: WorkspaceLimits;
  readonly admission: FleetAdmission;
}

/** A simulated fleet whose members query the relay of their data hall. */
class QueryingFleet {
  readonly admitted: { readonly at: number; readonly tokens: number }[] = [];
  requestedTokens = 0;
  /**
   * Tokens that one bucket for all hosts, refilled without delay, would admit.
   */
  admittedByOneBucket = 0;
  readonly #workspace: Workspace;
  readonly #clock = new ManualClock(0);
  readonly #random: Random;
  readonly #count: number;
  #relays: readonly Host[];
  #members: readonly Host[];
  #incarnation = 0;
  #level: number;
  /**
   * Members' totals one round ago, which relays of other data halls still have.
   */
  #previousTotals: readonly Readonly<Record<string, number>>[] = [];

  constructor(members: number, tokensPerSecond: number, seed: number) {
    this.#count = members;
    this.#random = seededRandom(seed);
    this.#workspace = workspaceOf(tokensPerSecond);
    this.#relays = this.#startHosts(DATA_HALLS);
    this.#members = this.#startHosts(members);
    this.#level = this.#fullBucket;
  }

  /** Tokens that may be admitted in a window, with the tolerance. */
  get allowed(): number {
    const { tokensPerSecond, burstTokens } = this.#workspace;
    return (
      (8 * tokensPerSecond + burstTokens) * (1 + TOLERANCE.excessShare) +
      TOLERANCE.slackTokens
    );
  }

  get #fullBucket(): number {
    return this.allowed - 8 * this.#workspace.tokensPerSecond;
  }

  get admittedTokens(): number {
    return this.admitted.reduce((sum, { tokens }) => sum + tokens, 0);
  }

  /** Maximum of tokens admitted in any window of eight seconds. */
  get maximumWindowTokens(): number {
    return this.admitted.reduce((maximum, { at }) => {
      const within = this.admitted.filter(
        (other) => other.at >= at && other.at < at + 8_000,
      );
      return Math.max(
        maximum,
        within.reduce((sum, { tokens }) => sum + tokens, 0),
      );
    }, 0);
  }

  killAll(): void {
    this.#incarnation += 1;
    this.#relays = this.#startHosts(this.#relays.length);
    this.#members = this.#startHosts(this.#members.length);
    this.#previousTotals = [];
  }

  /**
   * Simulates one round of updates; `load` is demand as a multiple of the
   * limit.
   */
  async round(load: number): Promise<void> {
    const members = this.#members.map(({ limits }) => limits.admittedTotals());
    const relays = this.#relays.map(({ limits }) => limits.admittedTotals());
    const pause = RELAYED_GOSSIP_TIMING.interval / ARRIVALS_PER_ROUND;
    for (let arrival = 0; arrival < ARRIVALS_PER_ROUND; arrival += 1) {
      await this.#admitArrivals(load, pause);
      this.#clock.advance(pause);
    }
    this.#relays.forEach((relay, hall) =>
      this.#receiveMemberTotals(relay, hall, members),
    );
    this.#relays.forEach((relay, hall) =>
      relays.forEach((totals, other) => {
        if (other !== hall)
          this.#receiveTotals(relay, `relay-${other}`, totals);
      }),
    );
    this.#members.forEach(({ limits }, index) =>
      this.#followRelay(limits, index, members[index] ?? {}),
    );
    this.#previousTotals = members;
  }

  async #admitArrivals(load: number, milliseconds: number): Promise<void> {
    const { tokensPerSecond } = this.#workspace;
    const refill = (tokensPerSecond * milliseconds) / 1_000;
    this.#level = Math.min(this.#fullBucket, this.#level + refill);
    const mean = (load * refill) / MEAN_TOKENS;
    const count = Math.floor(mean + this.#random.next());
    for (let request = 0; request < count; request += 1) await this.#admitOne();
  }

  async #admitOne(): Promise<void> {
    const request = this.#drawRequest();
    // Balancers spread callers unevenly: some hosts receive many of them.
    const host = this.#random.next() * this.#random.next() * this.#count;
    const member = this.#members[Math.floor(host)];
    const decision = await member?.admission.admit(request);
    this.requestedTokens += request.tokens;
    if (this.#level >= request.tokens) {
      this.#level -= request.tokens;
      this.admittedByOneBucket += request.tokens;
    }
    if (decision?.kind !== "admitted") return;
    this.admitted.push({ at: this.#clock.now(), tokens: request.tokens });
  }

  #drawRequest(): LimitRequest {
    let remainingShare = this.#random.next();
    const kind =
      REQUEST_KINDS.find(({ share }) => {
        remainingShare -= share;
        return remainingShare < 0;
      }) ?? REQUEST_KINDS[0];
    const size = (kind?.tokens ?? 0) * (0.3 + 1.4 * this.#random.next());
    const tokens = Math.min(LARGEST_TOKENS, Math.round(size));
    const priority = kind?.priority ?? 0;
    return { workspace: this.#workspace.name, tokens, priority };
  }

  #receiveMemberTotals(
    relay: Host,
    hall: number,
    members: readonly Readonly<Record<string, number>>[],
  ): void {
    members.forEach((totals, index) => {
      const isSameDataHall = index % DATA_HALLS === hall;
      const received = isSameDataHall ? totals : this.#previousTotals[index];
      if (received !== undefined)
        this.#receiveTotals(relay, `member-${index}`, received);
    });
  }

  #receiveTotals(
    relay: Host,
    from: string,
    totals: Readonly<Record<string, number>>,
  ): void {
    relay.limits.receiveUpdate(
      from,
      {
        incarnation: String(this.#incarnation),
        totals,
        levels: {},
        stopping: false,
      },
      this.#clock.now(),
    );
  }

  #followRelay(
    limits: WorkspaceLimits,
    index: number,
    acknowledged: Readonly<Record<string, number>>,
  ): void {
    const now = this.#clock.now();
    const relay = this.#relays[index % DATA_HALLS]?.limits;
    if (relay === undefined) return;
    limits.followRelay(
      {
        levels: relay.hasFleetLevels(now) ? relay.levels(now) : {},
        hosts: this.#count + DATA_HALLS,
        silentShare: relay.silentShare(now),
        acknowledged,
      },
      now,
    );
  }

  #startHosts(count: number): readonly Host[] {
    return Array.from({ length: count }, (_, index) => {
      const limits = new WorkspaceLimits(TOLERANCE, RELAYED_GOSSIP_TIMING, {
        random: this.#random,
      });
      limits.configure([this.#workspace], this.#clock.now());
      limits.markHostsListed();
      const names = [
        ...Array.from({ length: DATA_HALLS }, (_, hall) => `relay-${hall}`),
        ...Array.from({ length: this.#count }, (_, at) => `member-${at}`),
      ];
      names.forEach((name) => limits.addExpectedPeer(name, this.#clock.now()));
      const isRelay = count === DATA_HALLS;
      const admission = new FleetAdmission({
        clock: this.#clock,
        limits,
        metrics: new ServingMetrics(),
        hasRelays: () => !isRelay,
        deciders: () => (isRelay ? DATA_HALLS : undefined),
        queryRelay: (request) =>
          Promise.resolve(
            this.#relays[index % DATA_HALLS]?.admission.decide(request),
          ),
      });
      return { limits, admission };
    });
  }
}

/** Rounds before the first requests arrive. */
const STARTING_ROUNDS = 25;

async function simulateLoads(
  fleet: QueryingFleet,
  loads: readonly number[],
): Promise<QueryingFleet> {
  await Array.from({ length: STARTING_ROUNDS }, () => 0)
    .concat(loads)
    .reduce(
      (before, load) => before.then(() => fleet.round(load)),
      Promise.resolve(),
    );
  return fleet;
}

function repeatLoad(count: number, load: number): readonly number[] {
  return Array.from({ length: count }, () => load);
}

const SEEDS = [1, 2];

/** A limit that a host which has just started has no ample headroom of. */
const LIMITED = workspaceOf(36_000);

/** Time until a relay answers, in milliseconds. */
const RELAY_ANSWER_MILLISECONDS = 2;

/** A member of a large fleet whose relay is a stand-in. */
function memberOf(
  workspaces: readonly Workspace[],
  queryRelay: (
    request: LimitRequest,
    clock: ManualClock,
  ) => Promise<LimitDecision | undefined>,
): Host & { readonly clock: ManualClock } {
  const clock = new ManualClock(0);
  const limits = new WorkspaceLimits(TOLERANCE, RELAYED_GOSSIP_TIMING, {
    random: seededRandom(1),
  });
  limits.configure(workspaces, clock.now());
  const admission = new FleetAdmission({
    clock,
    limits,
    metrics: new ServingMetrics(),
    hasRelays: () => true,
    deciders: () => undefined,
    queryRelay: (request) => queryRelay(request, clock),
  });
  return { admission, limits, clock };
}

async function advanceEachMillisecond(
  clock: ManualClock,
  milliseconds: number,
): Promise<void> {
  for (let passed = 0; passed < milliseconds; passed += 1) {
    clock.advance(1);
    await new Promise(setImmediate);
  }
}

describe("limits about which members of a large fleet query relays", () => {
  test.each([
    [70, 0.55, 0.995],
    [70, 0.8, 0.975],
    [188, 0.55, 0.995],
    [188, 0.8, 0.975],
  ])(
    "with %d hosts and %d times the limit, admit %d of what one bucket would",
    async (hosts, load, minimum) => {
      const fleets = await Promise.all(
        SEEDS.map((seed) =>
          simulateLoads(
            new QueryingFleet(hosts, 36_000, seed),
            repeatLoad(100, load),
          ),
        ),
      );
      const shares = fleets.map(
        ({ admittedTokens, admittedByOneBucket }) =>
          admittedTokens / admittedByOneBucket,
      );
      const mean = shares.reduce((sum, one) => sum + one, 0) / shares.length;
      expect(mean).toBeGreaterThan(minimum);
    },
  );

  test.each([36_000, 100_000, 400_000])(
    "hold at %d tokens a second when a workspace sends 7.5 times its usual",
    async (tokensPerSecond) => {
      const loads = [
        ...repeatLoad(30, 0.55),
        ...repeatLoad(16, 4.1),
        ...repeatLoad(20, 1),
      ];
      const fleets = await Promise.all(
        SEEDS.map((seed) =>
          simulateLoads(new QueryingFleet(188, tokensPerSecond, seed), loads),
        ),
      );
      fleets.forEach(({ maximumWindowTokens, allowed }) =>
        expect(maximumWindowTokens).toBeLessThanOrEqual(allowed),
      );
    },
  );

  test.each([36_000, 400_000])(
    "hold at %d tokens a second when all hosts are killed twice",
    async (tokensPerSecond) => {
      const fleet = new QueryingFleet(188, tokensPerSecond, 3);
      for (let round = 0; round < 50; round += 1) {
        if (round === 12 || round === 20) fleet.killAll();
        await fleet.round(4.4);
      }
      expect(fleet.maximumWindowTokens).toBeLessThanOrEqual(fleet.allowed);
    },
  );

  test("are decided by the host itself if no relay answers", async () => {
    const { admission, limits } = memberOf([], () =>
      Promise.resolve(undefined),
    );
    const request = { workspace: "unlimited", tokens: 10, priority: 0 };
    expect((await admission.admit(request)).kind).toBe("admitted");
    expect(limits.admittedTotals()).toEqual({ unlimited: 10 });
  });

  test("are not queried each millisecond for a request that waits for its limit", async () => {
    const queriedAt: number[] = [];
    const { admission, clock } = memberOf([LIMITED], async (_, relayClock) => {
      queriedAt.push(relayClock.now());
      await sleep(relayClock, RELAY_ANSWER_MILLISECONDS);
      return { kind: "over_limit", retryAfterMilliseconds: 1 };
    });
    const request = { workspace: LIMITED.name, tokens: 10, priority: 0 };
    const decidedAt = admission.admitSoon(request).then(() => clock.now());
    await advanceEachMillisecond(clock, 2_000);
    expect(queriedAt.length).toBeGreaterThan(10);
    expect(queriedAt.length).toBeLessThan(25);
    expect(await decidedAt).toBeLessThan(1_200);
  });
});
