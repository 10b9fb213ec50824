// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The requests that are suspected to crash backend servers, as one host knows them.
 * The quarantine is queried before a send and notified after a loss. A request that
 * has lost three servers runs only as a trial, on one host at a time, and after a
 * longer delay with each trial. One complete answer ends its quarantine.
 *
 * @module
 */
import type { Clock, Logger } from "rampswitch-utils";
import type { ServingMetrics } from "../observation/mod.ts";
import type { Fingerprint } from "./fingerprint.ts";
import {
  EMPTY_ENTRY,
  isQuarantined,
  isStored,
  lastLossAt,
  type QuarantineEntry,
  withoutRefuted,
  withTrial,
  nextTrialAt,
} from "./quarantine_entry.ts";
import {
  entryOf,
  type QuarantineUpdate,
  updateOf,
} from "./quarantine_update.ts";
import {
  byImportance,
  isNews,
  type TrackedEntry,
  TrackedEntries,
} from "./tracked_entries.ts";
import { UnconfirmedLosses } from "./unconfirmed_losses.ts";

/** Whether a request may be sent to a server. */
export type QuarantineDecision =
  | { readonly kind: "free" }
  /** The request may run here as a trial, once. */
  | { readonly kind: "trial" }
  | { readonly kind: "held"; readonly waitMilliseconds: number };

/** This host's position among the hosts that may try a request. */
export interface TrialRank {
  /** Number of hosts before this one. */
  readonly rank: number;
  /**
   * Time after which a host knows of a trial that another one began, in
   * milliseconds.
   */
  readonly lagMilliseconds: number;
}

/** Dependencies of a quarantine. */
export interface QuarantineParts {
  /** A monotonic clock. */
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: ServingMetrics;
  /**
   * This host's position among the hosts that may try a request. All hosts agree on
   * the order.
   */
  trialRank(fingerprint: string): TrialRank;
  /**
   * Whether this host heard an incarnation after some time, so that it had not ended
   * by then.
   */
  wasHeardAfter?(incarnation: string, time: number): boolean;
  /** Called when a stored entry has changed on this host. */
  onStoredChange(): void;
}

/** An incarnation of a server that ended. */
export interface LostIncarnation {
  /** Name of the incarnation, unique among all servers. */
  readonly incarnation: string;
  /** When its end was announced, if it was. */
  readonly leavingSince: number | undefined;
}

/**
 * Maximum number of requests in one message and in the store; those with most
 * losses come first.
 */
const MAXIMUM_REPORTED_REQUESTS = 32;

/**
 * Time for which this host's position in the order of hosts is cached, in
 * milliseconds.
 */
const TRIAL_RANK_CACHE_MILLISECONDS = 2_000;

const FREE: QuarantineDecision = { kind: "free" };
const TRIAL: QuarantineDecision = { kind: "trial" };

interface CachedTrialRank {
  readonly trialRank: TrialRank;
  readonly at: number;
}

