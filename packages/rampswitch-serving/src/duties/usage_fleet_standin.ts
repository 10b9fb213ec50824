// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Some hosts with their duties in simulated time: clocks that step, processes that
 * end and start anew, news that comes late, a store and a cloud without answers.
 * What the cloud was sent is kept.
 *
 * @module
 */
import { Result } from "true-myth";
import {
  ManualClock,
  type Random,
  seededRandom,
  SILENT_LOGGER,
} from "rampswitch-utils";
import { ServerDirectory } from "../choice/mod.ts";
import type { Cloud, UsageReport } from "../model/cloud.ts";
import { ServingMetrics } from "../observation/mod.ts";
import { loneRollouts, NO_ROLLOUT_STORE } from "../rollout/rollout_standin.ts";
import { HostDuties } from "./host_duties.ts";
import { LeaseStore } from "./lease_store_standin.ts";
import { SETTLE_MILLISECONDS } from "./usage_duty.ts";

/** Length of a reporting window, in milliseconds. */
export const WINDOW_MILLISECONDS = 2_000;

/** True time of day at the start, in milliseconds. */
const FIRST_TIME = 1_000_000;

const STEP_MILLISECONDS = 50;
const NEWS_MILLISECONDS = 250;

/** Longest time that a message between hosts takes, in milliseconds. */
const NEWS_DELAY_MILLISECONDS = 400;

/** Longest time after which a call without an answer is carried out, in milliseconds. */
const LATE_CALL_MILLISECONDS = 3_000;

/** Time in which faults begin, and the time without any after it, in milliseconds. */
const FAULTS_MILLISECONDS = 40_000;
const CALM_MILLISECONDS = 30_000;

/**
 * Time after all faults until every window is reported, in milliseconds. What goes
 * on for a while ends within 4 s and a lease runs out in 3.5 s. A lease that can't be
 * read makes all windows final up to 5 s ahead of a clock that is 5 s ahead.
 */
const RECOVERY_MILLISECONDS = 18_000;

/** Time in which a window is reported after its end, in milliseconds; some tries. */
const REPORTED_MILLISECONDS = 4_000;

const HOUR_MILLISECONDS = 3_600_000;

/** Largest step of a clock that is not off by an hour, in milliseconds. */
const STEP_OF_CLOCK_MILLISECONDS = 5_000;

/** Longest time for which clocks are off, in milliseconds. */
const CLOCKS_OFF_MILLISECONDS = 4_000;

/** Longest time for which the store or the cloud does not answer, in milliseconds. */
const SILENT_MILLISECONDS = 3_000;

/** Greatest age of a copy that the store comes back from, in milliseconds. */
const COPY_MILLISECONDS = 6_000;

/** Shares of the hosts whose clocks step at once. */
const SHARES = [0.25, 0.5, 0.8, 1];

/** Half of the time around which counts become final; faults are most likely in it. */
const LIKELY_MILLISECONDS = 200;

/** Chance of a fault in a step, and around the moment at which counts become final. */
const FAULT_CHANCE = { usual: 0.02, likely: 0.15 };

/** Chance that the lease is spoilt when its turn has come; nobody acts for 3.5 s. */
const SPOILING_CHANCE = 0.2;

/** What may go wrong. */
export type UsageFault =
  | "clocks"
  | "far_clock"
  | "ends"
  | "store"
  | "cloud"
  | "spoilt_lease"
  | "news"
  /** The store is away for a moment and comes back from a copy. */
  | "copy";

/** A report that the cloud was sent. */
export interface SentReport extends UsageReport {
  readonly at: number;
  readonly holder: string;
  readonly fence: number;
}

interface SimulatedHost {
  readonly name: string;
  /** How far its agreed time of day is ahead of the truth, in milliseconds. */
  ahead: number;
  process: Process | undefined;
}

interface Process {
  readonly duties: HostDuties;
  /** Differs for each process. */
  readonly life: string;
  alive: boolean;
}

/** How a fleet is played. */
export interface FleetOptions {
  readonly seed: number;
  readonly faults: readonly UsageFault[];
  /** What is wrong with the store's values, as by a wrong program. */
  readonly wrong?: Partial<Pick<LeaseStore, "altered" | "spoilt">>;
}

/** What came of a play. */
export interface FleetPlay {
  /** All reports that the cloud was sent, in order. */
  readonly sent: readonly SentReport[];
  /** Windows that surely are reported, since nothing went wrong for long. */
  readonly due: readonly number[];
}

