// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Checks the resend budgets of all hosts together against the fleet's terms, as
 * the platform counts them: the resends that arrive in any window, against the
 * requests of that window, of the one before it or of the one half a window
 * earlier, whichever had most.
 *
 * @module
 */
import { describe, expect, test } from "@jest/globals";
import { ResendBudget, type ResendTerms } from "./resend_budget.ts";

const SERVICE = "service";
const WINDOW_MILLISECONDS = 10_000;
const STEP_MILLISECONDS = 50;
const END_MILLISECONDS = 45_000;

/** Maximum number of resends of one request, as in the relay. */
const MAXIMUM_RESENDS = 4;

/** Time in which the runs of a reclaimed data hall migrate, in milliseconds. */
const MIGRATION_WAVE_MILLISECONDS = 1_500;

/** Share of the running streams that a reclaimed data hall holds. */
const MIGRATION_WAVE_SHARE = 0.25;

/** Mean duration of a stream, in seconds. */
const MEAN_STREAM_SECONDS = 2;

/** Time until a killed host runs again, in milliseconds. */
const RESTART_MILLISECONDS = 2_000;

/** Hosts in a list that is read before most hosts have registered. */
const SHORT_LIST_HOSTS = 3;

/** Silence after which hosts no longer count a peer, in milliseconds. */
const PEER_TIMEOUT_MILLISECONDS = 10_000;

interface Fleet {
  readonly name: string;
  readonly hosts: number;
  /** Requests for the engines' service, of the whole fleet. */
  readonly requestsEachSecond: number;
  readonly allowance: number;
}

/** Sizes, rates and terms of the simulated fleets. */
const FLEETS: readonly Fleet[] = [
  { name: "base", hosts: 9, requestsEachSecond: 110, allowance: 58 },
  { name: "grown", hosts: 87, requestsEachSecond: 430, allowance: 214 },
  { name: "large", hosts: 195, requestsEachSecond: 423, allowance: 430 },
];

interface Span {
  readonly from: number;
  readonly to: number;
}

/** Faults in a fleet; times are in milliseconds of the simulation. */
interface FaultPlan {
  /** When the processes of all hosts start. */
  readonly startAt: number;
  /** Times at which a wave of migrations begins. */
  readonly waves: readonly number[];
  /** Span in which servers turn away half of the requests. */
  readonly rejecting: Span;
  /** Times at which all hosts are killed. */
  readonly kills: readonly number[];
  /** Time after a start for which a host has no list of hosts. */
  readonly withoutListMilliseconds: number;
  /** Time after a start for which the list of hosts holds only three. */
  readonly shortListMilliseconds: number;
  /** Span in which a third of the hosts is cut off from all others. */
  readonly cut: Span;
}

const NEVER: Span = { from: Infinity, to: Infinity };

const NO_FAULTS: FaultPlan = {
  startAt: -20_000,
  waves: [],
  rejecting: NEVER,
  kills: [],
  withoutListMilliseconds: 0,
  shortListMilliseconds: 0,
  cut: NEVER,
};

const REJECTING: Span = { from: 14_000, to: 40_000 };
const WAVES = [16_000, 21_000];
const KILLS = [17_000, 22_000];
const CUT: Span = { from: 2_000, to: 40_000 };
const LONG_CUT: Span = { from: -120_000, to: 40_000 };

const SCENARIOS: readonly (readonly [string, Partial<FaultPlan>])[] = [
  ["servers turn away half", { rejecting: REJECTING }],
  ["two waves of migrations", { waves: WAVES }],
  ["two waves, half turned away", { waves: WAVES, rejecting: REJECTING }],
  [
    "all killed twice, half turned away",
    { kills: KILLS, rejecting: REJECTING },
  ],
  [
    "started together, half turned away",
    {
      startAt: 0,
      withoutListMilliseconds: 2_000,
      rejecting: { from: 500, to: 20_000 },
    },
  ],
  ["a third cut off, half turned away", { cut: CUT, rejecting: REJECTING }],
  [
    "a third cut off for a long time, half turned away",
    { startAt: -140_000, cut: LONG_CUT, rejecting: REJECTING },
  ],
  [
    "started together with a short list, half turned away",
    {
      startAt: 0,
      shortListMilliseconds: 4_000,
      rejecting: { from: 500, to: 20_000 },
    },
  ],
  [
    "all faults together",
    {
      startAt: 0,
      waves: WAVES,
      rejecting: REJECTING,
      kills: KILLS,
      withoutListMilliseconds: 2_000,
      cut: CUT,
    },
  ],
];

