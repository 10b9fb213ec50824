// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Assembles the duties of one host: their lease, usage reports and orders of
 * servers, and the calls to the cloud that the lease guards.
 *
 * @module
 */
import {
  type Clock,
  type Logger,
  Ownership,
  type Random,
} from "rampswitch-utils";
import type { ObjectStore } from "rampswitch-store";
import { Result } from "true-myth";
import type { ServerDirectory, ServerRecord } from "../choice/mod.ts";
import type { RouteIndex } from "../intake/route_index.ts";
import type { LeaseUpdate } from "../membership/mod.ts";
import type { Cloud, CloudError, Fence } from "../model/cloud.ts";
import type { ServingMetrics } from "../observation/mod.ts";
import type { Rollouts, RolloutStore } from "../rollout/mod.ts";
import { CapacityDuty } from "./capacity_duty.ts";
import type { ServiceLoad } from "./capacity_plan.ts";
import { DutyKeeper } from "./duty_keeper.ts";
import type { LeaseTimes } from "./duty_lease.ts";
import { UsageCounter } from "./usage_counter.ts";
import { type FinalReports, isFinal } from "./final_usage.ts";
import { type TimeOfDay, UsageDuty } from "./usage_duty.ts";

/**
 * Times of the lease beside its configured bound, in milliseconds. A holder acts
 * for two renewals after one that took effect. Others wait a second longer than any
 * of its calls may last.
 */
const LEASE_TIMES: Omit<LeaseTimes, "afterRelease"> = {
  duration: 3_500,
  acting: 2_200,
  renewal: 1_000,
};

/** Answer to a call of the duties after the lease has expired. */
const LEASE_EXPIRED: Result<void, CloudError> = Result.err("refused");

/** Parts that the duties of a host work with. */
export interface HostDutiesParts {
  readonly host: string;
  readonly incarnation: string;
  readonly store: ObjectStore;
  /** Key of the lease object in the store. */
  readonly leaseKey: string;
  readonly cloud: Cloud;
  /** A monotonic clock. */
  readonly clock: Clock;
  /**
   * A clock that never shows a renewal as too young, also after a suspension.
   */
  readonly cautiousClock: Clock;
  /** Time of day of this host, in milliseconds. */
  readonly wallTime: () => number;
  /** Fleet time of day, in milliseconds. */
  readonly agreedWallTime: () => number;
  /** Whether updates of enough hosts are received to rely on the fleet time. */
  readonly isTimeSettled: () => boolean;
  readonly random: Random;
  readonly logger: Logger;
  readonly metrics: ServingMetrics;
  readonly directory: ServerDirectory;
  readonly dataHalls: readonly string[];
  readonly usageWindowMilliseconds: number;
  /**
   * Minimum time between acts of one holder, another, and the first again, in
   * milliseconds.
   */
  readonly leaseMilliseconds: number;
  readonly rollouts: Rollouts;
  /** Stores states of roll-outs that are due, and follows their specs. */
  readonly rolloutStore: Pick<RolloutStore, "follow" | "store">;
  /** Incarnations of the other hosts that are present. */
  peerIncarnations(): readonly string[];
  /** Returns the load of a service over all hosts. */
  load(service: string): ServiceLoad;
  /** Time for which a request of a service holds a slot, in milliseconds. */
  holdMilliseconds(service: string): number;
  /** Requests per second that a server accepts, if it advertises a limit. */
  limitOf(record: ServerRecord): number | undefined;
  /** Whether no request has arrived since this host started. */
  isIdle(): boolean;
  /** The configuration, once the servers are listed too. */
  routes(): RouteIndex | undefined;
  /**
   * Whether this host receives enough of the others' updates to hold the
   * duties.
   */
  isEligible(): boolean;
}

/** The duties of one host. */
export class HostDuties implements AsyncDisposable {
  readonly #parts: HostDutiesParts;
  readonly #ownership = new Ownership();
  readonly #usageDuty: UsageDuty;
  readonly #capacity: CapacityDuty;
  /** On the monotonic clock. */
  readonly #startedAt: number;
  #keeper: DutyKeeper | undefined;
  /** Requests that began to run at this host, and at peers as they report. */
  readonly usage: UsageCounter;

