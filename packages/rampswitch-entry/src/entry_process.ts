// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The lifecycle of one entry process: it starts its parts, serves requests, and
 * lets running requests finish before it stops.
 *
 * @module
 */
import {
  type Freshness,
  evaluateFreshness,
  type LeavingMark,
  markAppliesTo,
  TAKES_NEW_WORK,
} from "rampswitch-configuration";
import { refused } from "rampswitch-types";
import {
  failureReporter,
  type Metrics,
  Ownership,
  repeat,
  runInBackground,
  sleep,
} from "rampswitch-utils";
import type { Settings } from "rampswitch-validation";
import { ControlService } from "./duties/control_service.ts";
import {
  type EntryAddresses,
  EntryListeners,
} from "./intake/entry_listeners.ts";
import {
  handleConfigurationChange,
  handleDigests,
  handleLeavingHosts,
  recoverLostRequests,
} from "./membership/entry_updates.ts";
import { EntryParts, type EntryEnvironment } from "./entry_parts.ts";
import { httpCloud } from "./membership/platform_clients.ts";
import type { ProblemOutcome } from "./intake/problem.ts";
import { ProcessLifecycle } from "./process_machine.ts";

const READINESS_POLL_MILLISECONDS = 50;
const MAINTENANCE_INTERVAL_MILLISECONDS = 500;
const DRAIN_POLL_MILLISECONDS = 100;
const DRAIN_GRACE_MILLISECONDS = 1_000;
const FINAL_FLUSH_MILLISECONDS = 200;
const RETRY_AFTER = { retryAfterMilliseconds: 1_000 };

/** A running entry process. */
export class EntryProcess implements AsyncDisposable {
  readonly #owned = new Ownership();
  #stopped: Promise<void> | undefined;
  readonly #lifecycle = new ProcessLifecycle();
  readonly #parts: EntryParts;
  #addresses: EntryAddresses | undefined;
  #listeners: EntryListeners | undefined;

