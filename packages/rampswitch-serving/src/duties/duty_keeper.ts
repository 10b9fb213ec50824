// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Takes, renews and gives up the lease of the duties, and lets the duties act
 * while it holds.
 *
 * @module
 */
import {
  type Clock,
  type Logger,
  type Random,
  repeat,
  type Repetition,
} from "rampswitch-utils";
import { eraOf, type ObjectStore, type StoredObject } from "rampswitch-store";
import type { LeaseNews } from "../membership/peer_news.ts";
import type { Fence } from "../model/cloud.ts";
import type { ServingMetrics } from "../observation/mod.ts";
import {
  decideTake,
  mayAct,
  takenLease,
  type DutyLease,
  type LeaseTimes,
  type SeenLease,
  type StoreHistory,
} from "./duty_lease.ts";
import {
  type FinalReports,
  type FinalUsage,
  tellsMore,
} from "./final_usage.ts";
import { decodeLease, encodeLease } from "./lease_codec.ts";
import type { LifeCounts } from "./usage_counter.ts";

/** Time between looks at the lease, in milliseconds. */
const TICK_MILLISECONDS = 250;

/** Wait before another look after a failed call to the store. */
const RETRY_MILLISECONDS = 500;

/** Spread of the first looks of candidates, in milliseconds. */
const CANDIDATE_SPREAD_MILLISECONDS = 400;

/** What the keeper asks of the duties. */
export interface Duties {
  /** What is final from now on: all that was, and what has become so. */
  finalUsage(known: FinalUsage): FinalUsage;
  /** Counts to keep with the lease until they are final. */
  counts(final: FinalUsage): LifeCounts;
  /** Takes in counts that a former holder kept. */
  restore(counts: LifeCounts): void;
  /** Tells of what a renewal has surely stored in place of what was before. */
  stored(final: FinalUsage, before: FinalUsage): void;
  /** Acts under the fence; `reports` are in the store. */
  act(reports: FinalReports, fence: Fence): Promise<void>;
}

/** What the keeper works with. */
export interface DutyKeeperParts {
  readonly host: string;
  readonly incarnation: string;
  readonly store: ObjectStore;
  /** Key of the lease object. */
  readonly leaseKey: string;
  readonly times: LeaseTimes;
  /** A steady clock. */
  readonly clock: Clock;
  /**
   * A clock by which no renewal is too young, also after a suspension. It may run
   * ahead, so that others' leases must not be timed by it.
   */
  readonly cautiousClock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly metrics: ServingMetrics;
  readonly duties: Duties;
  /** Whether this host hears enough of the others to hold the duties. */
  eligible(): boolean;
}

interface Held {
  lease: DutyLease;
  version: number;
  /** When each renewal that may still take effect was sent, by its number. */
  readonly sentAt: Map<number, number>;
  /** Number of the last renewal that was sent. */
  lastRenewal: number;
  /** On the cautious clock, as {@link sentAt}. */
  renewalSentAt: number;
  /** On the steady clock. */
  readonly mayActAt: number;
}

/** The lease of the duties at one host. */
export class DutyKeeper implements AsyncDisposable {
  readonly #parts: DutyKeeperParts;
  readonly #repetition: Repetition;
  #held: Held | undefined;
  #seen: SeenLease;
  /** The newest lease that could be read; another writer may spoil the object. */
  #lastRead: DutyLease | undefined;
  /** When a lease of each fence was first written. */
  readonly #takeSentAt = new Map<number, number>();
  #notBefore: number;
  #stopping = false;
  /** Fence that this host gave up. */
  #releasedFence: number | undefined;
  /** Highest fence that a peer told to have given up. */
  #heardReleased = -1;
  #acting = false;
  #cameBack = false;

