// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The fleet's budget of repeated sends, split so that no host has to ask: each
 * host may repeat a share of the requests that it took itself in a sliding
 * window, and an even part of the fixed allowance.
 *
 * A host that was killed no longer knows what it spent, nor how many others
 * there are. So a new life earns its part by and by, and takes a fleet to be as
 * large as it was lately.
 *
 * @module
 */

/** Terms of the fleet's budget. */
export interface ResendTerms {
  /** Repeats allowed for each request of the window. */
  readonly share: number;
  /** Repeats of the whole fleet allowed on top in each window. */
  readonly allowance: number;
  readonly windowMilliseconds: number;
}

/** What a send beyond a request's first is for. */
export type ResendKind =
  /** The request itself, once more. */
  | "repeat"
  /** A stopped stream that was turned away; without it the stream ends. */
  | "continuation";

/** One host's part of the budget in the window that ends now. */
export interface ResendState {
  readonly spent: number;
  /** The whole part; ordinary repeats stop before it is used up. */
  readonly allowed: number;
}

/** When a host asks, and how many hosts it counts, itself included. */
export interface ResendAsked {
  readonly now: number;
  /** `undefined` before this life has read the list of hosts. */
  readonly hosts: number | undefined;
}

/**
 * Part of the budget that is used; the rest covers hosts that were not known
 * when the allowance was split, and runs that the platform counts otherwise.
 * A stopped stream may use more, since it breaks where it can't go on. The send
 * that first carries its memory is the same run to the platform, and costs none.
 */
const USED_SHARES: Readonly<Record<ResendKind, number>> = {
  repeat: 0.8,
  continuation: 0.95,
};

/**
 * Sends of a window that are allowed however little was earned, so that a host
 * that has just started can still help one request, and one stream besides.
 */
const LEAST_PART: Readonly<Record<ResendKind, number>> = {
  repeat: 1,
  continuation: 2,
};

/**
 * Parts of the window that are counted by themselves. The oldest counts with
 * all its repeats and none of its requests, so a coarse count allows less.
 */
const BUCKETS_EACH_WINDOW = 20;

/**
 * Hosts that a host takes there to be at least in its first window. All may have
 * started at once, with a list that holds few of them, and each would take a
 * large part for its own.
 */
const HOSTS_AT_START = 32;

/**
 * Time for which a fleet is not taken to be smaller than it was, in
 * milliseconds: several times the longest cut that hosts serve through.
 */
const HOSTS_REMEMBERED_MILLISECONDS = 60_000;

/**
 * Part of its budget that a life uses in its first window, when repeats of the
 * life before may still stand in the fleet's window.
 */
const NEW_LIFE_SHARE = 0.5;

interface Bucket {
  readonly from: number;
  readonly to: number;
  requests: number;
  repeats: number;
}

/** One host's part of the budget, for each service by itself. */
export class ResendBudget {
  #terms: ResendTerms;
  #startedAt: number | undefined;
  readonly #services = new Map<string, readonly Bucket[]>();
  readonly #fleet = new RecentSize(HOSTS_REMEMBERED_MILLISECONDS);

  /** A life that began at `startedAt`, or else with the first request. */
  constructor(terms: ResendTerms, startedAt?: number) {
    this.#terms = terms;
    this.#startedAt = startedAt;
  }

  /** Changes the fleet's terms. */
  setTerms(terms: ResendTerms): void {
    this.#terms = terms;
  }

  /** Notes a caller's request for a service, and the hosts known with it. */
  requested(service: string, { now, hosts }: ResendAsked): void {
    this.#startedAt ??= now;
    this.#fleet.heard(hosts, now);
    this.#newestBucket(service, now).requests += 1;
  }

  /** Spends one send beyond a request's first, if this host's part allows. */
  spend(
    service: string,
    asked: ResendAsked & { readonly kind?: ResendKind },
  ): boolean {
    this.#startedAt ??= asked.now;
    this.#fleet.heard(asked.hosts, asked.now);
    const { spent, allowed } = this.state(service, asked);
    const kind = asked.kind ?? "repeat";
    const used = USED_SHARES[kind] * allowed;
    const least = Math.min(LEAST_PART[kind], this.#terms.allowance);
    if (spent + 1 > Math.max(least, used)) return false;
    this.#newestBucket(service, asked.now).repeats += 1;
    return true;
  }

  /** What is spent and allowed now; changes nothing. */
  state(service: string, { now, hosts }: ResendAsked): ResendState {
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
    const known = this.#fleet.size(hosts, now);
    const whole = this.#terms.share * requests + this.#part(known, now);
    return { spent, allowed: this.#usable(now) * whole };
  }

  /** Share of the window that this life has lasted, at most 1. */
  #lived(now: number): number {
    const age = now - (this.#startedAt ?? now);
    return Math.min(1, age / this.#terms.windowMilliseconds);
  }

  /** Part of the budget that this life uses. */
  #usable(now: number): number {
    return this.#lived(now) < 1 ? NEW_LIFE_SHARE : 1;
  }

  /** This host's part of the fixed allowance, as far as it is earned. */
  #part(known: number | undefined, now: number): number {
    const lived = this.#lived(now);
    // Who reads no list for that long is cut off, and may be one of many.
    if (known === undefined && lived >= 1) return 0;
    const least = lived < 1 ? HOSTS_AT_START : 1;
    return (lived * this.#terms.allowance) / Math.max(least, known ?? 1);
  }

  #newestBucket(service: string, now: number): Bucket {
    const buckets = this.#services.get(service) ?? [];
    const newest = buckets.at(-1);
    if (newest !== undefined && now < newest.to) return newest;
    const { windowMilliseconds } = this.#terms;
    const oldest = now - windowMilliseconds;
    const to = now + windowMilliseconds / BUCKETS_EACH_WINDOW;
    const added: Bucket = { from: now, to, requests: 0, repeats: 0 };
    const kept = buckets.filter((bucket) => bucket.to > oldest);
    this.#services.set(service, [...kept, added]);
    return added;
  }
}

interface HeardSize {
  readonly hosts: number;
  readonly at: number;
}

/** The largest number of hosts that was known lately. */
class RecentSize {
  readonly #rememberedMilliseconds: number;
  /** From the oldest and largest to the newest and smallest. */
  #heard: readonly HeardSize[] = [];

  constructor(rememberedMilliseconds: number) {
    this.#rememberedMilliseconds = rememberedMilliseconds;
  }

  /** Notes how many hosts are known now. */
  heard(hosts: number | undefined, now: number): void {
    if (hosts === undefined) return;
    const larger = this.#recent(now).filter((heard) => heard.hosts > hosts);
    this.#heard = [...larger, { hosts, at: now }];
  }

  /** Hosts to count with; `undefined` where none were ever known. */
  size(hosts: number | undefined, now: number): number | undefined {
    const recent = this.#recent(now)[0]?.hosts;
    if (hosts === undefined) return recent;
    return Math.max(1, hosts, recent ?? 1);
  }

  #recent(now: number): readonly HeardSize[] {
    const oldest = now - this.#rememberedMilliseconds;
    return this.#heard.filter(({ at }) => at > oldest);
  }
}

function sum(
  buckets: readonly Bucket[],
  counted: "requests" | "repeats",
): number {
  return buckets.reduce((total, bucket) => total + bucket[counted], 0);
}
