// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Limits of workspaces over all hosts together, without a call per request.
 * Each host keeps a token bucket per workspace for the whole fleet: it takes
 * out what it admits itself at once, and what its peers admitted as soon as
 * they tell. The level may fall below zero; what was admitted too much while
 * news travelled is paid back before anything more is admitted.
 *
 * @module
 */
import { MOST_DIRECT_HOSTS } from "../membership/relay_plan.ts";
import type { Random } from "rampswitch-utils";
import type { Workspace } from "../model/configuration.ts";

/**
 * Multiples of its even share of a level that a host may admit within the lag
 * of the news. Balancers spread a workspace's callers unevenly over the hosts,
 * and callers come in groups. While the limit itself is not used up, one host
 * may take nearly all; in the tolerated part above it, hosts go slowly.
 */
const UNEVEN_FACTORS = {
  withinLimit: 8,
  tolerated: 2,
  /** News takes longer there, and more hosts admit meanwhile. */
  toleratedInLargeFleet: 1.5,
};

/**
 * Least part of a level that a host may admit within the lag while the limit
 * itself is not used up. In a large fleet the callers of a workspace meet few
 * of the hosts, so an even share would refuse them below their limit.
 */
const LEAST_PART_WITHIN_LIMIT = 1 / 6;

/**
 * Part of a level that one host which decides for others may admit within its
 * lag, at most, while the limit itself is not used up.
 */
const MOST_PART_OF_DECIDER = 0.5;

/**
 * Time in which what one host that decides for others admits may be unknown to
 * the other deciders, in milliseconds: one round of the relays' news and some
 * for a late one.
 */
const DECIDER_LAG_MILLISECONDS = 600;

/**
 * Share of a full bucket above which a host of a large fleet admits on its own,
 * without asking one that decides. With the limit itself as the threshold, a
 * level that refills within the lag of the news was spent by all hosts at once:
 * 188 simulated hosts admitted 1.12 of what is allowed at 400,000 tokens a
 * second when a workspace sent 7.5 times its usual, and 0.86 with this and with
 * deciders.
 */
const AMPLE_SHARE = 0.75;

/** Time after the first news in which peers' levels are taken over, in ms. */
const STARTING_MILLISECONDS = 3_000;

/**
 * Time after the first news until a relay has heard the hosts that tell it, in
 * milliseconds: one round of theirs.
 */
const HEARD_ALL_MILLISECONDS = 450;

/**
 * Hosts that a host takes there to be before it has read the list of hosts. All
 * may have started at once, and each would take a whole bucket for its own.
 */
const HOSTS_BEFORE_LIST = 32;

/**
 * Peers silent for longer than this are taken to be gone, if most others are
 * heard; in milliseconds. Several times the longest cut that hosts are known to
 * serve through.
 */
const PEER_GONE_MILLISECONDS = 30_000;

/**
 * The same for a host that hears few of the others: it may be the one that is
 * cut off, and waits longer.
 */
const MOST_GONE_MILLISECONDS = 60_000;

/**
 * Share of a burst that is kept for more urgent requests, for each rank below
 * the first, and the ranks for which that is done. Small requests that are less
 * urgent would otherwise take the last of a limit from under large ones.
 */
const KEPT_FOR_URGENT = { shareEachRank: 0.15, ranks: 2 };

/**
 * Requests of its own size that a request has to leave in the limit for more
 * urgent ones, at most. Requests of a few hundred tokens beside prompts of ten
 * thousand take next to nothing from them: without this bound, 82 of 1,268
 * bookings of a calm day were refused for 16,000 tokens in all.
 */
const LEFT_OF_OWN_SIZE = 50;

/**
 * Level of a bucket that a host has never heard of, as a share of a full one.
 * All hosts may have been killed after they spent a whole bucket, and once more
 * within the same window; twice this fits into what USED_TOLERANCE leaves, with
 * limits of 40,000 and of 330,000 tokens a second (0.4 does not).
 */
const FIRST_LEVEL_SHARE = 0.3;

/** What is tolerated above the limits, over all hosts in each window. */
export interface LimitTolerance {
  readonly slackTokens: number;
  /** Share of what a workspace may send in a window. */
  readonly overShare: number;
  readonly windowMilliseconds: number;
}

