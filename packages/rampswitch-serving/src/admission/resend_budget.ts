// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The fleet's resend budget, split so that no host has to query another: in a
 * sliding window each host may resend a share of the requests that it received
 * itself, and an even part of the fixed allowance.
 *
 * A host that was killed has lost the count of its resends and the number of
 * hosts. So a new incarnation earns its part gradually over the first window,
 * and a fleet counts as large as it was recently.
 *
 * @module
 */

/** Terms of the fleet's resend budget. */
export interface ResendTerms {
  /** Resends allowed for each request of the window. */
  readonly share: number;
  /** Further resends that the whole fleet may make in each window. */
  readonly allowance: number;
  readonly windowMilliseconds: number;
}

/** The purpose of a resend. */
export type ResendKind =
  /** The request is sent again. */
  | "repeat"
  /**
   * A stopped stream was turned away; without a further send the stream ends.
   */
  | "continuation";

/** One host's part of the resend budget in the window that ends now. */
export interface ResendBudgetState {
  readonly spent: number;
  /** The whole part; ordinary resends stop before it is used up. */
  readonly allowed: number;
}

/** The time, and the number of hosts that a host counts, including itself. */
export interface ResendContext {
  readonly now: number;
  /** `undefined` until this incarnation has read the list of hosts. */
  readonly hosts: number | undefined;
}

/**
 * Share of the budget that is used. The remainder covers hosts that were
 * unknown when the allowance was split, and runs that the platform counts
 * differently. A stopped stream may use more, since it breaks if it can't
 * continue. The send that first carries its KV-cache memory is the same run to
 * the platform, and is not charged.
 */
const USABLE_SHARES: Readonly<Record<ResendKind, number>> = {
  repeat: 0.8,
  continuation: 0.95,
};

/**
 * Sends that are allowed in a window however little was earned, so that a host
 * that has just started can still resend one request, and continue one stream
 * besides.
 */
const MINIMUM_SENDS: Readonly<Record<ResendKind, number>> = {
  repeat: 1,
  continuation: 2,
};

/**
 * Buckets into which a window is divided. The oldest counts with all its
 * resends and none of its requests, so that the coarse count never allows more
 * than an exact one.
 */
const BUCKETS_PER_WINDOW = 20;

/**
 * Minimum number of hosts that an incarnation assumes in its first window. All
 * hosts may have started at once, with a list that holds few of them, and each
 * would treat a large part of the allowance as its own.
 */
const MINIMUM_HOSTS_IN_FIRST_WINDOW = 32;

/**
 * Time for which a fleet counts as no smaller than it was, in milliseconds.
 * Several times the longest network cut during which hosts continue serving.
 */
const FLEET_SIZE_RETENTION_MILLISECONDS = 60_000;

/**
 * Share of its budget that an incarnation uses in its first window, while
 * resends of the previous incarnation may still count in the fleet's window.
 */
const FIRST_WINDOW_SHARE = 0.5;

/** Counts of one part of the window. */
interface Bucket {
  readonly from: number;
  readonly to: number;
  requests: number;
  repeats: number;
}

/**
 * One host's part of the resend budget, counted separately for each service.
 */
