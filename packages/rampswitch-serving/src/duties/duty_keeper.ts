// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Takes, renews and gives up the lease of the duties, and lets the duties act
 * while this host holds it.
 *
 * @module
 */
import {
  type Clock,
  failureReporter,
  type Logger,
  type Random,
  repeat,
  type Repetition,
  runInBackground,
} from "rampswitch-utils";
import { eraOf, type ObjectStore, type StoredObject } from "rampswitch-store";
import type { LeaseUpdate } from "../membership/peer_messages.ts";
import type { Fence } from "../model/cloud.ts";
import type { ServingMetrics } from "../observation/mod.ts";
import {
  decideTake,
  canAct,
  newLease,
  type DutyLease,
  type LeaseTimes,
  type ObservedLease,
  type StoreHistory,
} from "./duty_lease.ts";
import {
  type FinalReports,
  type FinalUsage,
  shouldStoreAtOnce,
} from "./final_usage.ts";
import { decodeLease, encodeLease } from "./lease_codec.ts";
import type { IncarnationCounts } from "./usage_counter.ts";

/** Time between checks of the lease, in milliseconds. */
const LEASE_CHECK_INTERVAL_MILLISECONDS = 250;

/**
 * Wait before the next check after a failed call to the store, in milliseconds.
 */
const STORE_RETRY_MILLISECONDS = 500;

/** Maximum random delay of a candidate's check, in milliseconds. */
const CANDIDATE_JITTER_MILLISECONDS = 400;

/** The duties as the keeper calls them. */
export interface Duties {
  /**
   * Returns the final usage: all that was final, and all that has become so.
   */
  finalUsage(known: FinalUsage): FinalUsage;
  /** Returns the counts to store with the lease until they are final. */
  openCounts(final: FinalUsage): IncarnationCounts;
  /** Restores counts that a former holder stored. */
  restoreCounts(counts: IncarnationCounts): void;
  /**
   * Notifies of usage that a renewal has certainly stored in place of `before`.
   */
  onStored(final: FinalUsage, before: FinalUsage): void;
  /** Acts under the fence; `reports` are in the store. */
  perform(reports: FinalReports, fence: Fence): Promise<void>;
}

/** Parts that the keeper works with. */
export interface DutyKeeperParts {
  readonly host: string;
  readonly incarnation: string;
  readonly store: ObjectStore;
  /** Key of the lease object. */
  readonly leaseKey: string;
  readonly times: LeaseTimes;
  /** A monotonic clock. */
  readonly clock: Clock;
  /**
   * A clock that never shows a renewal as too young, also after a suspension.
   * It may run ahead, so it must not time the leases of others.
   */
  readonly cautiousClock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly metrics: ServingMetrics;
  readonly duties: Duties;
  /**
   * Whether this host receives enough of the others' updates to hold the
   * duties.
   */
  isEligible(): boolean;
}

interface HeldLease {
  lease: DutyLease;
  version: number;
  /** When each renewal that may still take effect was sent, by its number. */
  readonly sentAtByRenewal: Map<number, number>;
  /** Number of the last renewal that was sent. */
  lastRenewal: number;
  /** On the cautious clock, as {@link sentAtByRenewal}. */
  renewalSentAt: number;
  /** On the monotonic clock. */
  readonly canActAt: number;
}

/** The lease of the duties at one host. */
export class DutyKeeper implements AsyncDisposable {
  readonly #parts: DutyKeeperParts;
  readonly #repetition: Repetition;
  #held: HeldLease | undefined;
  #observed: ObservedLease;
  /**
   * The newest readable lease; another writer may make the object unreadable.
   */
  #lastRead: DutyLease | undefined;
  /** When a lease of each fence was first written. */
  readonly #takeSentAt = new Map<number, number>();
  #nextCheckAt: number;
  #isStopping = false;
  /** Fence that this host gave up. */
  #releasedFence: number | undefined;
  /** Highest fence that a peer reported to have given up. */
  #receivedReleasedFence = -1;
  #isPerforming = false;
  #wasRestored = false;