/**
 * Part of the tolerance that a bucket holds on top of the burst. The rest is
 * for what hosts admit before they hear of each other.
 */
const USED_TOLERANCE = 0.4;

interface Bucket {
  readonly level: number;
  readonly refilledAt: number;
}

/** How old news of others may be, in milliseconds. */
export interface SpendingPace {
  /** Time in which what one host admits may be unknown to the others. */
  readonly lag: number;
  /**
   * A peer that has been silent for this long is taken to go on spending its
   * even share of the rate and of the bucket.
   */
  readonly silence: number;
}

/** What a relay tells of the limits over all hosts. */
export interface RelayedLimits {
  readonly levels: BucketLevels;
  readonly hosts: number;
  /** Share of the limits that hosts which the relay can't hear may spend. */
  readonly silentShare: number;
  /** What this host had admitted when the relay last heard it. */
  readonly acknowledged: AdmittedTotals;
}

interface FollowedRelay {
  readonly heardAt: number;
  readonly hosts: number;
  readonly silentShare: number;
}

interface PeerSpending {
  /** `undefined` before the peer told anything. */
  readonly incarnation: string | undefined;
  /** Total that the peer has told for each workspace since its start. */
  readonly totals: ReadonlyMap<string, number>;
  readonly heardAt: number;
  readonly stopping: boolean;
}

/** Levels of the buckets of a host, in tokens. */
export type BucketLevels = Readonly<Record<string, number>>;

/** What a host has admitted for each workspace since its start, in tokens. */
export type AdmittedTotals = Readonly<Record<string, number>>;

/** The answer to a request for admission. */
export type LimitDecision =
  | { readonly kind: "admitted" }
  | { readonly kind: "over_limit"; readonly retryAfterMilliseconds: number };

/** What an admission depends on beside the limit itself. */
export interface AdmissionTerms {
  readonly now: number;
  /** Rank of the request's route; 0 is the most urgent. */
  readonly priority: number;
  /**
   * Set where this host decides for others too: how many hosts do so. Above the
   * limit, only these admit, so that each may take a larger part of what is left.
   */
  readonly deciders?: number | undefined;
  /** Whether a host that decides for others is asked about a refusal of this one. */
  readonly asks?: boolean;
}

