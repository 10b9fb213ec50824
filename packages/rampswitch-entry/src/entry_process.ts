// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The life of one entry process: it starts its parts, serves, and stops without
 * cutting off a request.
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
import { type Metrics, Ownership, repeat, sleep } from "rampswitch-utils";
import type { Settings } from "rampswitch-validation";
import { ControlService } from "./duties/control_service.ts";
import {
  type EntryAddresses,
  EntryListeners,
} from "./intake/entry_listeners.ts";
import {
  takeConfiguration,
  takeDigests,
  takeLeaving,
  recoverLostRequests,
} from "./membership/entry_news.ts";
import { EntryParts, type EntrySurroundings } from "./entry_parts.ts";
import { httpCloud } from "./membership/platform_clients.ts";
import type { ProblemOutcome } from "./intake/problem.ts";
import { ProcessLife } from "./process_machine.ts";

const PREPARE_MILLISECONDS = 50;
const MAINTAIN_MILLISECONDS = 500;
const DRAIN_POLL_MILLISECONDS = 100;
const DRAIN_GRACE_MILLISECONDS = 1_000;
const LAST_WORDS_MILLISECONDS = 200;
const RETRY_AFTER = { retryAfterMilliseconds: 1_000 };

/** A running entry process. */
export class EntryProcess implements AsyncDisposable {
  readonly #owned = new Ownership();
  #stopped: Promise<void> | undefined;
  readonly #life = new ProcessLife();
  readonly #parts: EntryParts;
  #addresses: EntryAddresses | undefined;