  private constructor(settings: Settings, environment: EntryEnvironment) {
    this.#parts = this.#owned.own(
      new EntryParts(settings, environment, {
        changed: (_state, deltas) =>
          handleConfigurationChange(this.#parts, deltas),
        received: (digests) => handleDigests(this.#parts, digests),
        leaving: (marks) => this.#handleLeavingHosts(marks),
        takenOver: () => recoverLostRequests(this.#parts),
      }),
    );
  }

  /** Starts a process; resolves once it listens. */
  static async start(
    settings: Settings,
    environment: EntryEnvironment,
  ): Promise<EntryProcess> {
    const entry = new EntryProcess(settings, environment);
    await entry.#start();
    return entry;
  }

  /** Metrics of the process. */
  get metrics(): Metrics {
    return this.#parts.metrics;
  }

  /** Addresses on which the process listens; empty before it does. */
  get addresses(): EntryAddresses {
    return this.#addresses ?? { callers: "", peers: "", administration: "" };
  }

  /** Whether the load balancer should send callers to this host. */
  get ready(): boolean {
    return (
      this.#lifecycle.state === "serving" && TAKES_NEW_WORK[this.freshness]
    );
  }

  /** Freshness of the configuration on this host. */
  get freshness(): Freshness {
    const { membership, configuration, clock, settings } = this.#parts;
    const { freshnessMilliseconds, minorityServes } = settings.membership;
    const now = clock.now();
    const members = [...membership.members.values()].filter(
      ({ digest }) => !membership.isGone(digest.host.id),
    );
    const trustedMembers = members.filter(({ suspected }) => !suspected);
    return evaluateFreshness(
      {
        now,
        confirmedAt: configuration.confirmedAt,
        peersKnown: members.length,
        peersInContact: trustedMembers.length,
        peersReachingStore: trustedMembers.filter(
          ({ digest }) => digest.reachesStore,
        ).length,
      },
      { milliseconds: freshnessMilliseconds, minorityServes },
    );
  }

  /** Resolves once the process is ready for callers. */
  async untilReady(): Promise<void> {
    while (!this.ready && this.#lifecycle.state !== "stopped") {
      await sleep(this.#parts.clock, READINESS_POLL_MILLISECONDS);
    }
  }

  /**
   * Stops the process gracefully: it reports itself as not ready, hands over its
   * slots, and waits for running work. Requests that arrive meanwhile are still
   * served, on this host or on another.
   */
  stop(): Promise<void> {
    // A second call must not resolve before the stop that the first one began.
    this.#stopped ??= this.#stop();
    return this.#stopped;
  }

  async #stop(): Promise<void> {
    if (!this.#lifecycle.handle({ type: "stop" })) return;
    const { clock, logger, membership, replication, settings } = this.#parts;
    logger.info("stopping");
    membership.leave();
    replication.flush();
    const endsAt = clock.now() + settings.limits.stopMilliseconds;
    this.#parts.endsAt = endsAt;
    await this.#drain(endsAt);
    replication.flush();
    await sleep(clock, FINAL_FLUSH_MILLISECONDS);
    this.#lifecycle.handle({ type: "finished" });
    logger.info("stopped", { working: this.#parts.working });
    this.#listeners?.endUnanswered();
    await this[Symbol.asyncDispose]();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#owned[Symbol.asyncDispose]();
  }

  async #start(): Promise<void> {
    const parts = this.#parts;
    const listeners = this.#owned.own(
      await EntryListeners.start(parts, {
        refusal: () => this.#refusal(),
        ready: () => this.ready,
        state: () => this.#lifecycle.state,
        freshness: () => this.freshness,
      }),
    );
    this.#addresses = listeners.addresses;
    this.#listeners = listeners;
    const { advertise } = parts.settings;
    parts.self = {
      ...parts.self,
      peerAddress: advertise.peers ?? listeners.addresses.peers,
      callerAddress: advertise.callers ?? listeners.addresses.callers,
    };
    parts.start();
    this.#startPeriodicWork();
    const { logger } = parts;
    runInBackground("preparation", { logger }, () => this.#prepare());
    logger.info("listening", { ...listeners.addresses });
  }

  #startPeriodicWork(): void {
    const parts = this.#parts;
    const { clock, random, settings } = parts;
    this.#owned.own(
      repeat(
        clock,
        () => MAINTENANCE_INTERVAL_MILLISECONDS * (0.5 + random.next()),
        {
          name: "maintenance",
          reportFailure: failureReporter({ logger: parts.logger }),
          run: async () => {
            await parts.slots.maintain();
            recoverLostRequests(parts);
            parts.answerCache.expire();
            this.#updateGauges();
          },
        },
      ),
    );
    this.#owned
      .own(
        new ControlService({
          ...parts,
          cloud: httpCloud(settings.platform.cloud),
          clockSkewMilliseconds: settings.limits.clockSkewMilliseconds,
          leaseMilliseconds: settings.membership.leaseMilliseconds,
          startsHosts: settings.capacity.enabled,
        }),
      )
      .start();
  }

  /** Starts to serve once the configuration and the slot table are known. */
  async #prepare(): Promise<void> {
    const { clock, slots, logger, configuration } = this.#parts;
    while (this.freshness === "never" || !slots.ready) {
      if (this.#lifecycle.state !== "starting") return;
      await sleep(clock, READINESS_POLL_MILLISECONDS);
    }
    if (!this.#lifecycle.handle({ type: "prepared" })) return;
    logger.info("ready", { revision: configuration.state.revision });
  }

  /** Work of this host, and requests of its callers that run on others. */
  get #inProgress(): number {
    return this.#parts.working + (this.#listeners?.requestsInProgress ?? 0);
  }

  /** Hands over slots and waits for running work, at most until `deadline`. */
  async #drain(deadline: number): Promise<void> {
    const { clock, slots, membership } = this.#parts;
    const idleAfter = clock.now() + DRAIN_GRACE_MILLISECONDS;
    while (clock.now() < deadline) {
      slots.handOverAll();
      const idle = this.#inProgress === 0 && clock.now() >= idleAfter;
      const hasNoPeers = membership.trusted.length === 0;
      if (idle && (hasNoPeers || slots.heldSlots === 0)) return;
      await sleep(clock, DRAIN_POLL_MILLISECONDS);
    }
  }

  #handleLeavingHosts(marks: readonly LeavingMark[]): void {
    handleLeavingHosts(this.#parts, marks);
    const { name, startedAt } = this.#parts.self;
    const includesSelf = marks.some(
      (mark) => mark.host === name && markAppliesTo(mark, startedAt),
    );
    const { logger } = this.#parts;
    if (includesSelf)
      runInBackground("planned stop", { logger }, () => this.stop());
  }

  #updateGauges(): void {
    const { slots, metrics, membership, answerCache: book } = this.#parts;
    metrics.gauge("slots_primary", slots.heldSlots);
    metrics.gauge("slots_without_backup", slots.slotsWithoutBackup);
    metrics.gauge("members_trusted", membership.trusted.length);
    metrics.gauge("answers_bytes", book.size.bytes);
  }

  #refusal(): ProblemOutcome | undefined {
    const refusal = STATE_REFUSALS[this.#lifecycle.state];
    if (refusal !== undefined) return refusal;
    return TAKES_NEW_WORK[this.freshness] ? undefined : STALE_REFUSAL;
  }
}

const STATE_REFUSALS: Readonly<
  Record<ProcessLifecycle["state"], ProblemOutcome | undefined>
> = {
  starting: refused("not_ready", "the host is starting", RETRY_AFTER),
  serving: undefined,
  draining: undefined,
  stopped: refused("stopping", "the host is stopping", RETRY_AFTER),
};

const STALE_REFUSAL = refused(
  "configuration_stale",
  "the configuration may have changed elsewhere",
  RETRY_AFTER,
);