  constructor(parts: DutyKeeperParts) {
    this.#parts = parts;
    this.#seen = { lease: undefined, version: undefined, since: -Infinity };
    this.#notBefore = parts.clock.now() + this.#spread();
    parts.store.onEra(() => {
      this.#cameBack = true;
    });
    this.#repetition = repeat(
      parts.clock,
      () => TICK_MILLISECONDS,
      () => this.#tick(),
    );
  }

  get #history(): StoreHistory {
    return { era: this.#parts.store.era, cameBack: this.#cameBack };
  }

  /** The lease to tell the peers about, while this host holds it. */
  get news(): LeaseNews | undefined {
    const held = this.#held;
    if (held !== undefined) {
      return { fence: held.lease.fence, version: held.version };
    }
    return this.#releasedFence === undefined
      ? undefined
      : { fence: this.#releasedFence, version: RELEASED_VERSION };
  }

  /** Takes in a holder's news. */
  heard(news: LeaseNews): void {
    const now = this.#parts.clock.now();
    if (news.version === RELEASED_VERSION) {
      if (news.fence <= this.#heardReleased) return;
      this.#heardReleased = news.fence;
      this.#seen = { ...this.#seen, since: -Infinity };
      this.#notBefore = now + this.#spread();
      return;
    }
    if (news.version <= (this.#seen.version ?? -1)) return;
    this.#seen = { lease: undefined, version: news.version, since: now };
  }

  /** Gives the lease up, for a planned stop. */
  async release(): Promise<void> {
    this.#stopping = true;
    const held = this.#held;
    if (held !== undefined) await this.#giveUp(held);
  }

  async #giveUp(held: Held): Promise<void> {
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

  async #tick(): Promise<void> {
    if (this.#stopping) return;
    const held = this.#held;
    const eligible = this.#parts.eligible();
    if (held !== undefined) {
      if (eligible) await this.#hold(held);
      else await this.#giveUp(held);
    } else if (eligible) await this.#consider();
  }

  async #consider(): Promise<void> {
    const { clock, times, store, leaseKey } = this.#parts;
    const now = clock.now();
    if (now < this.#notBefore) return;
    if (now - this.#seen.since < times.duration) {
      this.#notBefore = this.#seen.since + times.duration + this.#spread();
      return;
    }
    const read = await store.get(leaseKey);
    this.#notBefore = clock.now() + RETRY_MILLISECONDS + this.#spread();
    if (read.isErr || this.#stopping) return;
    this.#look(read.value);
    const decision = decideTake(this.#seen, this.#parts, {
      now: clock.now(),
      times,
      history: this.#history,
    });
    if (decision.kind === "take") await this.#take(decision.mayActAt);
  }

  /** Compares the object with what was last seen of it. */
  #look(object: StoredObject | undefined): void {
    const now = this.#parts.clock.now();
    const lease = decodeLease(object?.value);
    this.#lastRead = lease ?? this.#lastRead;
    const same = object?.version === this.#seen.version;
    this.#seen = {
      lease,
      version: object?.version,
      since: same && Number.isFinite(this.#seen.since) ? this.#seen.since : now,
    };
  }

  async #take(mayActAt: number): Promise<void> {
    const { store, leaseKey, clock, cautiousClock, logger, metrics } =
      this.#parts;
    const lease = takenLease(this.#seen, this.#parts, {
      lastRead: this.#lastRead,
      history: this.#history,
    });
    // An earlier write of the same lease may be the one that takes effect.
    const sentAt = this.#takeSentAt.get(lease.fence) ?? cautiousClock.now();
    this.#takeSentAt.set(lease.fence, sentAt);
    const put = await store.put(leaseKey, encodeLease(lease), {
      expected: this.#seen.version ?? "absent",
    });
    if (this.#stopping) return;
    const version = put.isOk
      ? put.value.version
      : await this.#versionIfOwn(lease);
    // A fence is good in its era alone.
    if (version === undefined || eraOf(version) !== lease.era) {
      this.#notBefore = clock.now() + RETRY_MILLISECONDS;
      return;
    }
    this.#lastRead = lease;
    this.#parts.duties.restore(lease.counts);
    this.#held = {
      lease,
      version,
      sentAt: new Map(),
      lastRenewal: lease.renewals,
      renewalSentAt: sentAt,
      mayActAt,
    };
    metrics.event("duties_taken");
    logger.info("duties taken", {
      fence: lease.fence,
      from: this.#seen.lease?.holder,
      formerLease: formerLeaseState(this.#seen),
      finalWindows: describedRanges(lease.final),
      actsInMilliseconds: Math.round(Math.max(0, mayActAt - clock.now())),
    });
  }

  /** Whether a write without a clear answer took effect after all. */
  async #versionIfOwn(lease: DutyLease): Promise<number | undefined> {
    const read = await this.#parts.store.get(this.#parts.leaseKey);
    if (read.isErr || read.value === undefined) return undefined;
    const stored = decodeLease(read.value.value);
    const own =
      stored?.incarnation === lease.incarnation && stored.fence === lease.fence;
    return own ? read.value.version : undefined;
  }

  async #hold(held: Held): Promise<void> {
    const { cautiousClock, times, duties } = this.#parts;
    const now = cautiousClock.now();
    const final = duties.finalUsage(held.lease.final);
    if (
      tellsMore(final, held.lease.final) ||
      now - held.renewalSentAt >= times.renewal
    ) {
      await this.#renew(held, final);
    }
    this.#act();
  }

  async #renew(held: Held, final: FinalUsage): Promise<void> {
    const { store, leaseKey, cautiousClock, metrics } = this.#parts;
    held.lastRenewal += 1;
    const renewals = held.lastRenewal;
    const counts = this.#parts.duties.counts(final);
    const { era } = store;
    const lease = { ...held.lease, era, final, renewals, counts };
    const sentAt = cautiousClock.now();
    held.sentAt.set(renewals, sentAt);
    const put = await store.put(leaseKey, encodeLease(lease), {
      expected: held.version,
    });
    if (put.isOk) {
      this.#renewed(held, { lease, version: put.value.version, sentAt });
      return;
    }
    metrics.event(`lease_renewal_${put.error.kind}`);
    if (put.error.kind === "unavailable") return;
    await this.#settle(held);
  }

  /**
   * Reads the object back after a renewal without a clear answer. What it holds
   * may be an earlier renewal that took effect late; others count from then, so
   * this host counts from when that one was sent.
   */
  async #settle(held: Held): Promise<void> {
    const { store, leaseKey } = this.#parts;
    const read = await store.get(leaseKey);
    if (read.isErr || read.value === undefined) return;
    const stored = decodeLease(read.value.value);
    const own =
      stored?.incarnation === held.lease.incarnation &&
      stored.fence === held.lease.fence;
    const sentAt = held.sentAt.get(stored?.renewals ?? -1);
    if (!own) this.#lose(stored);
    else if (stored.era !== store.era) {
      this.#goOnInEra(held, stored, read.value.version);
    } else if (read.value.version !== held.version) {
      this.#renewed(held, {
        lease: stored,
        version: read.value.version,
        sentAt: sentAt ?? held.renewalSentAt,
      });
    }
  }

  /**
   * Goes on from a copy of its own lease. While this host may act, nobody can have
   * followed it; what it knows to be final is stored with the next renewal. Whoever
   * follows it before that finds a lease of a former era.
   */
  #goOnInEra(held: Held, copy: DutyLease, version: number): void {
    const { cautiousClock, times, metrics } = this.#parts;
    const age = cautiousClock.now() - held.renewalSentAt;
    if (age >= times.acting) {
      this.#lose(copy);
      return;
    }
    metrics.event("lease_goes_on_in_era");
    held.version = version;
  }

  #renewed(
    held: Held,
    renewal: { lease: DutyLease; version: number; sentAt: number },
  ): void {
    this.#lastRead = renewal.lease;
    this.#parts.duties.stored(renewal.lease.final, held.lease.final);
    held.lease = renewal.lease;
    held.version = renewal.version;
    held.renewalSentAt = renewal.sentAt;
    [...held.sentAt.keys()]
      .filter((number) => number <= renewal.lease.renewals)
      .forEach((number) => held.sentAt.delete(number));
  }

  #lose(stored: DutyLease | undefined): void {
    this.#held = undefined;
    this.#seen = {
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
  #act(): void {
    const held = this.#held;
    if (held === undefined || this.#acting || !this.#mayActNow()) return;
    this.#acting = true;
    void this.#parts.duties
      .act(held.lease.final.reports, {
        holder: this.#parts.host,
        fence: held.lease.fence,
      })
      .finally(() => {
        this.#acting = false;
      });
  }

  #mayActNow(): boolean {
    const { clock, cautiousClock, times } = this.#parts;
    const held = this.#held;
    const now = clock.now();
    const renewalAge = cautiousClock.now() - (held?.renewalSentAt ?? -Infinity);
    return held !== undefined && mayAct(held, { now, renewalAge, times });
  }

  /** Whether a call of the duties may be sent at this moment. */
  get mayAct(): boolean {
    return this.#mayActNow();
  }

  #spread(): number {
    return CANDIDATE_SPREAD_MILLISECONDS * this.#parts.random.next();
  }
}

/** Store version that tells the peers that the lease was given up. */
const RELEASED_VERSION = -1;

/** The ranges of final windows, for the log. */
function describedRanges({ windows }: FinalUsage): string {
  return windows.map(([first, last]) => `${first}-${last}`).join(",");
}

/** What a host knew of the lease object that it took over, for the log. */
function formerLeaseState({ lease, version }: SeenLease): string {
  if (lease !== undefined) return "read";
  return version === undefined ? "none" : "unreadable";
}
