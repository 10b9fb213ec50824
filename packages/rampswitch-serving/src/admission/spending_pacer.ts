// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * How much of a limit one host gives away before the others hear of it. Answers
 * load that comes in groups and unevenly: balancers spread a workspace's callers
 * over few of the hosts, and all hosts together must not spend a level more than
 * once while news travels.
 *
 * @module
 */
import type { Random } from "rampswitch-utils";
import { MOST_DIRECT_HOSTS } from "../membership/relay_plan.ts";

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

/** A request beside what is left of its limit. */
export interface PacedRequest extends AdmissionTerms {
  readonly name: string;
  readonly tokens: number;
  /** What is left of the limit, in tokens. */
  readonly level: number;
  /** Whether the limit itself is not used up, without what is tolerated. */
  readonly within: boolean;
  /** Hosts that may be admitting, this one included. */
  readonly hosts: number;
}

interface Span {
  readonly now: number;
  readonly lag: number;
}

/** What one host has admitted lately, and whether it may go on. */
export class SpendingPacer {
  readonly #random: Random;
  #pace: SpendingPace;
  #recent: readonly {
    readonly name: string;
    readonly tokens: number;
    readonly at: number;
  }[] = [];
  /** What this host drew last, and when. */
  #drawn = { at: -Infinity, value: 1 };

  constructor(pace: SpendingPace, random: Random) {
    this.#pace = pace;
    this.#random = random;
  }

  /** Changes how old the news of others may be. */
  setPace(pace: SpendingPace): void {
    this.#pace = pace;
  }

  /** Notes what was admitted. */
  spent(name: string, tokens: number, now: number): void {
    this.#recent = [...this.#recent, { name, tokens, at: now }];
  }

  /** Whether this host leaves a request to others, for now. */
  leavesToOthers(request: PacedRequest): boolean {
    const { tokens, within, deciders, now } = request;
    const span = { now, lag: this.lag(request) };
    const recent = this.#recentTokens(request.name, span);
    const share = shareOf(request);
    if (recent + tokens <= share) return false;
    if (recent > 0) return true;
    const draws = deciders !== undefined || request.hosts > MOST_DIRECT_HOSTS;
    return draws && !within && this.#draw(span) * tokens > share;
  }

  /** Time in which others may not know what this host admits, in milliseconds. */
  lag({ deciders }: AdmissionTerms): number {
    return deciders === undefined ? this.#pace.lag : DECIDER_LAG_MILLISECONDS;
  }

  /**
   * A number that a host draws once in the lag of the news, so that all together
   * admit about the level of requests that are larger than their shares. With
   * one request passed at each of 40 hosts, a fleet that was killed twice
   * admitted 480,000 tokens of 468,000.
   */
  #draw({ now, lag }: Span): number {
    if (now - this.#drawn.at >= lag) {
      this.#drawn = { at: now, value: this.#random.next() };
    }
    return this.#drawn.value;
  }

  /** Tokens that this host admitted within the lag of the news. */
  #recentTokens(name: string, { now, lag }: Span): number {
    const longest = Math.max(lag, this.#pace.lag);
    this.#recent = this.#recent.filter(({ at }) => now - at < longest);
    return this.#recent
      .filter((admitted) => admitted.name === name && now - admitted.at < lag)
      .reduce((sum, { tokens }) => sum + tokens, 0);
  }
}

/** Tokens that this host may admit within the lag of the news. */
function shareOf({ level, within, hosts, ...terms }: PacedRequest): number {
  const { deciders, asks } = terms;
  const spenders = Math.max(1, deciders ?? hosts);
  const slow = deciders !== undefined || spenders > MOST_DIRECT_HOSTS;
  const tolerated = slow
    ? UNEVEN_FACTORS.toleratedInLargeFleet
    : UNEVEN_FACTORS.tolerated;
  const factor = within ? UNEVEN_FACTORS.withinLimit : tolerated;
  const least = within && asks !== true ? LEAST_PART_WITHIN_LIMIT : 0;
  const most = deciders === undefined ? Infinity : MOST_PART_OF_DECIDER;
  return level * Math.min(most, Math.max(least, factor / spenders));
}