  constructor(parts: DutyKeeperParts) {
    this.#parts = parts;
    this.#observed = { lease: undefined, version: undefined, since: -Infinity };
    this.#nextCheckAt = parts.clock.now() + this.#jitter();
    parts.store.onEra(() => {
      this.#wasRestored = true;
    });
    this.#repetition = repeat(
      parts.clock,
      () => LEASE_CHECK_INTERVAL_MILLISECONDS,
      {
        name: "lease of the duties",
        reportFailure: failureReporter(parts),
        run: () => this.#checkLease(),
      },
    );
  }

  get #history(): StoreHistory {
    return { era: this.#parts.store.era, wasRestored: this.#wasRestored };
  }

  /** The lease to report to the peers: held by this host, or given up by it. */
  get leaseUpdate(): LeaseUpdate | undefined {
    const held = this.#held;
    if (held !== undefined) {
      return { fence: held.lease.fence, version: held.version };
    }
    return this.#releasedFence === undefined
      ? undefined
      : { fence: this.#releasedFence, version: RELEASED_LEASE_VERSION };
  }

  /** Receives a holder's update about its lease. */
  receiveLease(update: LeaseUpdate): void {
    const now = this.#parts.clock.now();
    if (update.version === RELEASED_LEASE_VERSION) {
      if (update.fence <= this.#receivedReleasedFence) return;
      this.#receivedReleasedFence = update.fence;
      this.#observed = { ...this.#observed, since: -Infinity };
      this.#nextCheckAt = now + this.#jitter();
      return;
    }
    if (update.version <= (this.#observed.version ?? -1)) return;
    this.#observed = { lease: undefined, version: update.version, since: now };
  }

  /** Gives the lease up, for a planned stop. */
  async release(): Promise<void> {
    this.#isStopping = true;
    const held = this.#held;
    if (held !== undefined) await this.#releaseLease(held);
  }

  async #releaseLease(held: HeldLease): Promise<void> {
    this.#held = undefined;
    const { store, leaseKey, logger } = this.#parts;
    const value = encodeLease({ ...held.lease, released: true });
    const put = await store.put(leaseKey, value, { expected: held.version });
    this.#releasedFence = held.lease.fence;
    logger.info("duties given up", {
      fence: held.lease.fence,
      stored: put.isOk,
    });
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#repetition[Symbol.asyncDispose]();
  }

  async #checkLease(): Promise<void> {
    if (this.#isStopping) return;
    const held = this.#held;
    const isEligible = this.#parts.isEligible();
    if (held !== undefined) {
      if (isEligible) await this.#keepLease(held);
      else await this.#releaseLease(held);
    } else if (isEligible) await this.#considerTaking();
  }

  async #considerTaking(): Promise<void> {
    const { clock, times, store, leaseKey } = this.#parts;
    const now = clock.now();
    if (now < this.#nextCheckAt) return;
    if (now - this.#observed.since < times.duration) {
      this.#nextCheckAt =
        this.#observed.since + times.duration + this.#jitter();
      return;
    }
    const read = await store.get(leaseKey);
    this.#nextCheckAt = clock.now() + STORE_RETRY_MILLISECONDS + this.#jitter();
    if (read.isErr || this.#isStopping) return;
    this.#observe(read.value);
    const decision = decideTake(this.#observed, this.#parts, {
      now: clock.now(),
      times,
      history: this.#history,
    });
    if (decision.kind === "take") await this.#take(decision.canActAt);
  }

  /** Compares the object with its last observed version. */
  #observe(object: StoredObject | undefined): void {
    const now = this.#parts.clock.now();
    const lease = decodeLease(object?.value);
    this.#lastRead = lease ?? this.#lastRead;
    const isSameVersion = object?.version === this.#observed.version;
    this.#observed = {
      lease,
      version: object?.version,
      since:
        isSameVersion && Number.isFinite(this.#observed.since)
          ? this.#observed.since
          : now,
    };
  }

  async #take(canActAt: number): Promise<void> {
    const { store, leaseKey, clock, cautiousClock, logger, metrics } =
      this.#parts;
    const lease = newLease(this.#observed, this.#parts, {
      lastRead: this.#lastRead,
      history: this.#history,
    });
    // An earlier write of the same lease may be the one that takes effect.
    const sentAt = this.#takeSentAt.get(lease.fence) ?? cautiousClock.now();
    this.#takeSentAt.set(lease.fence, sentAt);
    const put = await store.put(leaseKey, encodeLease(lease), {
      expected: this.#observed.version ?? "absent",
    });
    if (this.#isStopping) return;
    const version = put.isOk
      ? put.value.version
      : await this.#versionIfOwnLease(lease);
    // A fence is valid only in its era.
    if (version === undefined || eraOf(version) !== lease.era) {
      this.#nextCheckAt = clock.now() + STORE_RETRY_MILLISECONDS;
      return;
    }
    this.#lastRead = lease;
    this.#parts.duties.restoreCounts(lease.counts);
    this.#held = {
      lease,
      version,
      sentAtByRenewal: new Map(),
      lastRenewal: lease.renewals,
      renewalSentAt: sentAt,
      canActAt,
    };
    metrics.event("duties_taken");
    logger.info("duties taken", {
      fence: lease.fence,
      from: this.#observed.lease?.holder,
      formerLease: formerLeaseState(this.#observed),
      finalWindows: formatRanges(lease.final),
      actsInMilliseconds: Math.round(Math.max(0, canActAt - clock.now())),
    });
  }

  /**
   * Returns the version of a write without a clear answer, if it took effect.
   */
  async #versionIfOwnLease(lease: DutyLease): Promise<number | undefined> {
    const read = await this.#parts.store.get(this.#parts.leaseKey);
    if (read.isErr || read.value === undefined) return undefined;
    const stored = decodeLease(read.value.value);
    const isOwn =
      stored?.incarnation === lease.incarnation && stored.fence === lease.fence;
    return isOwn ? read.value.version : undefined;
  }

  async #keepLease(held: HeldLease): Promise<void> {
    const { cautiousClock, times, duties } = this.#parts;
    const now = cautiousClock.now();
    const final = duties.finalUsage(held.lease.final);
    if (
      shouldStoreAtOnce(final, held.lease.final) ||
      now - held.renewalSentAt >= times.renewal
    ) {
      await this.#renew(held, final);
    }
    this.#performDuties();
  }

  async #renew(held: HeldLease, final: FinalUsage): Promise<void> {
    const { store, leaseKey, cautiousClock, metrics } = this.#parts;
    held.lastRenewal += 1;
    const renewals = held.lastRenewal;
    const counts = this.#parts.duties.openCounts(final);
    const { era } = store;
    const lease = { ...held.lease, era, final, renewals, counts };
    const sentAt = cautiousClock.now();
    held.sentAtByRenewal.set(renewals, sentAt);
    const put = await store.put(leaseKey, encodeLease(lease), {
      expected: held.version,
    });
    if (put.isOk) {
      this.#applyRenewal(held, { lease, version: put.value.version, sentAt });
      return;
    }
    metrics.event(`lease_renewal_${put.error.kind}`);
    if (put.error.kind === "unavailable") return;
    await this.#reconcile(held);
  }

  /**
   * Reads the object back after a renewal without a clear answer. The object
   * may hold an earlier renewal that took effect late. Other hosts count the
   * lease's time from then, so this host counts from when that renewal was
   * sent.
   */
  async #reconcile(held: HeldLease): Promise<void> {
    const { store, leaseKey } = this.#parts;
    const read = await store.get(leaseKey);
    if (read.isErr || read.value === undefined) return;
    const stored = decodeLease(read.value.value);
    const isOwn =
      stored?.incarnation === held.lease.incarnation &&
      stored.fence === held.lease.fence;
    const sentAt = held.sentAtByRenewal.get(stored?.renewals ?? -1);
    if (!isOwn) this.#loseLease(stored);
    else if (stored.era !== store.era) {
      this.#continueInEra(held, stored, read.value.version);
    } else if (read.value.version !== held.version) {
      this.#applyRenewal(held, {
        lease: stored,
        version: read.value.version,
        sentAt: sentAt ?? held.renewalSentAt,
      });
    }
  }

  /**
   * Continues from a copy of its own lease after a restore of the store. While
   * this host may act, no other host can have taken the lease. What this host
   * knows to be final is stored with the next renewal. A host that takes the
   * lease before that finds a lease of a former era.
   */
  #continueInEra(held: HeldLease, copy: DutyLease, version: number): void {
    const { cautiousClock, times, metrics } = this.#parts;
    const age = cautiousClock.now() - held.renewalSentAt;
    if (age >= times.acting) {
      this.#loseLease(copy);
      return;
    }
    metrics.event("lease_goes_on_in_era");
    held.version = version;
  }

  #applyRenewal(
    held: HeldLease,
    renewal: { lease: DutyLease; version: number; sentAt: number },
  ): void {
    this.#lastRead = renewal.lease;
    this.#parts.duties.onStored(renewal.lease.final, held.lease.final);
    held.lease = renewal.lease;
    held.version = renewal.version;
    held.renewalSentAt = renewal.sentAt;
    [...held.sentAtByRenewal.keys()]
      .filter((number) => number <= renewal.lease.renewals)
      .forEach((number) => held.sentAtByRenewal.delete(number));
  }

  #loseLease(stored: DutyLease | undefined): void {
    this.#held = undefined;
    this.#observed = {
      lease: stored,
      version: undefined,
      since: this.#parts.clock.now(),
    };
    this.#parts.metrics.event("duties_lost");
    this.#parts.logger.warn("duties lost", {
      holder: stored?.holder,
      fence: stored?.fence,
    });
  }

  /** Lets the duties act beside renewals, one round at a time. */
  #performDuties(): void {
    const held = this.#held;
    if (held === undefined || this.#isPerforming || !this.#canActNow()) return;
    this.#isPerforming = true;
    runInBackground("duties", this.#parts, () => this.#perform(held.lease));
  }

  async #perform({ final, fence }: DutyLease): Promise<void> {
    try {
      const { host, duties } = this.#parts;
      await duties.perform(final.reports, { holder: host, fence });
    } finally {
      this.#isPerforming = false;
    }
  }

  #canActNow(): boolean {
    const { clock, cautiousClock, times } = this.#parts;
    const held = this.#held;
    const now = clock.now();
    const renewalAge = cautiousClock.now() - (held?.renewalSentAt ?? -Infinity);
    return held !== undefined && canAct(held, { now, renewalAge, times });
  }

  /** Whether a call of the duties may be sent now. */
  get canAct(): boolean {
    return this.#canActNow();
  }

  #jitter(): number {
    return CANDIDATE_JITTER_MILLISECONDS * this.#parts.random.next();
  }
}

/** Store version that reports to the peers that the lease was given up. */
const RELEASED_LEASE_VERSION = -1;

/** Formats the ranges of final windows for the log. */
function formatRanges({ windows }: FinalUsage): string {
  return windows.map(([first, last]) => `${first}-${last}`).join(",");
}

/** Describes the lease object that a host took over, for the log. */
function formerLeaseState({ lease, version }: ObservedLease): string {
  if (lease !== undefined) return "read";
  return version === undefined ? "none" : "unreadable";
}
