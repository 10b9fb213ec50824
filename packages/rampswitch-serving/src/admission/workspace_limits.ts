// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Limits of workspaces over all hosts together, without a call per request.
 * Each host has a token bucket per workspace for the whole fleet. It withdraws
 * its own admissions at once, and those of its peers as soon as they report
 * them. The level may fall below zero: what was admitted in excess while
 * updates were on their way has to refill before anything more is admitted.
 *
 * @module
 */
import { MAXIMUM_DIRECT_HOSTS } from "../membership/relay_plan.ts";
import type { Random } from "rampswitch-utils";
import type { Workspace } from "../model/configuration.ts";
import type { LimitDecision } from "./limit_request.ts";
import {
  type AdmittedTotals,
  PeerConsumptionTracker,
  type ConsumptionUpdate,
} from "./peer_consumption.ts";
import {
  type AdmissionContext,
  ConsumptionPacer,
  type GossipTiming,
} from "./consumption_pacer.ts";

/**
 * Share of a full bucket above which a host of a large fleet admits on its own,
 * without querying a decider. With the limit itself as the threshold, a level
 * that refills within the lag of updates was consumed by all hosts at once:
 * when a workspace with 400,000 tokens a second sent 7.5 times its usual load,
 * 188 simulated hosts admitted 1.12 of what is allowed, and 0.86 with this
 * threshold and with deciders.
 */
const AMPLE_SHARE = 0.75;

/**
 * Time after the first update for which this host adopts lower levels of its
 * peers, in milliseconds.
 */
const STARTUP_MILLISECONDS = 3_000;

/**
 * Time after the first update until a relay has received an update from each
 * host that reports to it, in milliseconds: one round of their updates.
 */
const RELAY_WARM_UP_MILLISECONDS = 450;

/**
 * Share of a burst that is reserved for more urgent requests, for each rank
 * below the first, and the number of ranks for which that is done. Without it,
 * small requests that are less urgent would use up a limit before large urgent
 * ones.
 */
const RESERVED_FOR_URGENT = { sharePerRank: 0.15, ranks: 2 };

/**
 * Maximum reserve that a request has to leave for more urgent ones, as a
 * multiple of its own size. Requests of a few hundred tokens hardly reduce
 * what is left for prompts of ten thousand, and need not be refused in their
 * favour.
 */
const MAXIMUM_RESERVE_MULTIPLE = 50;

/**
 * Initial level of a bucket, as a share of a full one. All hosts may have been
 * killed after they consumed a whole bucket, and once more within the same
 * window. Twice this share fits into the tolerance that BUCKET_TOLERANCE_SHARE
 * leaves, with limits of 40,000 and of 330,000 tokens a second; twice 0.4 does
 * not.
 */
const INITIAL_LEVEL_SHARE = 0.3;

/** Excess that is tolerated above the limits, over all hosts in each window. */
export interface LimitTolerance {
  readonly slackTokens: number;
  /** Tolerated excess, as a share of what a workspace may send in a window. */
  readonly excessShare: number;
  readonly windowMilliseconds: number;
}

/**
 * Share of the tolerance that a bucket holds on top of the burst. The remainder
 * covers what hosts admit before they receive each other's updates.
 */
const BUCKET_TOLERANCE_SHARE = 0.4;

/** The level of a bucket in tokens, and when it was last refilled. */
interface Bucket {
  readonly level: number;
  readonly refilledAt: number;
}

/** A relay's report on the limits over all hosts. */
export interface RelayedLimits {
  readonly levels: BucketLevels;
  readonly hosts: number;
  /** Share of the limits that hosts silent to the relay may be consuming. */
  readonly silentShare: number;
  /**
   * What this host had admitted in the newest update that the relay received.
   */
  readonly acknowledged: AdmittedTotals;
}

/** Levels of the buckets of a host, in tokens. */
export type BucketLevels = Readonly<Record<string, number>>;

/** Token buckets of all workspaces, as one host estimates them. */
export class WorkspaceLimits {
  #tolerance: LimitTolerance;
  #workspaces: ReadonlyMap<string, Workspace> = new Map();
  readonly #buckets = new Map<string, Bucket>();
  readonly #admitted = new Map<string, number>();
  readonly #peers: PeerConsumptionTracker;
  readonly #pacer: ConsumptionPacer;
  /** When the first update was received. */
  #firstUpdateAt: number | undefined;

  constructor(
    tolerance: LimitTolerance,
    timing: GossipTiming,
    options: { readonly random: Random },
  ) {
    this.#tolerance = tolerance;
    this.#peers = new PeerConsumptionTracker(timing);
    this.#pacer = new ConsumptionPacer(timing, options.random);
  }

