// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Simulates some hosts with their duties: clocks that step, processes that end
 * and restart, gossip that arrives late, and a store and a cloud without
 * answers. The reports that the cloud received are recorded.
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
import {
  singleHostRollouts,
  EMPTY_ROLLOUT_STORE,
} from "../rollout/rollout_standin.ts";
import { HostDuties } from "./host_duties.ts";
import { LeaseStore } from "./lease_store_standin.ts";
import { SETTLING_DELAY_MILLISECONDS } from "./usage_duty.ts";

/** Length of a reporting window, in milliseconds. */
export const WINDOW_MILLISECONDS = 2_000;

/** True time of day at the start, in milliseconds. */
const START_TIME_MILLISECONDS = 1_000_000;

const STEP_MILLISECONDS = 50;
const GOSSIP_INTERVAL_MILLISECONDS = 250;

/** Maximum time that a message between hosts takes, in milliseconds. */
const MAXIMUM_GOSSIP_DELAY_MILLISECONDS = 400;

/**
 * Maximum time until a call without an answer is carried out, in milliseconds.
 */
const MAXIMUM_LATE_CALL_MILLISECONDS = 3_000;

/**
 * Time in which faults begin, and the time without faults after it, in
 * milliseconds.
 */
const FAULTS_MILLISECONDS = 40_000;
const CALM_MILLISECONDS = 30_000;

/**
 * Time after all faults until every window is reported, in milliseconds.
 * Temporary faults end within 4 s and a lease expires after 3.5 s. A lease that
 * can't be read makes all windows final up to 5 s ahead of a clock that is 5 s
 * ahead.
 */
const RECOVERY_MILLISECONDS = 18_000;

/**
 * Time after its end in which a window is reported, in milliseconds; some
 * attempts.
 */
const REPORT_TIME_MILLISECONDS = 4_000;

const HOUR_MILLISECONDS = 3_600_000;

/** Maximum step of a clock that is not off by an hour, in milliseconds. */
const MAXIMUM_CLOCK_STEP_MILLISECONDS = 5_000;

/** Maximum time for which clocks are off, in milliseconds. */
const MAXIMUM_CLOCK_FAULT_MILLISECONDS = 4_000;

/**
 * Maximum time for which the store or the cloud does not answer, in
 * milliseconds.
 */
const MAXIMUM_OUTAGE_MILLISECONDS = 3_000;

/** Maximum age of a copy from which the store is restored, in milliseconds. */
const MAXIMUM_COPY_AGE_MILLISECONDS = 6_000;

/** Shares of the hosts whose clocks step at once. */
const CLOCK_FAULT_SHARES = [0.25, 0.5, 0.8, 1];

/**
 * Time before and after counts become final in which faults are most likely, in
 * milliseconds.
 */
const LIKELY_MILLISECONDS = 200;

/** Chance of a fault per step: usually, and when counts become final. */
const FAULT_CHANCE = { usual: 0.02, likely: 0.15 };

/**
 * Chance that a chosen corruption of the lease is done; no host acts for 3.5 s
 * after it.
 */
const CORRUPTION_CHANCE = 0.2;

/** Kinds of faults. */
export type UsageFault =
  | "clocks"
  | "far_clock"
  | "ends"
  | "store"
  | "cloud"
  | "corrupt_lease"
  | "gossip"
  /** The store is unreachable for a moment and is then restored from a copy. */
  | "restore";

/** A report that the cloud received. */
export interface SentReport extends UsageReport {
  readonly at: number;
  readonly holder: string;
  readonly fence: number;
}

interface SimulatedHost {
  readonly name: string;
  /**
   * How far its fleet time of day is ahead of the true time, in milliseconds.
   */
  clockOffset: number;
  process: SimulatedProcess | undefined;
}

interface SimulatedProcess {
  readonly duties: HostDuties;
  /** Differs for each process. */
  readonly incarnation: string;
  isAlive: boolean;
}

/** Options of a simulated fleet. */
export interface FleetOptions {
  readonly seed: number;
  readonly faults: readonly UsageFault[];
  /** Changes to the store's values, as a faulty program would make them. */
  readonly storeChanges?: Partial<
    Pick<LeaseStore, "alterWritten" | "corruptValue">
  >;
}

/** Result of a simulation. */
export interface FleetResult {
  /** All reports that the cloud received, in order. */
  readonly sent: readonly SentReport[];
  /** Windows that must be reported, since no fault lasted long. */
  readonly due: readonly number[];
}

/** Simulates a fleet with faults, and then for a while without. */
export async function simulateFleet(
  options: FleetOptions,
): Promise<FleetResult> {
  const fleet = new UsageFleet(options);
  await fleet.advance(FAULTS_MILLISECONDS, { withFaults: true });
  const calmAt = fleet.now;
  fleet.endOpenFaults();
  await fleet.advance(CALM_MILLISECONDS, { withFaults: false });
  const first = Math.ceil(
    (calmAt + RECOVERY_MILLISECONDS) / WINDOW_MILLISECONDS,
  );
  const last = Math.floor(
    (fleet.now - REPORT_TIME_MILLISECONDS) / WINDOW_MILLISECONDS,
  );
  return {
    sent: fleet.sent,
    due: Array.from({ length: last - first }, (_, index) => first + index),
  };
}

