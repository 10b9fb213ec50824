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
import type { Workspace } from "../model/configuration.ts";

/**
 * A peer that has been silent for this long is taken to go on spending its
 * even share of the rate; in milliseconds. Four exchanges of peer news.
 */
const PEER_SILENCE_MILLISECONDS = 1_000;

/**
 * Peers silent for longer than this are taken to be gone; in milliseconds.
 * Longer than the window over which limits are judged on the known platforms.
 */
const PEER_GONE_MILLISECONDS = 10_000;

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
const USED_TOLERANCE = 0.5;

interface Bucket {
  readonly level: number;
  readonly refilledAt: number;
}

interface PeerSpending {
  readonly incarnation: string;
  /** Total that the peer has told for each workspace since its start. */
  readonly totals: ReadonlyMap<string, number>;
  readonly heardAt: number;
}

/** What a host has admitted for each workspace since its start, in tokens. */
export type AdmittedTotals = Readonly<Record<string, number>>;

/** The answer to a request for admission. */
export type LimitDecision =
  | { readonly kind: "admitted" }
  | { readonly kind: "over_limit"; readonly retryAfterMilliseconds: number };

/** Token buckets of all workspaces, as one host sees them. */
export class WorkspaceLimits {
  readonly #tolerance: LimitTolerance;
  #workspaces: ReadonlyMap<string, Workspace> = new Map();
  readonly #buckets = new Map<string, Bucket>();
  readonly #admitted = new Map<string, number>();
  readonly #peers = new Map<string, PeerSpending>();

  constructor(tolerance: LimitTolerance) {
    this.#tolerance = tolerance;
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
          bucket?.level ?? this.#capacity(workspace),
        ),
        refilledAt: bucket?.refilledAt ?? now,
      });
    });
  }

  /** Admits a request of a workspace, or says when to come back. */
  admit(name: string, tokens: number, now: number): LimitDecision {
    const workspace = this.#workspaces.get(name);
    if (workspace === undefined || workspace.tokensPerSecond === 0) {
      this.#note(name, tokens);
      return { kind: "admitted" };
    }
    const level = this.#refill(workspace, now);
    // A request larger than the whole bucket passes when the bucket is full.
    const needed = Math.min(tokens, this.#capacity(workspace));
    if (level < needed) {
      const missing = needed - level;
      return {
        kind: "over_limit",
        retryAfterMilliseconds: Math.ceil(
          (missing / workspace.tokensPerSecond) * 1_000,
        ),
      };
    }
    this.#take(name, tokens);
    this.#note(name, tokens);
    return { kind: "admitted" };
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

  /** Takes in what a peer has admitted since its start. */
  heard(
    peer: string,
    news: { readonly incarnation: string; readonly totals: AdmittedTotals },
    now: number,
  ): void {
    const before = this.#peers.get(peer);
    const sameLife = before?.incarnation === news.incarnation;
    const totals = new Map(Object.entries(news.totals));
    totals.forEach((total, name) => {
      const known = sameLife ? (before.totals.get(name) ?? 0) : 0;
      const first = before === undefined;
      if (!first) this.#take(name, total - known);
    });
    this.#peers.set(peer, {
      incarnation: news.incarnation,
      totals,
      heardAt: now,
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
    const gained = workspace.tokensPerSecond * passed * this.#heardShare(now);
    const level = Math.min(this.#capacity(workspace), bucket.level + gained);
    this.#buckets.set(workspace.name, { level, refilledAt: now });
    return level;
  }

  /** Most tokens that a workspace's bucket holds. */
  #capacity(workspace: Workspace): number {
    const { slackTokens, overShare, windowMilliseconds } = this.#tolerance;
    const seconds = windowMilliseconds / 1_000;
    const window =
      workspace.tokensPerSecond * seconds + workspace.burstTokens;
    // The slack is counted in tokens; limits in requests get none of it.
    const slack = workspace.countsTokens ? slackTokens : 0;
    return (
      workspace.burstTokens + USED_TOLERANCE * (window * overShare + slack)
    );
  }

  /** Share of the fleet's rate that is left beside silent peers. */
  #heardShare(now: number): number {
    const ages = [...this.#peers.values()].map((peer) => now - peer.heardAt);
    const alive = ages.filter((age) => age < PEER_GONE_MILLISECONDS).length;
    const silent = ages.filter(
      (age) => age >= PEER_SILENCE_MILLISECONDS && age < PEER_GONE_MILLISECONDS,
    ).length;
    return 1 - silent / (alive + 1);
  }
}