/** Token buckets of all workspaces, as one host sees them. */
export class WorkspaceLimits {
  #tolerance: LimitTolerance;
  #workspaces: ReadonlyMap<string, Workspace> = new Map();
  readonly #buckets = new Map<string, Bucket>();
  readonly #admitted = new Map<string, number>();
  readonly #peers = new Map<string, PeerSpending>();
  #recent: readonly {
    readonly name: string;
    readonly tokens: number;
    readonly at: number;
  }[] = [];
  /** When the first news came. */
  #startedAt: number | undefined;
  /** Set while this host hears of the others by a relay alone. */
  #relay: FollowedRelay | undefined;
  /** Whether the list of hosts was read. */
  #listed = false;
  #pace: SpendingPace;
  readonly #random: Random;
  /** What this host drew last, and when. */
  #drawn = { at: -Infinity, value: 1 };

  constructor(
    tolerance: LimitTolerance,
    pace: SpendingPace,
    options: { readonly random: Random },
  ) {
    this.#tolerance = tolerance;
    this.#pace = pace;
    this.#random = options.random;
  }

  /** Takes over the limits of a configuration. */
  configure(workspaces: readonly Workspace[], now: number): void {
    this.#workspaces = new Map(
      workspaces.map((workspace) => [workspace.name, workspace]),
    );
    workspaces.forEach((workspace) => {
      const bucket = this.#buckets.get(workspace.name);
      this.#buckets.set(workspace.name, {
        level: Math.min(
          this.#capacity(workspace),
          bucket?.level ?? this.#capacity(workspace) * FIRST_LEVEL_SHARE,
        ),
        refilledAt: bucket?.refilledAt ?? now,
      });
    });
  }

  /** Admits a request of a workspace, or says when to come back. */
  admit(name: string, tokens: number, terms: AdmissionTerms): LimitDecision {
    const { now } = terms;
    const workspace = this.#workspaces.get(name);
    if (workspace === undefined || workspace.tokensPerSecond === 0) {
      this.#note(name, tokens);
      return { kind: "admitted" };
    }
    const level = this.#available(workspace, now);
    // A request larger than the whole bucket passes when the bucket is full.
    const needed = Math.min(
      tokens + reservedTokens(workspace, terms.priority, tokens),
      this.#mostAvailable(workspace, now),
    );
    const paced = this.#isPaced(workspace, { ...terms, tokens, level });
    if (level < needed || paced) {
      const missing = Math.max(0, needed - level);
      const refill = (missing / workspace.tokensPerSecond) * 1_000;
      return {
        kind: "over_limit",
        retryAfterMilliseconds: Math.ceil(
          Math.max(refill, paced ? this.#lag(terms) : 0),
        ),
      };
    }
    this.#take(name, tokens);
    this.#note(name, tokens);
    this.#recent = [...this.#recent, { name, tokens, at: now }];
    return { kind: "admitted" };
  }

  /**
   * Whether a workspace's limit is far from used up, so that this host may admit
   * on its own what is older news to the others.
   */
  isAmple(name: string, now: number): boolean {
    const workspace = this.#workspaces.get(name);
    if (workspace === undefined || workspace.tokensPerSecond === 0) return true;
    const capacity = this.#capacity(workspace);
    const least = Math.max(
      capacity - workspace.burstTokens,
      capacity * AMPLE_SHARE,
    );
    return (
      !this.#startsInLargeFleet(now) && this.#available(workspace, now) > least
    );
  }

  /** Whether this host leaves a request to others, for now. */
  #isPaced(
    workspace: Workspace,
    asked: AdmissionTerms & { readonly tokens: number; readonly level: number },
  ): boolean {
    const { now, tokens, level, deciders } = asked;
    const lag = this.#lag(asked);
    const recent = this.#recentTokens(workspace.name, { now, lag });
    const toleratedPart = this.#capacity(workspace) - workspace.burstTokens;
    const within = level > toleratedPart && !this.#startsInLargeFleet(now);
    const spenders = deciders ?? this.#hostsHeard(now);
    const large = spenders > MOST_DIRECT_HOSTS;
    const tolerated =
      large || deciders !== undefined
        ? UNEVEN_FACTORS.toleratedInLargeFleet
        : UNEVEN_FACTORS.tolerated;
    const factor = within ? UNEVEN_FACTORS.withinLimit : tolerated;
    const least = within && asked.asks !== true ? LEAST_PART_WITHIN_LIMIT : 0;
    const most = deciders === undefined ? Infinity : MOST_PART_OF_DECIDER;
    const share =
      level * Math.min(most, Math.max(least, factor / Math.max(1, spenders)));
    const draws = (large || deciders !== undefined) && !within;
    return (
      recent + tokens > share &&
      (recent > 0 ||
        (draws && this.#leavesToOthers(tokens, share, { now, lag })))
    );
  }

  /** Time in which others may not know what this host admits, in milliseconds. */
  #lag({ deciders }: AdmissionTerms): number {
    return deciders === undefined ? this.#pace.lag : DECIDER_LAG_MILLISECONDS;
  }

  /** Gives back what a request took that surely did not run. */
  giveBack(name: string, tokens: number): void {
    this.#take(name, -tokens);
    this.#note(name, -tokens);
  }

  /** Totals to tell the peers. */
  totals(): AdmittedTotals {
    return Object.fromEntries(this.#admitted);
  }

  /** Levels to tell the peers; hosts that start take them over. */
  levels(now: number): BucketLevels {
    return Object.fromEntries(
      [...this.#workspaces.values()].map((workspace) => [
        workspace.name,
        Math.round(this.#refill(workspace, now)),
      ]),
    );
  }

  /** Whether the levels take in what others spent, so that they may be told. */
  knowsLevels(now: number): boolean {
    return (
      this.#startedAt !== undefined &&
      now - this.#startedAt >= HEARD_ALL_MILLISECONDS
    );
  }

  /** Whether this host may not have heard yet what others spent. */
  isStarting(now: number): boolean {
    return (
      this.#startedAt === undefined ||
      now - this.#startedAt < STARTING_MILLISECONDS
    );
  }

  /** Changes what is tolerated above the limits. */
  setTolerance(tolerance: LimitTolerance): void {
    this.#tolerance = tolerance;
  }

  /** Changes how old the news of others may be. */
  setPace(pace: SpendingPace): void {
    this.#pace = pace;
  }

  /** Hears of the other hosts from themselves from now on. */
  followPeers(): void {
    if (this.#relay === undefined) return;
    this.#relay = undefined;
    // What peers spent meanwhile is in the levels that the relay told.
    this.#peers.forEach((peer, name) =>
      this.#peers.set(name, { ...peer, incarnation: undefined }),
    );
  }

  /** Hears of the other hosts by a relay's word alone from now on. */
  followRelay(told: RelayedLimits, now: number): void {
    const { hosts } = told;
    // A relay that tells no levels has not heard the others itself.
    const heard = Object.keys(told.levels).length > 0;
    const silentShare = heard ? told.silentShare : evenSilentShare(hosts);
    this.#relay = { hosts, silentShare, heardAt: now };
    this.#startedAt ??= now;
    Object.entries(told.levels).forEach(([name, level]) => {
      const bucket = this.#buckets.get(name);
      if (bucket === undefined) return;
      const since =
        (this.#admitted.get(name) ?? 0) - (told.acknowledged[name] ?? 0);
      this.#buckets.set(name, { level: level - since, refilledAt: now });
    });
  }

  /** Share of the limits that hosts which are not heard may be spending. */
  silentShare(now: number): number {
    return this.#silentShare(now);
  }

  /** Takes in that the list of hosts was read. */
  hostsListed(): void {
    this.#listed = true;
  }

  /** Takes in that a peer is listed that has told nothing yet. */
  expected(peer: string, now: number): void {
    if (this.#peers.has(peer)) return;
    this.#peers.set(peer, {
      incarnation: undefined,
      totals: new Map(),
      heardAt: now - this.#pace.silence,
      stopping: false,
    });
  }

  /** Takes in what a peer has admitted since its start. */
  heard(
    peer: string,
    news: {
      readonly incarnation: string;
      readonly totals: AdmittedTotals;
      readonly levels: BucketLevels;
      /** Whether the peer is about to end and to spend nothing more. */
      readonly stopping: boolean;
    },
    now: number,
  ): void {
    this.#startedAt ??= now;
    if (this.isStarting(now)) this.#lowerTo(news.levels);
    const before = this.#peers.get(peer);
    const sameLife = before?.incarnation === news.incarnation;
    const totals = new Map(Object.entries(news.totals));
    totals.forEach((total, name) => {
      const known = sameLife ? (before?.totals.get(name) ?? 0) : 0;
      const first = before?.incarnation === undefined;
      if (!first) this.#take(name, total - known);
    });
    this.#peers.set(peer, {
      incarnation: news.incarnation,
      totals,
      heardAt: now,
      stopping: news.stopping,
    });
  }

  #lowerTo(levels: BucketLevels): void {
    Object.entries(levels).forEach(([name, level]) => {
      const bucket = this.#buckets.get(name);
      if (bucket === undefined || bucket.level <= level) return;
      this.#buckets.set(name, { ...bucket, level });
    });
  }

  #note(name: string, tokens: number): void {
    this.#admitted.set(name, (this.#admitted.get(name) ?? 0) + tokens);
  }

  #take(name: string, tokens: number): void {
    const bucket = this.#buckets.get(name);
    if (bucket === undefined) return;
    this.#buckets.set(name, { ...bucket, level: bucket.level - tokens });
  }

  #refill(workspace: Workspace, now: number): number {
    const bucket = this.#buckets.get(workspace.name) ?? {
      level: this.#capacity(workspace),
      refilledAt: now,
    };
    const passed = Math.max(0, now - bucket.refilledAt) / 1_000;
    const gained =
      workspace.tokensPerSecond * passed * (1 - this.#silentShare(now));
    const level = Math.min(this.#capacity(workspace), bucket.level + gained);
    this.#buckets.set(workspace.name, { level, refilledAt: now });
    return level;
  }

  /** Most tokens that a workspace's bucket holds. */
  #capacity(workspace: Workspace): number {
    const { slackTokens, overShare, windowMilliseconds } = this.#tolerance;
    const seconds = windowMilliseconds / 1_000;
    const window = workspace.tokensPerSecond * seconds + workspace.burstTokens;
    // The slack is counted in tokens; limits in requests get none of it.
    const slack = workspace.countsTokens ? slackTokens : 0;
    return (
      workspace.burstTokens + USED_TOLERANCE * (window * overShare + slack)
    );
  }

  /** What this host may take out of a bucket now. */
  #available(workspace: Workspace, now: number): number {
    const level = this.#refill(workspace, now);
    const silent = this.#silentShare(now);
    return this.isStarting(now)
      ? level * (1 - silent)
      : level - this.#capacity(workspace) * silent;
  }

  /** The most that can be available while the same hosts are heard. */
  #mostAvailable(workspace: Workspace, now: number): number {
    const most = this.#capacity(workspace);
    if (this.#startsInLargeFleet(now)) return most;
    const first = this.isStarting(now) ? FIRST_LEVEL_SHARE : 1;
    return most * first * (1 - this.#silentShare(now));
  }

  /**
   * Whether all hosts of a large fleet may have just started. Each then goes
   * slowly: one request at each of many hosts, or all hosts at once on the first
   * level that relays tell, would be more than a bucket.
   */
  #startsInLargeFleet(now: number): boolean {
    return this.isStarting(now) && this.#hostsHeard(now) > MOST_DIRECT_HOSTS;
  }

  /**
   * Whether a host of a large fleet leaves a request that is larger than its
   * share to the others. Each host draws once in the lag of the news, so that
   * together they admit about the level. With one request passed at each of 40
   * hosts, a fleet that was killed twice admitted 480,000 tokens of 468,000.
   */
  #leavesToOthers(
    tokens: number,
    share: number,
    { now, lag }: { readonly now: number; readonly lag: number },
  ): boolean {
    if (now - this.#drawn.at >= lag) {
      this.#drawn = { at: now, value: this.#random.next() };
    }
    return this.#drawn.value * tokens > share;
  }

  /** Tokens that this host admitted within the lag of the news. */
  #recentTokens(
    name: string,
    { now, lag }: { readonly now: number; readonly lag: number },
  ): number {
    const longest = Math.max(lag, this.#pace.lag);
    this.#recent = this.#recent.filter(({ at }) => now - at < longest);
    return this.#recent
      .filter((admitted) => admitted.name === name && now - admitted.at < lag)
      .reduce((sum, { tokens }) => sum + tokens, 0);
  }

  /** Hosts that may be admitting, this one included. */
  #hostsHeard(now: number): number {
    return this.#relay?.hosts ?? this.#spenders(now).length + 1;
  }

  /** Share of the fleet's limits that silent peers may be spending. */
  #silentShare(now: number): number {
    const relay = this.#relay;
    if (relay !== undefined) {
      const heard = now - relay.heardAt < this.#pace.silence;
      return heard ? relay.silentShare : evenSilentShare(relay.hosts);
    }
    if (!this.#listed) return evenSilentShare(HOSTS_BEFORE_LIST);
    const spenders = this.#spenders(now);
    const silent = spenders.filter((peer) => this.#isSilent(peer, now)).length;
    return silent / (spenders.length + 1);
  }

  /** Peers that may be spending. */
  #spenders(now: number): readonly PeerSpending[] {
    const peers = [...this.#peers.values()].filter((peer) => !peer.stopping);
    const heard = peers.filter((peer) => !this.#isSilent(peer, now)).length;
    const gone =
      heard * 2 < peers.length
        ? MOST_GONE_MILLISECONDS
        : PEER_GONE_MILLISECONDS;
    return peers.filter((peer) => now - peer.heardAt < gone);
  }

  #isSilent(peer: PeerSpending, now: number): boolean {
    return now - peer.heardAt >= this.#pace.silence;
  }
}

/** Tokens of a workspace's limit that more urgent requests may still need. */
function reservedTokens(
  workspace: Workspace,
  priority: number,
  tokens: number,
): number {
  const ranks = Math.min(priority, KEPT_FOR_URGENT.ranks);
  return Math.min(
    workspace.burstTokens * KEPT_FOR_URGENT.shareEachRank * ranks,
    tokens * LEFT_OF_OWN_SIZE,
  );
}

/** Share of all hosts but one, none of which is heard. */
function evenSilentShare(hosts: number): number {
  return 1 - 1 / Math.max(1, hosts);
}