/** Plays a fleet with faults, and then for a while without. */
export async function playFleet(options: FleetOptions): Promise<FleetPlay> {
  const fleet = new UsageFleet(options);
  await fleet.pass(FAULTS_MILLISECONDS, { withFaults: true });
  const calmAt = fleet.now;
  fleet.heal();
  await fleet.pass(CALM_MILLISECONDS, { withFaults: false });
  const first = Math.ceil(
    (calmAt + RECOVERY_MILLISECONDS) / WINDOW_MILLISECONDS,
  );
  const last = Math.floor(
    (fleet.now - REPORTED_MILLISECONDS) / WINDOW_MILLISECONDS,
  );
  return {
    sent: fleet.sent,
    due: Array.from({ length: last - first }, (_, index) => first + index),
  };
}

/** The hosts, and what is around them. */
class UsageFleet {
  readonly sent: SentReport[] = [];
  readonly #clock = new ManualClock(FIRST_TIME);
  readonly #random: Random;
  readonly #store: LeaseStore;
  readonly #hosts: readonly SimulatedHost[];
  readonly #faults: readonly UsageFault[];
  #cloudAnswers = true;
  #newsArrives = true;
  #lives = 0;

  constructor({ seed, faults, wrong }: FleetOptions) {
    this.#random = seededRandom(seed);
    this.#store = new LeaseStore(this.#clock, this.#random);
    Object.assign(this.#store, wrong);
    this.#faults = faults;
    this.#hosts = ["a", "b", "c", "d"].map((name) => ({
      name,
      ahead: 0,
      process: undefined,
    }));
    this.#hosts.forEach((host) => this.#start(host));
  }

  /** True time of day, in milliseconds. */
  get now(): number {
    return this.#clock.now();
  }

  /** Lets some time pass. */
  async pass(
    milliseconds: number,
    { withFaults }: { readonly withFaults: boolean },
  ): Promise<void> {
    const endsAt = this.now + milliseconds;
    while (this.now < endsAt) await this.#step(withFaults);
  }

  /** Ends what has no end of its own. */
  heal(): void {
    this.#store.losesAnswers = false;
  }

  async #step(withFaults: boolean): Promise<void> {
    this.#clock.advance(STEP_MILLISECONDS);
    this.#store.tick();
    this.#hosts.forEach((host) => this.#beginRequests(host));
    if (this.#clock.now() % NEWS_MILLISECONDS === 0) this.#tellNews();
    if (withFaults && this.#random.next() < this.#faultChance()) {
      this.#breakSomething();
    }
    // All that follows from what was done in this step, but for timers.
    await new Promise((resolve) => setImmediate(resolve));
  }

  #faultChance(): number {
    const sinceFinal =
      (this.#clock.now() - SETTLE_MILLISECONDS) % WINDOW_MILLISECONDS;
    const likely =
      sinceFinal < LIKELY_MILLISECONDS ||
      WINDOW_MILLISECONDS - sinceFinal < LIKELY_MILLISECONDS;
    return likely ? FAULT_CHANCE.likely : FAULT_CHANCE.usual;
  }

  #breakSomething(): void {
    const fault = this.#faults[this.#random.below(this.#faults.length)];
    if (fault !== undefined) this.#breaks[fault]();
  }

  readonly #breaks: Readonly<Record<UsageFault, () => void>> = {
    clocks: () => {
      const share = SHARES[this.#random.below(SHARES.length)] ?? 1;
      const size = this.#random.below(STEP_OF_CLOCK_MILLISECONDS);
      this.#stepClocks(this.#hosts.slice(0, share * this.#hosts.length), size);
    },
    far_clock: () =>
      this.#stepClocks(this.#hosts.slice(0, 1), HOUR_MILLISECONDS),
    ends: () => this.#endSome(),
    store: () => this.#breakStore(),
    cloud: () => {
      this.#cloudAnswers = false;
      this.#clock.after(this.#someTime(SILENT_MILLISECONDS), () => {
        this.#cloudAnswers = true;
      });
    },
    spoilt_lease: () => {
      if (this.#random.next() < SPOILING_CHANCE) this.#store.spoil();
    },
    copy: () => {
      if (!this.#store.reachable) return;
      this.#store.reachable = false;
      this.#clock.after(this.#someTime(SILENT_MILLISECONDS), () => {
        this.#store.comeBackFrom(this.#someTime(COPY_MILLISECONDS));
        this.#store.reachable = true;
      });
    },
    news: () => {
      this.#newsArrives = false;
      this.#clock.after(this.#someTime(SILENT_MILLISECONDS), () => {
        this.#newsArrives = true;
      });
    },
  };

  /** Clocks of some hosts step ahead or back, and heal later. */
  #stepClocks(hosts: readonly SimulatedHost[], size: number): void {
    const ahead = this.#random.next() < 0.5 ? size : -size;
    hosts.forEach((host) => {
      host.ahead = ahead;
    });
    this.#clock.after(this.#someTime(CLOCKS_OFF_MILLISECONDS), () =>
      hosts.forEach((host) => {
        host.ahead = 0;
      }),
    );
  }

  #endSome(): void {
    const holder = this.#hosts.find(
      ({ process }) => (process?.duties.lease?.version ?? -1) >= 0,
    );
    const any = this.#hosts[this.#random.below(this.#hosts.length)];
    const ways: readonly (() => void)[] = [
      () => this.#kill(any),
      () => this.#kill(holder),
      () => this.#hosts.forEach((host) => this.#kill(host)),
      () =>
        void holder?.process?.duties.release().then(() => this.#kill(holder)),
    ];
    ways[this.#random.below(ways.length)]?.();
  }

  #breakStore(): void {
    const { losesAnswers } = this.#store;
    if (losesAnswers || this.#random.next() < 0.5) {
      this.#store.losesAnswers = !losesAnswers;
      return;
    }
    this.#store.reachable = false;
    this.#clock.after(this.#someTime(SILENT_MILLISECONDS), () => {
      this.#store.reachable = true;
    });
  }

  #someTime(most: number): number {
    return this.#random.below(most);
  }

  #kill(host: SimulatedHost | undefined): void {
    const process = host?.process;
    if (host === undefined || process === undefined) return;
    process.alive = false;
    host.process = undefined;
    void process.duties[Symbol.asyncDispose]();
    this.#clock.after(this.#someTime(SILENT_MILLISECONDS), () =>
      this.#start(host),
    );
  }

  #start(host: SimulatedHost): void {
    if (host.process !== undefined) return;
    this.#lives += 1;
    const state = { alive: true, life: String(this.#lives) };
    const wallTime = () => this.#clock.now() + host.ahead;
    const duties = new HostDuties({
      holdMilliseconds: () => 1_000,
      limitOf: () => undefined,
      host: host.name,
      incarnation: state.life,
      store: this.#store.seenBy(() => state.alive),
      leaseKey: "leases/duties",
      cloud: this.#cloudOf(state),
      clock: this.#clock,
      cautiousClock: this.#clock,
      wallTime,
      agreedWallTime: wallTime,
      isTimeSettled: () => true,
      random: this.#random,
      logger: SILENT_LOGGER,
      metrics: new ServingMetrics(),
      directory: new ServerDirectory(),
      rollouts: loneRollouts(),
      rolloutStore: NO_ROLLOUT_STORE,
      lives: () => [],
      dataHalls: ["hall"],
      usageWindowMilliseconds: WINDOW_MILLISECONDS,
      leaseMilliseconds: 3_000,
      load: () => ({ running: 0, readTokensPerSecond: 0, readingRate: 0 }),
      idle: () => true,
      routes: () => undefined,
      eligible: () => state.alive,
    });
    host.process = Object.assign(state, { duties });
    duties.start();
  }

  #cloudOf(process: { readonly alive: boolean }): Cloud {
    return {
      reportUsage: (report, { holder, fence }) => {
        if (!process.alive) return Promise.resolve(Result.err("no_answer"));
        const take = () =>
          this.sent.push({ ...report, at: this.#clock.now(), holder, fence });
        if (this.#cloudAnswers) {
          take();
          return Promise.resolve(Result.ok(undefined));
        }
        this.#clock.after(this.#someTime(LATE_CALL_MILLISECONDS), take);
        return Promise.resolve(Result.err("no_answer"));
      },
      orderServers: () => Promise.resolve(Result.ok(undefined)),
    };
  }

  #beginRequests({ process, ahead }: SimulatedHost): void {
    if (process === undefined || this.#random.next() < 0.5) return;
    const workspace = `w${this.#random.below(2)}`;
    process.duties.usage.began(workspace, this.#clock.now() + ahead);
  }

  #tellNews(): void {
    if (!this.#newsArrives) return;
    this.#hosts.forEach((from) => {
      const { process } = from;
      if (process === undefined) return;
      const { life } = process;
      const { usage } = process.duties;
      usage.forgetOld(this.#clock.now() + from.ahead);
      const counts = usage.own(this.#clock.now() + from.ahead);
      const { lease } = process.duties;
      this.#hosts
        .filter((to) => to !== from)
        .forEach((to) =>
          this.#clock.after(this.#someTime(NEWS_DELAY_MILLISECONDS), () => {
            to.process?.duties.usage.heard(from.name, life, counts);
            if (lease !== undefined) to.process?.duties.heard(lease);
          }),
        );
    });
  }
}
