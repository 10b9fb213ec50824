// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Bounds how much of a limit one host admits before the others receive its
 * updates. Load comes in groups and unevenly: balancers spread a workspace's
 * callers over few of the hosts. Yet all hosts together must not consume a
 * bucket's level more than once while updates are on their way.
 *
 * @module
 */
import type { Random } from "rampswitch-utils";
import { MAXIMUM_DIRECT_HOSTS } from "../membership/relay_plan.ts";

/**
 * Multiples of its even share of a level that a host may admit within the lag
 * of updates. Balancers spread a workspace's callers unevenly over the hosts,
 * and callers come in groups. While the limit itself is not used up, one host
 * may admit nearly all of it; in the tolerated part above the limit, hosts
 * admit slowly.
 */
const UNEVEN_SHARE_FACTORS = {
  withinLimit: 8,
  tolerated: 2,
  /** Smaller, since updates take longer and more hosts admit meanwhile. */
  toleratedInLargeFleet: 1.5,
};

/**
 * Minimum share of a level that a host may admit within the lag while the limit
 * itself is not used up. In a large fleet the callers of a workspace reach few
 * of the hosts, so an even share would refuse them below their limit.
 */
const MINIMUM_SHARE_WITHIN_LIMIT = 1 / 6;

/**
 * Maximum share of a level that one decider (a host that decides for others)
 * may admit within its lag while the limit itself is not used up.
 */
const MAXIMUM_DECIDER_SHARE = 0.5;

/**
 * Time for which the admissions of one decider may be unknown to the other
 * deciders, in milliseconds: one round of the relays' updates, and a margin for
 * a late one.
 */
const DECIDER_LAG_MILLISECONDS = 600;

/** How old the updates of other hosts may be, in milliseconds. */
export interface GossipTiming {
  /** Time for which the admissions of one host may be unknown to the others. */
  readonly lag: number;
  /**
   * Time without an update after which a peer counts as silent: it is assumed
   * to continue consuming its even share of the rate and of the bucket.
   */
  readonly silence: number;
}

/** What an admission depends on besides the limit itself. */
export interface AdmissionContext {
  readonly now: number;
  /** Rank of the request's route; 0 is the most urgent. */
  readonly priority: number;
  /**
   * Number of deciders, if this host is one of them. Above the limit, only the
   * deciders admit, so that each may admit a larger part of what is left.
   */
  readonly deciders?: number | undefined;
  /** Whether a decider is queried after a refusal of this host. */
  readonly asksDecider?: boolean;
}

/** A request together with what is left of its limit. */
export interface PacedRequest extends AdmissionContext {
  readonly name: string;
  readonly tokens: number;
  /** What is left of the limit, in tokens. */
  readonly level: number;
  /** Whether the limit itself, without the tolerated part, is not used up. */
  readonly isWithinLimit: boolean;
  /** Number of hosts that may be admitting, including this one. */
  readonly hosts: number;
}

/** The time of an admission and the lag before it, in milliseconds. */
interface LagSpan {
  readonly now: number;
  readonly lag: number;
}

/**
 * Tracks the recent admissions of one host and decides whether it may continue.
 */
export class ConsumptionPacer {
  readonly #random: Random;
  #timing: GossipTiming;
  #recent: readonly {
    readonly name: string;
    readonly tokens: number;
    readonly at: number;
  }[] = [];
  /** The newest random number of this host, and when it was drawn. */
  #lastDraw = { at: -Infinity, value: 1 };

  constructor(timing: GossipTiming, random: Random) {
    this.#timing = timing;
    this.#random = random;
  }

  /** Changes how old the updates of other hosts may be. */
  setGossipTiming(timing: GossipTiming): void {
    this.#timing = timing;
  }

  /** Records an admission. */
  recordAdmitted(name: string, tokens: number, now: number): void {
    this.#recent = [...this.#recent, { name, tokens, at: now }];
  }

  /** Whether this host leaves a request to other hosts for now. */
  shouldDefer(request: PacedRequest): boolean {
    const { tokens, isWithinLimit, deciders, now } = request;
    const span = { now, lag: this.lag(request) };
    const recent = this.#recentTokens(request.name, span);
    const share = tokenShare(request);
    if (recent + tokens <= share) return false;
    if (recent > 0) return true;
    const isRandomized =
      deciders !== undefined || request.hosts > MAXIMUM_DIRECT_HOSTS;
    return isRandomized && !isWithinLimit && this.#draw(span) * tokens > share;
  }

  /**
   * Time for which the admissions of this host may be unknown to the others, in
   * milliseconds.
   */
  lag({ deciders }: AdmissionContext): number {
    return deciders === undefined ? this.#timing.lag : DECIDER_LAG_MILLISECONDS;
  }

  /**
   * Draws a random number once in each lag. It selects which hosts admit a
   * request that is larger than their share, so that all hosts together admit
   * about the level. When each of 40 hosts let one such request pass, a fleet
   * that was killed twice admitted 480,000 tokens, and 468,000 were allowed.
   */
  #draw({ now, lag }: LagSpan): number {
    if (now - this.#lastDraw.at >= lag) {
      this.#lastDraw = { at: now, value: this.#random.next() };
    }
    return this.#lastDraw.value;
  }

  /** Tokens that this host admitted within the lag. */
  #recentTokens(name: string, { now, lag }: LagSpan): number {
    const maximumLag = Math.max(lag, this.#timing.lag);
    this.#recent = this.#recent.filter(({ at }) => now - at < maximumLag);
    return this.#recent
      .filter((admitted) => admitted.name === name && now - admitted.at < lag)
      .reduce((sum, { tokens }) => sum + tokens, 0);
  }
}

/** Tokens that this host may admit within the lag. */
function tokenShare({
  level,
  isWithinLimit,
  hosts,
  ...context
}: PacedRequest): number {
  const { deciders, asksDecider } = context;
  const consumers = Math.max(1, deciders ?? hosts);
  const isLargeFleet =
    deciders !== undefined || consumers > MAXIMUM_DIRECT_HOSTS;
  const tolerated = isLargeFleet
    ? UNEVEN_SHARE_FACTORS.toleratedInLargeFleet
    : UNEVEN_SHARE_FACTORS.tolerated;
  const factor = isWithinLimit ? UNEVEN_SHARE_FACTORS.withinLimit : tolerated;
  const minimum =
    isWithinLimit && asksDecider !== true ? MINIMUM_SHARE_WITHIN_LIMIT : 0;
  const maximum = deciders === undefined ? Infinity : MAXIMUM_DECIDER_SHARE;
  return level * Math.min(maximum, Math.max(minimum, factor / consumers));
}