  private constructor(settings: Settings, surroundings: EntrySurroundings) {
    this.#parts = this.#owned.own(
      new EntryParts(settings, surroundings, {
        changed: (_state, deltas) => takeConfiguration(this.#parts, deltas),
        heard: (digests) => takeDigests(this.#parts, digests),
        leaving: (news) => this.#leaving(news),
        takenOver: () => recoverLostRequests(this.#parts),
      }),
    );
  }

  /** Starts a process; resolves once it listens. */
  static async start(
    settings: Settings,
    surroundings: EntrySurroundings,
  ): Promise<EntryProcess> {
    const entry = new EntryProcess(settings, surroundings);
    await entry.#start();
    return entry;
  }

  /** Counters of the process. */
  get metrics(): Metrics {
    return this.#parts.metrics;
  }

  /** Where the process listens. */
  get addresses(): EntryAddresses {
    return this.#addresses ?? { callers: "", peers: "", administration: "" };
  }

  /** Whether the balancer should send callers here. */
  get ready(): boolean {
    return this.#life.state === "serving" && TAKES_NEW_WORK[this.freshness];
  }

  /** Freshness of the configuration here. */
  get freshness(): Freshness {
    const { membership, configuration, clock, settings } = this.#parts;
    const { freshnessMilliseconds, minorityServes } = settings.membership;
    const now = clock.now();
    const members = [...membership.members.values()].filter(
      ({ digest }) => !membership.isGone(digest.host.id),
    );
    const heard = members.filter(({ suspected }) => !suspected);
    return evaluateFreshness(
      {
        now,
        confirmedAt: configuration.confirmedAt,
        peersKnown: members.length,
        peersInContact: heard.length,
        peersReachingStore: heard.filter(({ digest }) => digest.reachesStore)
          .length,
      },
      { milliseconds: freshnessMilliseconds, minorityServes },
    );
  }

  /** Resolves once the process is ready for callers. */
  async untilReady(): Promise<void> {
    while (!this.ready && this.#life.state !== "stopped") {
      await sleep(this.#parts.clock, PREPARE_MILLISECONDS);
    }
  }

  /**
   * Stops as planned: readiness falls, slots are handed over, running work
   * ends. Requests that come meanwhile are still served, here or elsewhere.
   */
  stop(): Promise<void> {
    // A second order must not end before what the first one waits for.
    this.#stopped ??= this.#stop();
    return this.#stopped;
  }

  async #stop(): Promise<void> {
    if (!this.#life.handle({ type: "stop" })) return;
    const { clock, logger, membership, replication, settings } = this.#parts;
    logger.info("stopping");
    membership.leave();
    replication.flush();
    await this.#drain(clock.now() + settings.limits.stopMilliseconds);
    replication.flush();
    await sleep(clock, LAST_WORDS_MILLISECONDS);
    this.#life.handle({ type: "finished" });
    logger.info("stopped", { working: this.#parts.working });
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
        state: () => this.#life.state,
        freshness: () => this.freshness,
      }),
    );
    this.#addresses = listeners.addresses;
    const { advertise } = parts.settings;
    parts.self = {
      ...parts.self,
      peerAddress: advertise.peers ?? listeners.addresses.peers,
      callerAddress: advertise.callers ?? listeners.addresses.callers,
    };
    parts.start();
    this.#startRounds();
    void this.#prepare();
    parts.logger.info("listening", { ...listeners.addresses });
  }

  #startRounds(): void {
    const parts = this.#parts;
    const { clock, random, settings } = parts;
    this.#owned.own(
      repeat(
        clock,
        () => MAINTAIN_MILLISECONDS * (0.5 + random.next()),
        async () => {
          await parts.slots.maintain();
          recoverLostRequests(parts);
          parts.book.expire();
          this.#showGauges();
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

  /** Begins to serve once the configuration and the slot table are known. */
  async #prepare(): Promise<void> {
    const { clock, slots, logger, configuration } = this.#parts;
    while (this.freshness === "never" || !slots.ready) {
      if (this.#life.state !== "starting") return;
      await sleep(clock, PREPARE_MILLISECONDS);
    }
    if (!this.#life.handle({ type: "prepared" })) return;
    logger.info("ready", { revision: configuration.state.revision });
  }

  /** Hands slots over and waits for running work, until a time at most. */
  async #drain(deadline: number): Promise<void> {
    const { clock, slots, membership } = this.#parts;
    const quietAfter = clock.now() + DRAIN_GRACE_MILLISECONDS;
    while (clock.now() < deadline) {
      slots.handOverAll();
      const idle = this.#parts.working === 0 && clock.now() >= quietAfter;
      const alone = membership.trusted.length === 0;
      if (idle && (alone || slots.heldSlots === 0)) return;
      await sleep(clock, DRAIN_POLL_MILLISECONDS);
    }
  }

  #leaving(news: readonly LeavingMark[]): void {
    takeLeaving(this.#parts, news);
    const { name, startedAt } = this.#parts.self;
    const own = news.some(
      (mark) => mark.host === name && markAppliesTo(mark, startedAt),
    );
    if (own) void this.stop();
  }

  #showGauges(): void {
    const { slots, metrics, membership, book } = this.#parts;
    metrics.gauge("slots_primary", slots.heldSlots);
    metrics.gauge("slots_without_backup", slots.slotsWithoutBackup);
    metrics.gauge("members_trusted", membership.trusted.length);
    metrics.gauge("answers_bytes", book.size.bytes);
  }

  #refusal(): ProblemOutcome | undefined {
    const refusal = STATE_REFUSALS[this.#life.state];
    if (refusal !== undefined) return refusal;
    return TAKES_NEW_WORK[this.freshness] ? undefined : STALE;
  }
}

const STATE_REFUSALS: Readonly<
  Record<ProcessLife["state"], ProblemOutcome | undefined>
> = {
  starting: refused("not_ready", "the host is starting", RETRY_AFTER),
  serving: undefined,
  draining: undefined,
  stopped: refused("stopping", "the host is stopping", RETRY_AFTER),
};

const STALE = refused(
  "configuration_stale",
  "the configuration may have changed elsewhere",
  RETRY_AFTER,
);
