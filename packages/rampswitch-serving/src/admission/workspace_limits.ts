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
import {
  type AdmittedTotals,
  PeerSpenders,
  type SpendingNews,
} from "./peer_spending.ts";
import {
  type AdmissionTerms,
  SpendingPacer,
  type SpendingPace,
} from "./spending_pacer.ts";

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
 * Share of a burst that is kept for more urgent requests, for each rank below
 * the first, and the ranks for which that is done. Small requests that are less
 * urgent would otherwise take the last of a limit from under large ones.
 */
const KEPT_FOR_URGENT = { shareEachRank: 0.15, ranks: 2 };

/**
 * Requests of its own size that a request has to leave in the limit for more
 * urgent ones, at most. Requests of a few hundred tokens beside prompts of ten
 * thousand take next to nothing from them, and need not be refused for it.
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

/** What a relay tells of the limits over all hosts. */
export interface RelayedLimits {
  readonly levels: BucketLevels;
  readonly hosts: number;
  /** Share of the limits that hosts which the relay can't hear may spend. */
  readonly silentShare: number;
  /** What this host had admitted when the relay last heard it. */
  readonly acknowledged: AdmittedTotals;
}

/** Levels of the buckets of a host, in tokens. */
export type BucketLevels = Readonly<Record<string, number>>;

/** The answer to a request for admission. */
export type LimitDecision =
  | { readonly kind: "admitted" }
  | { readonly kind: "over_limit"; readonly retryAfterMilliseconds: number };

/** Token buckets of all workspaces, as one host sees them. */
export class WorkspaceLimits {
  #tolerance: LimitTolerance;
  #workspaces: ReadonlyMap<string, Workspace> = new Map();
  readonly #buckets = new Map<string, Bucket>();
  readonly #admitted = new Map<string, number>();
  readonly #peers: PeerSpenders;
  readonly #pacer: SpendingPacer;
  /** When the first news came. */
  #startedAt: number | undefined;

  constructor(
    tolerance: LimitTolerance,
    pace: SpendingPace,
    options: { readonly random: Random },
  ) {
    this.#tolerance = tolerance;
    this.#peers = new PeerSpenders(pace);
    this.#pacer = new SpendingPacer(pace, options.random);
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
    const paced = this.#pacer.leavesToOthers({
      ...terms,
      name,
      tokens,
      level,
      within:
        level > this.#toleratedPart(workspace) && !this.#startsAtOnce(now),
      hosts: this.#peers.hosts(now),
    });
    if (level < needed || paced) {
      const missing = Math.max(0, needed - level);
      const refill = (missing / workspace.tokensPerSecond) * 1_000;
      return {
        kind: "over_limit",
        retryAfterMilliseconds: Math.ceil(
          Math.max(refill, paced ? this.#pacer.lag(terms) : 0),
        ),
      };
    }
    this.#take(name, tokens);
    this.#note(name, tokens);
    this.#pacer.spent(name, tokens, now);
    return { kind: "admitted" };
  }

  /**
   * Whether a workspace's limit is far from used up, so that this host may admit
   * on its own what is older news to the others.
   */
  isAmple(name: string, now: number): boolean {
    const workspace = this.#workspaces.get(name);
    if (workspace === undefined || workspace.tokensPerSecond === 0) return true;
    const least = Math.max(
      this.#toleratedPart(workspace),
      this.#capacity(workspace) * AMPLE_SHARE,
    );
    return !this.#startsAtOnce(now) && this.#available(workspace, now) > least;
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
    this.#peers.setPace(pace);
    this.#pacer.setPace(pace);
  }

  /** Hears of the other hosts from themselves from now on. */
  followPeers(): void {
    this.#peers.followPeers();
  }

  /** Hears of the other hosts by a relay's word alone from now on. */
  followRelay(told: RelayedLimits, now: number): void {
    // A relay that tells no levels has not heard the others itself.
    const heard = Object.keys(told.levels).length > 0;
    const silentShare = heard ? told.silentShare : undefined;
    this.#peers.followRelay({ hosts: told.hosts, silentShare }, now);
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
    return this.#peers.silentShare(now);
  }

  /** Takes in that the list of hosts was read. */
  hostsListed(): void {
    this.#peers.hostsListed();
  }

  /** Takes in that a peer is listed that has told nothing yet. */
  expected(peer: string, now: number): void {
    this.#peers.expected(peer, now);
  }

  /** Takes in what a peer has admitted since its start. */
  heard(
    peer: string,
    news: SpendingNews & { readonly levels: BucketLevels },
    now: number,
  ): void {
    this.#startedAt ??= now;
    if (this.isStarting(now)) this.#lowerTo(news.levels);
    this.#peers
      .heard(peer, news, now)
      .forEach((tokens, name) => this.#take(name, tokens));
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
      workspace.tokensPerSecond * passed * (1 - this.#peers.silentShare(now));
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

  /** Tokens of a full bucket that are above the limit's own burst. */
  #toleratedPart(workspace: Workspace): number {
    return this.#capacity(workspace) - workspace.burstTokens;
  }

  /** What this host may take out of a bucket now. */
  #available(workspace: Workspace, now: number): number {
    const level = this.#refill(workspace, now);
    const silent = this.#peers.silentShare(now);
    return this.isStarting(now)
      ? level * (1 - silent)
      : level - this.#capacity(workspace) * silent;
  }

  /** The most that can be available while the same hosts are heard. */
  #mostAvailable(workspace: Workspace, now: number): number {
    const most = this.#capacity(workspace);
    if (this.#startsAtOnce(now)) return most;
    const first = this.isStarting(now) ? FIRST_LEVEL_SHARE : 1;
    return most * first * (1 - this.#peers.silentShare(now));
  }

  /**
   * Whether all hosts of a large fleet may have just started. Each then goes
   * slowly: one request at each of many hosts, or all hosts at once on the first
   * level that relays tell, would be more than a bucket.
   */
  #startsAtOnce(now: number): boolean {
    return this.isStarting(now) && this.#peers.hosts(now) > MOST_DIRECT_HOSTS;
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