  constructor(parts: HostDutiesParts) {
    this.#parts = parts;
    this.#startedAt = parts.clock.now();
    this.usage = new UsageCounter(parts.usageWindowMilliseconds);
    const cloud = this.#guardedCloud();
    this.#usageDuty = new UsageDuty(this.usage, {
      ...parts,
      cloud,
    });
    this.#capacity = new CapacityDuty({
      cloud,
      directory: parts.directory,
      logger: parts.logger,
      metrics: parts.metrics,
      dataHalls: parts.dataHalls,
      rollouts: parts.rollouts,
      load: (service) => parts.load(service),
      holdMilliseconds: (service) => parts.holdMilliseconds(service),
      limitOf: (record) => parts.limitOf(record),
      isIdle: () => parts.isIdle(),
    });
  }

  /** Begins to check the lease. */
  start(): void {
    const incarnationKey = `${this.#parts.host}/${this.#parts.incarnation}`;
    const { agreedWallTime, leaseMilliseconds } = this.#parts;
    this.#keeper = this.#ownership.own(
      new DutyKeeper({
        ...this.#parts,
        isEligible: () => this.#parts.isEligible(),
        times: { ...LEASE_TIMES, afterRelease: leaseMilliseconds },
        duties: {
          finalUsage: (known) =>
            this.#usageDuty.finalUsage(known, this.#timeOfDay()),
          openCounts: (final) =>
            this.usage.openCounts(incarnationKey, {
              wallTime: agreedWallTime(),
              isFinal: (window) => isFinal(final, window),
            }),
          restoreCounts: (counts) => this.usage.restore(counts, incarnationKey),
          onStored: (final, before) =>
            this.#usageDuty.logStored(final, before, this.#timeOfDay()),
          perform: (reports, fence) => this.#performDuties(reports, fence),
        },
      }),
    );
  }

  /** The lease to report to the peers: held by this host, or given up by it. */
  get lease(): LeaseUpdate | undefined {
    return this.#keeper?.leaseUpdate;
  }

  /** Whether this host may act for the fleet now. */
  get isHolder(): boolean {
    return this.#keeper?.canAct === true;
  }

  /** Receives a holder's update about its lease. */
  receiveLease(lease: LeaseUpdate): void {
    this.#keeper?.receiveLease(lease);
  }

  /** Gives the lease up, for a planned stop. */
  async release(): Promise<void> {
    await this.#keeper?.release();
  }

  /**
   * Records an announced reclaim of a reclaimable server; `left` are still
   * ready.
   */
  recordAnnouncedReclaim(
    service: string,
    dataHall: string,
    left: number,
  ): void {
    const now = this.#parts.clock.now();
    this.#capacity.recordAnnouncedReclaim(service, dataHall, {
      remaining: left,
      now,
    });
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#ownership[Symbol.asyncDispose]();
  }

  #timeOfDay(): TimeOfDay {
    const { wallTime, agreedWallTime, isTimeSettled, clock } = this.#parts;
    const fleetTime = agreedWallTime();
    return {
      own: wallTime(),
      fleet: fleetTime,
      startedAt: fleetTime - (clock.now() - this.#startedAt),
      isSettled: isTimeSettled(),
    };
  }

  async #performDuties(reports: FinalReports, fence: Fence): Promise<void> {
    await this.#storeRolloutStates();
    await this.#usageDuty.sendReports(reports, fence);
    const routes = this.#parts.routes();
    if (routes === undefined) return;
    await this.#capacity.sendDueOrders(routes, fence, this.#parts.clock.now());
  }

  async #storeRolloutStates(): Promise<void> {
    const { clock, rollouts, rolloutStore } = this.#parts;
    rolloutStore.follow();
    const due = rollouts.dueStates(clock.now(), this.#parts.peerIncarnations());
    if (this.isHolder) await rolloutStore.store(due);
  }

  /** The cloud, for as long as the lease lets this host act. */
  #guardedCloud(): Cloud {
    const { cloud } = this.#parts;
    return {
      reportUsage: async (report, fence) =>
        this.#keeper?.canAct === true
          ? cloud.reportUsage(report, fence)
          : LEASE_EXPIRED,
      orderServers: async (order, fence) =>
        this.#keeper?.canAct === true
          ? cloud.orderServers(order, fence)
          : LEASE_EXPIRED,
    };
  }
}