interface Counts {
  /** Maximum over all windows of resends divided by allowed resends. */
  readonly worstShare: number;
  readonly repeatsWanted: number;
  readonly repeats: number;
  readonly migrationsWanted: number;
  readonly migrations: number;
}

interface SpendContext {
  readonly now: number;
  readonly hosts: number | undefined;
}

/** Migrated runs that were turned away may use more than ordinary resends. */
const CONTINUATION = { kind: "continuation" } as const;

/** Reproducible random numbers from 0 up to 1. */
class LinearCongruentialGenerator {
  #state: number;

  constructor(seed: number) {
    this.#state = seed;
  }

  next(): number {
    this.#state = (this.#state * 1_664_525 + 1_013_904_223) % 2 ** 32;
    return this.#state / 2 ** 32;
  }
}

/** One simulation of a fleet's budgets. */
class FleetSimulation {
  readonly #fleet: Fleet;
  readonly #faultPlan: FaultPlan;
  readonly #terms: ResendTerms;
  readonly #random = new LinearCongruentialGenerator(28);
  #budgets: readonly ResendBudget[] = [];
  #startedAt: number;
  readonly #requests: number[] = [];
  readonly #repeats: number[] = [];
  readonly #counts = {
    repeatsWanted: 0,
    repeats: 0,
    migrationsWanted: 0,
    migrations: 0,
  };

  constructor(fleet: Fleet, faultPlan: Partial<FaultPlan>) {
    this.#fleet = fleet;
    this.#faultPlan = { ...NO_FAULTS, ...faultPlan };
    this.#terms = {
      share: 0.2,
      allowance: fleet.allowance,
      windowMilliseconds: WINDOW_MILLISECONDS,
    };
    this.#startedAt = this.#faultPlan.startAt;
    this.#start(this.#startedAt);
  }

  /** Simulates all steps and counts as the platform does. */
  simulate(): Counts {
    Array.from({ length: END_MILLISECONDS / STEP_MILLISECONDS }).forEach(
      (_, step) => this.#step(step * STEP_MILLISECONDS),
    );
    return { ...this.#counts, worstShare: this.#worstShare() };
  }

  #start(now: number): void {
    this.#startedAt = now;
    this.#budgets = Array.from(
      { length: this.#fleet.hosts },
      () => new ResendBudget(this.#terms, now),
    );
  }

  #step(now: number): void {
    const { kills } = this.#faultPlan;
    const isDown = kills.some(
      (at) => now >= at && now < at + RESTART_MILLISECONDS,
    );
    if (kills.some((at) => now === at + RESTART_MILLISECONDS)) this.#start(now);
    const { requestsEachSecond } = this.#fleet;
    this.#callTimes(this.#drawCount(requestsEachSecond), () => {
      this.#requests.push(now);
      if (!isDown) this.#startRequest(now);
    });
    if (isDown) return;
    const isMigrating = this.#faultPlan.waves.some(
      (at) => now >= at && now < at + MIGRATION_WAVE_MILLISECONDS,
    );
    const migratedRuns =
      requestsEachSecond * MEAN_STREAM_SECONDS * MIGRATION_WAVE_SHARE;
    if (!isMigrating) return;
    this.#callTimes(
      this.#drawCount((migratedRuns * 1_000) / MIGRATION_WAVE_MILLISECONDS),
      () => this.#migrateRun(now),
    );
  }

  #startRequest(now: number): void {
    const host = this.#randomHost();
    const context = { now, hosts: this.#hostsCountedBy(host, now) };
    const budget = this.#budgetOf(host);
    budget.recordRequest(SERVICE, context);
    this.#resendWhileTurnedAway(context, () => budget.spend(SERVICE, context));
  }

  #migrateRun(now: number): void {
    const host = this.#randomHost();
    const context = { now, hosts: this.#hostsCountedBy(host, now) };
    const budget = this.#budgetOf(host);
    this.#counts.migrationsWanted += 1;
    // A continuation is the same run to the platform, and is not counted.
    this.#counts.migrations += 1;
    this.#resendWhileTurnedAway(context, () =>
      budget.spend(SERVICE, { ...context, ...CONTINUATION }),
    );
  }

  /** Resends while servers turn the request away and the budget allows it. */
  #resendWhileTurnedAway({ now }: SpendContext, canSend: () => boolean): void {
    const { rejecting } = this.#faultPlan;
    const turnsAway = now >= rejecting.from && now < rejecting.to;
    Array.from({ length: MAXIMUM_RESENDS }).every(() => {
      if (!turnsAway || this.#random.next() < 0.5) return false;
      this.#counts.repeatsWanted += 1;
      if (!canSend()) return false;
      this.#counts.repeats += 1;
      this.#repeats.push(now);
      return true;
    });
  }

  /** Hosts that a host counts, including itself, once it has read the list. */
  #hostsCountedBy(host: number, now: number): number | undefined {
    const { hosts } = this.#fleet;
    const { cut, withoutListMilliseconds, shortListMilliseconds } =
      this.#faultPlan;
    if (now - this.#startedAt < withoutListMilliseconds) return undefined;
    if (now - this.#startedAt < shortListMilliseconds) return SHORT_LIST_HOSTS;
    const isWithinTimeout = now - cut.from < PEER_TIMEOUT_MILLISECONDS;
    if (isWithinTimeout || now >= cut.to) return hosts;
    const cutHosts = Math.floor(hosts / 3);
    if (host >= cutHosts) return hosts - cutHosts;
    // A host that is cut off counts the hosts in the list that it read last.
    return this.#startedAt + withoutListMilliseconds > cut.from
      ? undefined
      : hosts;
  }

  #randomHost(): number {
    return Math.floor(this.#random.next() * this.#fleet.hosts);
  }

  #budgetOf(host: number): ResendBudget {
    const budget = this.#budgets[host];
    if (budget === undefined) throw new Error(`no host ${host}`);
    return budget;
  }

  /** Draws the number of events in one step from their rate. */
  #drawCount(perSecond: number): number {
    const mean = (perSecond * STEP_MILLISECONDS) / 1_000;
    return Math.floor(mean + this.#random.next());
  }

  #callTimes(count: number, action: () => void): void {
    Array.from({ length: count }).forEach(action);
  }

  #worstShare(): number {
    const ends = [...new Set(this.#repeats)];
    return Math.max(
      0,
      ...ends.map(
        (end) => countInWindow(this.#repeats, end) / this.#allowedResends(end),
      ),
    );
  }

  #allowedResends(end: number): number {
    const requests = [0, WINDOW_MILLISECONDS / 2, WINDOW_MILLISECONDS].map(
      (before) => countInWindow(this.#requests, end - before),
    );
    return this.#terms.share * Math.max(...requests) + this.#terms.allowance;
  }
}

function countInWindow(times: readonly number[], end: number): number {
  return times.filter((at) => at > end - WINDOW_MILLISECONDS && at <= end)
    .length;
}

describe.each(FLEETS)(
  "resend budget of the $name fleet with $hosts hosts",
  (fleet) => {
    test.each(SCENARIOS)("keeps the fleet's terms: %s", (_, faultPlan) => {
      const { worstShare } = new FleetSimulation(fleet, faultPlan).simulate();
      expect(worstShare).toBeLessThanOrEqual(1);
    });
  },
);