/** The requests that are suspected to crash servers. */
export class Quarantine {
  readonly #parts: QuarantineParts;
  readonly #requests = new TrackedEntries((fingerprint) =>
    this.#trialRanks.delete(fingerprint),
  );
  readonly #trialRanks = new Map<string, CachedTrialRank>();
  readonly #unconfirmedLosses = new UnconfirmedLosses();

  constructor(parts: QuarantineParts) {
    this.#parts = parts;
  }

  /** Returns whether a request may be sent now; has no side effects. */
  decide(request: Fingerprint): QuarantineDecision {
    const entry = this.#quarantinedEntryOf(request);
    if (entry === undefined) return FREE;
    const now = this.#parts.clock.now();
    const { rank, lagMilliseconds } = this.#trialRankOf(request.text, now);
    // Hosts may start the trial one propagation time after one another, so each has
    // received the trials of the hosts before it.
    const dueAt = nextTrialAt(entry) + rank * lagMilliseconds;
    return now >= dueAt
      ? TRIAL
      : { kind: "held", waitMilliseconds: dueAt - now };
  }

  /**
   * Like {@link decide}, for a request that is sent now. If it is a trial, the
   * trial begins.
   */
  begin(request: Fingerprint): QuarantineDecision {
    const decision = this.decide(request);
    if (decision.kind !== "trial") return decision;
    const entry = this.#entryOf(request) ?? EMPTY_ENTRY;
    this.#merge(request.text, withTrial(entry, this.#parts.clock.now()));
    this.#parts.metrics.event("quarantine_trial");
    this.#log("quarantined request on trial", request.text);
    return decision;
  }

  /** Whether a request must not be resent within the same attempt. */
  forbidsResend(request: Fingerprint): boolean {
    return this.#quarantinedEntryOf(request) !== undefined;
  }

  /**
   * Records that the connection to a server broke after the server had begun the
   * request.
   */
  recordLoss(
    request: Fingerprint,
    { incarnation: incarnationName, leavingSince }: LostIncarnation,
  ): void {
    // An announced end was not caused by the request.
    if (leavingSince !== undefined) return;
    this.#countLoss(request.text, incarnationName, this.#parts.clock.now());
  }

  /**
   * Records that a server became unresponsive while it ran a request. The server
   * may have ended.
   */
  recordUnresponsive(
    request: Fingerprint,
    { incarnation: incarnationName, leavingSince }: LostIncarnation,
  ): void {
    if (leavingSince !== undefined) return;
    this.#unconfirmedLosses.add(
      incarnationName,
      request.text,
      this.#parts.clock.now(),
    );
  }

  /** Records that an incarnation of a server ended without an announcement. */
  incarnationEnded(incarnation: string): void {
    this.#unconfirmedLosses
      .take(incarnation, this.#parts.clock.now())
      .forEach(({ fingerprint, at }) =>
        this.#countLoss(fingerprint, incarnation, at),
      );
  }

  /** Records that a request completed, which shows that it does not crash servers. */
  recordCompletion(request: Fingerprint): void {
    const previous = this.#entryOf(request);
    if (previous === undefined) return;
    const completedAt = this.#parts.clock.now();
    this.#merge(request.text, { ...EMPTY_ENTRY, completedAt });
    if (!isQuarantined(previous)) return;
    this.#parts.metrics.event("quarantine_freed");
    this.#log("quarantined request freed", request.text);
    if (isStored(previous)) this.#parts.onStoredChange();
  }

  /** Whether an incarnation of a server ended under a quarantined request. */
  explains(incarnation: string): boolean {
    return this.#requests.all.some(
      ([, { entry }]) =>
        isQuarantined(entry) && entry.lostIncarnations.has(incarnation),
    );
  }

  /** Returns what to report to the other hosts now. */
  updates(): readonly QuarantineUpdate[] {
    const now = this.#parts.clock.now();
    this.#removeExpired(now);
    return this.#mostImportant(
      now,
      (tracked) => isQuarantined(tracked.entry) || isNews(tracked, now),
    );
  }

  /** Receives what another host reported. */
  receive(updates: readonly QuarantineUpdate[]): void {
    const now = this.#parts.clock.now();
    updates
      .slice(0, MAXIMUM_REPORTED_REQUESTS)
      .forEach((one) => this.#merge(one.fingerprint, entryOf(one, now)));
  }

  /** Returns the requests to store. */
  stored(): readonly QuarantineUpdate[] {
    const now = this.#parts.clock.now();
    return this.#mostImportant(now, ({ entry }) => isStored(entry));
  }

  /**
   * Returns the selected requests with most losses, as many as fit into one
   * message.
   */
  #mostImportant(
    now: number,
    isReported: (known: TrackedEntry) => boolean,
  ): readonly QuarantineUpdate[] {
    const reported = this.#requests.all.filter(([, known]) =>
      isReported(known),
    );
    return byImportance(reported)
      .slice(0, MAXIMUM_REPORTED_REQUESTS)
      .map(([fingerprint, { entry }]) => updateOf(fingerprint, entry, now));
  }

  #countLoss(fingerprint: string, incarnation: string, at: number): void {
    const lostIncarnations = new Map([[incarnation, at]]);
    const isNew = this.#merge(fingerprint, {
      ...EMPTY_ENTRY,
      lostIncarnations,
    });
    if (!isNew) return;
    const current = this.#requests.entry(fingerprint);
    this.#parts.metrics.event("quarantine_loss");
    this.#log("server ended under a request", fingerprint, incarnation);
    if (isStored(current)) this.#parts.onStoredChange();
  }

  #entryOf(request: Fingerprint): QuarantineEntry | undefined {
    // Requests are hashed only while any are tracked, and their bodies only if the
    // head hash matches.
    if (this.#requests.size === 0) return undefined;
    if (!this.#requests.hasHeadHash(request.headHash)) return undefined;
    return this.#requests.has(request.text)
      ? this.#requests.entry(request.text)
      : undefined;
  }

  #quarantinedEntryOf(request: Fingerprint): QuarantineEntry | undefined {
    const entry = this.#entryOf(request);
    if (entry === undefined || !isQuarantined(entry)) return undefined;
    // It is decided anew each time, as an incarnation whose end is not known here yet
    // may seem to be heard when its server has started again.
    const unrefuted = withoutRefuted(
      entry,
      (incarnation, time) =>
        this.#parts.wasHeardAfter?.(incarnation, time) === true,
    );
    return isQuarantined(unrefuted) ? entry : undefined;
  }

  #merge(fingerprint: string, received: QuarantineEntry): boolean {
    const now = this.#parts.clock.now();
    return this.#requests.merge(fingerprint, received, now);
  }

  #removeExpired(now: number): void {
    this.#requests.removeExpired(now);
    const quarantined = this.#requests.all.filter(([, { entry }]) =>
      isQuarantined(entry),
    );
    this.#parts.metrics.gauge("quarantined_requests", quarantined.length);
  }

  #trialRankOf(fingerprint: string, now: number): TrialRank {
    const cached = this.#trialRanks.get(fingerprint);
    if (
      cached !== undefined &&
      now - cached.at < TRIAL_RANK_CACHE_MILLISECONDS
    ) {
      return cached.trialRank;
    }
    const trialRank = this.#parts.trialRank(fingerprint);
    this.#trialRanks.set(fingerprint, { trialRank, at: now });
    return trialRank;
  }

  #log(message: string, fingerprint: string, incarnation?: string): void {
    const entry = this.#requests.entry(fingerprint);
    const now = this.#parts.clock.now();
    const wait = nextTrialAt(entry) - now;
    this.#parts.logger.info(message, {
      fingerprint,
      life: incarnation,
      lostServers: entry.lostIncarnations.size,
      lostAge: rounded(now - lastLossAt(entry)),
      triedAge: rounded(now - entry.lastTrialAt),
      trialInMilliseconds: rounded(wait),
    });
  }
}

function rounded(milliseconds: number): number | undefined {
  return Number.isFinite(milliseconds) ? Math.round(milliseconds) : undefined;
}