  /** Applies the limits of a configuration. */
  configure(workspaces: readonly Workspace[], now: number): void {
    this.#workspaces = new Map(
      workspaces.map((workspace) => [workspace.name, workspace]),
    );
    workspaces.forEach((workspace) => {
      const bucket = this.#buckets.get(workspace.name);
      this.#buckets.set(workspace.name, {
        level: Math.min(
          this.#capacity(workspace),
          bucket?.level ?? this.#capacity(workspace) * INITIAL_LEVEL_SHARE,
        ),
        refilledAt: bucket?.refilledAt ?? now,
      });
    });
  }

  /**
   * Admits a request of a workspace, or refuses it with a time to retry after.
   */
  admit(
    name: string,
    tokens: number,
    context: AdmissionContext,
  ): LimitDecision {
    const { now } = context;
    const workspace = this.#workspaces.get(name);
    if (workspace === undefined || workspace.tokensPerSecond === 0) {
      this.#recordAdmitted(name, tokens);
      return { kind: "admitted" };
    }
    const level = this.#availableTokens(workspace, now);
    // A request larger than the whole bucket passes when the bucket is full.
    const needed = Math.min(
      tokens + reservedTokens(workspace, context.priority, tokens),
      this.#maximumAvailableTokens(workspace, now),
    );
    const isDeferred = this.#pacer.shouldDefer({
      ...context,
      name,
      tokens,
      level,
      isWithinLimit:
        level > this.#toleratedTokens(workspace) && !this.#isFleetStarting(now),
      hosts: this.#peers.hosts(now),
    });
    if (level < needed || isDeferred) {
      const missing = Math.max(0, needed - level);
      const refillMilliseconds = (missing / workspace.tokensPerSecond) * 1_000;
      return {
        kind: "over_limit",
        retryAfterMilliseconds: Math.ceil(
          Math.max(
            refillMilliseconds,
            isDeferred ? this.#pacer.lag(context) : 0,
          ),
        ),
      };
    }
    this.#withdraw(name, tokens);
    this.#recordAdmitted(name, tokens);
    this.#pacer.recordAdmitted(name, tokens, now);
    return { kind: "admitted" };
  }

  /**
   * Whether a workspace's limit is far from used up, so that this host may
   * admit on its own although the others receive its updates late.
   */
  hasAmpleHeadroom(name: string, now: number): boolean {
    const workspace = this.#workspaces.get(name);
    if (workspace === undefined || workspace.tokensPerSecond === 0) return true;
    const threshold = Math.max(
      this.#toleratedTokens(workspace),
      this.#capacity(workspace) * AMPLE_SHARE,
    );
    return (
      !this.#isFleetStarting(now) &&
      this.#availableTokens(workspace, now) > threshold
    );
  }

  /** Returns the tokens of an admitted request that certainly did not run. */
  refund(name: string, tokens: number): void {
    this.#withdraw(name, -tokens);
    this.#recordAdmitted(name, -tokens);
  }

  /** Totals to report to the peers. */
  admittedTotals(): AdmittedTotals {
    return Object.fromEntries(this.#admitted);
  }

  /** Levels to report to the peers; hosts that start adopt them. */
  levels(now: number): BucketLevels {
    return Object.fromEntries(
      [...this.#workspaces.values()].map((workspace) => [
        workspace.name,
        Math.round(this.#refill(workspace, now)),
      ]),
    );
  }

  /**
   * Whether the levels include the consumption of others and can be reported.
   */
  hasFleetLevels(now: number): boolean {
    return (
      this.#firstUpdateAt !== undefined &&
      now - this.#firstUpdateAt >= RELAY_WARM_UP_MILLISECONDS
    );
  }

  /** Whether this host may lack updates on the consumption of others. */
  isStarting(now: number): boolean {
    return (
      this.#firstUpdateAt === undefined ||
      now - this.#firstUpdateAt < STARTUP_MILLISECONDS
    );
  }

  /** Changes the excess that is tolerated above the limits. */
  setTolerance(tolerance: LimitTolerance): void {
    this.#tolerance = tolerance;
  }

  /** Changes how old the updates of other hosts may be. */
  setGossipTiming(timing: GossipTiming): void {
    this.#peers.setGossipTiming(timing);
    this.#pacer.setGossipTiming(timing);
  }

  /** Uses the updates of the other hosts themselves from now on. */
  followPeers(): void {
    this.#peers.followPeers();
  }

  /** Uses only the reports of a relay from now on. */
  followRelay(report: RelayedLimits, now: number): void {
    // A relay without levels has not received the others' updates itself.
    const hasLevels = Object.keys(report.levels).length > 0;
    const silentShare = hasLevels ? report.silentShare : undefined;
    this.#peers.followRelay({ hosts: report.hosts, silentShare }, now);
    this.#firstUpdateAt ??= now;
    Object.entries(report.levels).forEach(([name, level]) => {
      const bucket = this.#buckets.get(name);
      if (bucket === undefined) return;
      const since =
        (this.#admitted.get(name) ?? 0) - (report.acknowledged[name] ?? 0);
      this.#buckets.set(name, { level: level - since, refilledAt: now });
    });
  }

  /** Share of the limits that silent hosts may be consuming. */
  silentShare(now: number): number {
    return this.#peers.silentShare(now);
  }

  /** Records that the list of hosts was read. */
  markHostsListed(): void {
    this.#peers.markHostsListed();
  }

  /** Adds a listed peer that may not have reported yet. */
  addExpectedPeer(peer: string, now: number): void {
    this.#peers.addExpectedPeer(peer, now);
  }

  /** Receives a peer's update on what it has admitted since its start. */
  receiveUpdate(
    peer: string,
    update: ConsumptionUpdate & { readonly levels: BucketLevels },
    now: number,
  ): void {
    this.#firstUpdateAt ??= now;
    if (this.isStarting(now)) this.#lowerLevels(update.levels);
    this.#peers
      .receiveUpdate(peer, update, now)
      .forEach((tokens, name) => this.#withdraw(name, tokens));
  }

  #lowerLevels(levels: BucketLevels): void {
    Object.entries(levels).forEach(([name, level]) => {
      const bucket = this.#buckets.get(name);
      if (bucket === undefined || bucket.level <= level) return;
      this.#buckets.set(name, { ...bucket, level });
    });
  }

  #recordAdmitted(name: string, tokens: number): void {
    this.#admitted.set(name, (this.#admitted.get(name) ?? 0) + tokens);
  }

  #withdraw(name: string, tokens: number): void {
    const bucket = this.#buckets.get(name);
    if (bucket === undefined) return;
    this.#buckets.set(name, { ...bucket, level: bucket.level - tokens });
  }

  #refill(workspace: Workspace, now: number): number {
    const bucket = this.#buckets.get(workspace.name) ?? {
      level: this.#capacity(workspace),
      refilledAt: now,
    };
    const elapsedSeconds = Math.max(0, now - bucket.refilledAt) / 1_000;
    const gained =
      workspace.tokensPerSecond *
      elapsedSeconds *
      (1 - this.#peers.silentShare(now));
    const level = Math.min(this.#capacity(workspace), bucket.level + gained);
    this.#buckets.set(workspace.name, { level, refilledAt: now });
    return level;
  }

  /** Tokens that a full bucket of a workspace holds. */
  #capacity(workspace: Workspace): number {
    const {
      slackTokens,
      excessShare: overShare,
      windowMilliseconds,
    } = this.#tolerance;
    const seconds = windowMilliseconds / 1_000;
    const window = workspace.tokensPerSecond * seconds + workspace.burstTokens;
    // The slack counts tokens; limits that count requests get none of it.
    const slack = workspace.countsTokens ? slackTokens : 0;
    return (
      workspace.burstTokens +
      BUCKET_TOLERANCE_SHARE * (window * overShare + slack)
    );
  }

  /** Tokens of a full bucket that are above the limit's own burst. */
  #toleratedTokens(workspace: Workspace): number {
    return this.#capacity(workspace) - workspace.burstTokens;
  }

  /** Tokens that this host may withdraw from a bucket now. */
  #availableTokens(workspace: Workspace, now: number): number {
    const level = this.#refill(workspace, now);
    const silentShare = this.#peers.silentShare(now);
    return this.isStarting(now)
      ? level * (1 - silentShare)
      : level - this.#capacity(workspace) * silentShare;
  }

  /** Maximum of the available tokens while the same hosts are silent. */
  #maximumAvailableTokens(workspace: Workspace, now: number): number {
    const fullBucket = this.#capacity(workspace);
    if (this.#isFleetStarting(now)) return fullBucket;
    const levelShare = this.isStarting(now) ? INITIAL_LEVEL_SHARE : 1;
    return fullBucket * levelShare * (1 - this.#peers.silentShare(now));
  }

  /**
   * Whether all hosts of a large fleet may have just started. Each host then
   * admits slowly: one request at each of many hosts, or all hosts at once at
   * the first level that relays report, would exceed a bucket.
   */
  #isFleetStarting(now: number): boolean {
    return (
      this.isStarting(now) && this.#peers.hosts(now) > MAXIMUM_DIRECT_HOSTS
    );
  }
}

/**
 * Tokens of a workspace's limit that stay reserved for more urgent requests.
 */
function reservedTokens(
  workspace: Workspace,
  priority: number,
  tokens: number,
): number {
  const ranks = Math.min(priority, RESERVED_FOR_URGENT.ranks);
  return Math.min(
    workspace.burstTokens * RESERVED_FOR_URGENT.sharePerRank * ranks,
    tokens * MAXIMUM_RESERVE_MULTIPLE,
  );
}