/** The hosts, their store and their cloud. */
class UsageFleet {
  readonly sent: SentReport[] = [];
  readonly #clock = new ManualClock(START_TIME_MILLISECONDS);
  readonly #random: Random;
  readonly #store: LeaseStore;
  readonly #hosts: readonly SimulatedHost[];
  readonly #faults: readonly UsageFault[];
  #doesCloudAnswer = true;
  #doesGossipArrive = true;
  #lastIncarnation = 0;

  constructor({ seed, faults, storeChanges }: FleetOptions) {
    this.#random = seededRandom(seed);
    this.#store = new LeaseStore(this.#clock, this.#random);
    Object.assign(this.#store, storeChanges);
    this.#faults = faults;
    this.#hosts = ["a", "b", "c", "d"].map((name) => ({
      name,
      clockOffset: 0,
      process: undefined,
    }));
    this.#hosts.forEach((host) => this.#start(host));
  }

  /** True time of day, in milliseconds. */
  get now(): number {
    return this.#clock.now();
  }

  /** Advances the simulated time. */
  async advance(
    milliseconds: number,
    { withFaults }: { readonly withFaults: boolean },
  ): Promise<void> {
    const endsAt = this.now + milliseconds;
    while (this.now < endsAt) await this.#step(withFaults);
  }

  /** Ends the faults that do not end by themselves. */
  endOpenFaults(): void {
    this.#store.losesAnswers = false;
  }

  async #step(withFaults: boolean): Promise<void> {
    this.#clock.advance(STEP_MILLISECONDS);
    this.#store.applyLateWrites();
    this.#hosts.forEach((host) => this.#startRequests(host));
    if (this.#clock.now() % GOSSIP_INTERVAL_MILLISECONDS === 0)
      this.#exchangeGossip();
    if (withFaults && this.#random.next() < this.#faultChance()) {
      this.#injectFault();
    }
    // Runs all work that this step caused, except timers.
    await new Promise((resolve) => setImmediate(resolve));
  }

  #faultChance(): number {
    const sinceFinal =
      (this.#clock.now() - SETTLING_DELAY_MILLISECONDS) % WINDOW_MILLISECONDS;
    const isLikely =
      sinceFinal < LIKELY_MILLISECONDS ||
      WINDOW_MILLISECONDS - sinceFinal < LIKELY_MILLISECONDS;
    return isLikely ? FAULT_CHANCE.likely : FAULT_CHANCE.usual;
  }

  #injectFault(): void {
    const fault = this.#faults[this.#random.below(this.#faults.length)];
    if (fault !== undefined) this.#injectors[fault]();
  }

  readonly #injectors: Readonly<Record<UsageFault, () => void>> = {
    clocks: () => {
      const share =
        CLOCK_FAULT_SHARES[this.#random.below(CLOCK_FAULT_SHARES.length)] ?? 1;
      const size = this.#random.below(MAXIMUM_CLOCK_STEP_MILLISECONDS);
      this.#stepClocks(this.#hosts.slice(0, share * this.#hosts.length), size);
    },
    far_clock: () =>
      this.#stepClocks(this.#hosts.slice(0, 1), HOUR_MILLISECONDS),
    ends: () => this.#endProcesses(),
    store: () => this.#injectStoreFault(),
    cloud: () => {
      this.#doesCloudAnswer = false;
      this.#clock.after(this.#randomTime(MAXIMUM_OUTAGE_MILLISECONDS), () => {
        this.#doesCloudAnswer = true;
      });
    },
    corrupt_lease: () => {
      if (this.#random.next() < CORRUPTION_CHANCE) this.#store.corrupt();
    },
    restore: () => {
      if (!this.#store.isReachable) return;
      this.#store.isReachable = false;
      this.#clock.after(this.#randomTime(MAXIMUM_OUTAGE_MILLISECONDS), () => {
        this.#store.restoreFromCopy(
          this.#randomTime(MAXIMUM_COPY_AGE_MILLISECONDS),
        );
        this.#store.isReachable = true;
      });
    },
    gossip: () => {
      this.#doesGossipArrive = false;
      this.#clock.after(this.#randomTime(MAXIMUM_OUTAGE_MILLISECONDS), () => {
        this.#doesGossipArrive = true;
      });
    },
  };

  /** Steps the clocks of some hosts ahead or back, and resets them later. */
  #stepClocks(hosts: readonly SimulatedHost[], size: number): void {
    const offset = this.#random.next() < 0.5 ? size : -size;
    hosts.forEach((host) => {
      host.clockOffset = offset;
    });
    this.#clock.after(this.#randomTime(MAXIMUM_CLOCK_FAULT_MILLISECONDS), () =>
      hosts.forEach((host) => {
        host.clockOffset = 0;
      }),
    );
  }

  #endProcesses(): void {
    const holder = this.#hosts.find(
      ({ process }) => (process?.duties.lease?.version ?? -1) >= 0,
    );
    const any = this.#hosts[this.#random.below(this.#hosts.length)];
    const actions: readonly (() => void)[] = [
      () => this.#kill(any),
      () => this.#kill(holder),
      () => this.#hosts.forEach((host) => this.#kill(host)),
      () =>
        void holder?.process?.duties.release().then(() => this.#kill(holder)),
    ];
    actions[this.#random.below(actions.length)]?.();
  }

  #injectStoreFault(): void {
    const { losesAnswers } = this.#store;
    if (losesAnswers || this.#random.next() < 0.5) {
      this.#store.losesAnswers = !losesAnswers;
      return;
    }
    this.#store.isReachable = false;
    this.#clock.after(this.#randomTime(MAXIMUM_OUTAGE_MILLISECONDS), () => {
      this.#store.isReachable = true;
    });
  }

  #randomTime(maximum: number): number {
    return this.#random.below(maximum);
  }

  #kill(host: SimulatedHost | undefined): void {
    const process = host?.process;
    if (host === undefined || process === undefined) return;
    process.isAlive = false;
    host.process = undefined;
    void process.duties[Symbol.asyncDispose]();
    this.#clock.after(this.#randomTime(MAXIMUM_OUTAGE_MILLISECONDS), () =>
      this.#start(host),
    );
  }

  #start(host: SimulatedHost): void {
    if (host.process !== undefined) return;
    this.#lastIncarnation += 1;
    const simulated = {
      isAlive: true,
      incarnation: String(this.#lastIncarnation),
    };
    const wallTime = () => this.#clock.now() + host.clockOffset;
    const duties = new HostDuties({
      holdMilliseconds: () => 1_000,
      limitOf: () => undefined,
      host: host.name,
      incarnation: simulated.incarnation,
      store: this.#store.viewFor(() => simulated.isAlive),
      leaseKey: "leases/duties",
      cloud: this.#cloudOf(simulated),
      clock: this.#clock,
      cautiousClock: this.#clock,
      wallTime,
      agreedWallTime: wallTime,
      isTimeSettled: () => true,
      random: this.#random,
      logger: SILENT_LOGGER,
      metrics: new ServingMetrics(),
      directory: new ServerDirectory(),
      rollouts: singleHostRollouts(),
      rolloutStore: EMPTY_ROLLOUT_STORE,
      peerIncarnations: () => [],
      dataHalls: ["hall"],
      usageWindowMilliseconds: WINDOW_MILLISECONDS,
      leaseMilliseconds: 3_000,
      load: () => ({ running: 0, readTokensPerSecond: 0, readingRate: 0 }),
      isIdle: () => true,
      routes: () => undefined,
      isEligible: () => simulated.isAlive,
    });
    host.process = Object.assign(simulated, { duties });
    duties.start();
  }

  #cloudOf(process: { readonly isAlive: boolean }): Cloud {
    return {
      reportUsage: (report, { holder, fence }) => {
        if (!process.isAlive) return Promise.resolve(Result.err("no_answer"));
        const take = () =>
          this.sent.push({ ...report, at: this.#clock.now(), holder, fence });
        if (this.#doesCloudAnswer) {
          take();
          return Promise.resolve(Result.ok(undefined));
        }
        this.#clock.after(
          this.#randomTime(MAXIMUM_LATE_CALL_MILLISECONDS),
          take,
        );
        return Promise.resolve(Result.err("no_answer"));
      },
      orderServers: () => Promise.resolve(Result.ok(undefined)),
    };
  }

  #startRequests({ process, clockOffset }: SimulatedHost): void {
    if (process === undefined || this.#random.next() < 0.5) return;
    const workspace = `w${this.#random.below(2)}`;
    process.duties.usage.countRequest(
      workspace,
      this.#clock.now() + clockOffset,
    );
  }

  #exchangeGossip(): void {
    if (!this.#doesGossipArrive) return;
    this.#hosts.forEach((from) => {
      const { process } = from;
      if (process === undefined) return;
      const { incarnation } = process;
      const { usage } = process.duties;
      usage.dropOldWindows(this.#clock.now() + from.clockOffset);
      const counts = usage.ownCounts(this.#clock.now() + from.clockOffset);
      const { lease } = process.duties;
      this.#hosts
        .filter((to) => to !== from)
        .forEach((to) =>
          this.#clock.after(
            this.#randomTime(MAXIMUM_GOSSIP_DELAY_MILLISECONDS),
            () => {
              to.process?.duties.usage.receiveCounts(
                from.name,
                incarnation,
                counts,
              );
              if (lease !== undefined) to.process?.duties.receiveLease(lease);
            },
          ),
        );
    });
  }
}