export class ResendBudget {
  #terms: ResendTerms;
  #startedAt: number | undefined;
  readonly #services = new Map<string, readonly Bucket[]>();
  readonly #recentFleetSize = new RecentFleetSize(
    FLEET_SIZE_RETENTION_MILLISECONDS,
  );

  /**
   * `startedAt` is the start of the incarnation; by default the first request.
   */
  constructor(terms: ResendTerms, startedAt?: number) {
    this.#terms = terms;
    this.#startedAt = startedAt;
  }

  /** Changes the terms; what was spent before still counts. */
  setTerms(terms: ResendTerms): void {
    this.#terms = terms;
  }

  /**
   * Counts a caller's request for a service, and records the number of hosts.
   */
  recordRequest(service: string, { now, hosts }: ResendContext): void {
    this.#startedAt ??= now;
    this.#recentFleetSize.recordSize(hosts, now);
    this.#newestBucket(service, now).requests += 1;
  }

  /** Spends one resend, if this host's part of the budget allows it. */
  spend(
    service: string,
    context: ResendContext & { readonly kind?: ResendKind },
  ): boolean {
    this.#startedAt ??= context.now;
    this.#recentFleetSize.recordSize(context.hosts, context.now);
    if (!this.allows(service, context)) return false;
    this.#newestBucket(service, context.now).repeats += 1;
    return true;
  }

  /** Whether this host's part of the budget allows one resend; changes nothing. */
  allows(
    service: string,
    context: ResendContext & { readonly kind?: ResendKind },
  ): boolean {
    const { spent, allowed } = this.state(service, context);
    const kind = context.kind ?? "repeat";
    const usable = USABLE_SHARES[kind] * allowed;
    const minimum = Math.min(MINIMUM_SENDS[kind], this.#terms.allowance);
    return spent + 1 <= Math.max(minimum, usable);
  }

  /** The resends that are spent and allowed now; changes nothing. */
  state(service: string, { now, hosts }: ResendContext): ResendBudgetState {
    const oldest = now - this.#terms.windowMilliseconds;
    const buckets = this.#services.get(service) ?? [];
    const requests = sum(
      buckets.filter(({ from }) => from > oldest),
      "requests",
    );
    const spent = sum(
      buckets.filter(({ to }) => to > oldest),
      "repeats",
    );
    const fleetSize = this.#recentFleetSize.size(hosts, now);
    const whole =
      this.#terms.share * requests + this.#allowancePart(fleetSize, now);
    return { spent, allowed: this.#usableShare(now) * whole };
  }

  /** Age of this incarnation as a share of the window, at most 1. */
  #elapsedShare(now: number): number {
    const age = now - (this.#startedAt ?? now);
    return Math.min(1, age / this.#terms.windowMilliseconds);
  }

  /** Share of its budget that this incarnation uses. */
  #usableShare(now: number): number {
    return this.#elapsedShare(now) < 1 ? FIRST_WINDOW_SHARE : 1;
  }

  /** The part of the fixed allowance that this host has earned. */
  #allowancePart(fleetSize: number | undefined, now: number): number {
    const elapsed = this.#elapsedShare(now);
    // A host that can't read the list for a whole window is cut off, and may be
    // one of many.
    if (fleetSize === undefined && elapsed >= 1) return 0;
    const minimumHosts = elapsed < 1 ? MINIMUM_HOSTS_IN_FIRST_WINDOW : 1;
    return (
      (elapsed * this.#terms.allowance) / Math.max(minimumHosts, fleetSize ?? 1)
    );
  }

  #newestBucket(service: string, now: number): Bucket {
    const buckets = this.#services.get(service) ?? [];
    const newest = buckets.at(-1);
    if (newest !== undefined && now < newest.to) return newest;
    const { windowMilliseconds } = this.#terms;
    const oldest = now - windowMilliseconds;
    const to = now + windowMilliseconds / BUCKETS_PER_WINDOW;
    const added: Bucket = { from: now, to, requests: 0, repeats: 0 };
    const recent = buckets.filter((bucket) => bucket.to > oldest);
    this.#services.set(service, [...recent, added]);
    return added;
  }
}

interface FleetSizeSample {
  readonly hosts: number;
  readonly at: number;
}

/** The largest number of hosts that was known recently. */
class RecentFleetSize {
  readonly #retentionMilliseconds: number;
  /** From the oldest and largest to the newest and smallest. */
  #samples: readonly FleetSizeSample[] = [];

  constructor(retentionMilliseconds: number) {
    this.#retentionMilliseconds = retentionMilliseconds;
  }

  /** Records how many hosts are known now. */
  recordSize(hosts: number | undefined, now: number): void {
    if (hosts === undefined) return;
    const larger = this.#recent(now).filter((sample) => sample.hosts > hosts);
    this.#samples = [...larger, { hosts, at: now }];
  }

  /** Number of hosts to assume; `undefined` if no recent number is known. */
  size(hosts: number | undefined, now: number): number | undefined {
    const recent = this.#recent(now)[0]?.hosts;
    if (hosts === undefined) return recent;
    return Math.max(1, hosts, recent ?? 1);
  }

  #recent(now: number): readonly FleetSizeSample[] {
    const oldest = now - this.#retentionMilliseconds;
    return this.#samples.filter(({ at }) => at > oldest);
  }
}

function sum(
  buckets: readonly Bucket[],
  counted: "requests" | "repeats",
): number {
  return buckets.reduce((total, bucket) => total + bucket[counted], 0);
}
