// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * KV-cache memory that requests hold at one incarnation of an engine, with the growth
 * that is expected of their answers. An engine whose memory runs out preempts requests,
 * which are then computed anew. Pure; times are in milliseconds on the monotonic clock
 * of this host.
 *
 * @module
 */

/** Time for which a figure of a peer counts, in milliseconds. */
const PEER_FIGURE_LIFETIME_MILLISECONDS = 1_500;

/**
 * Largest figure of a peer that is accepted, in tokens. It is far above what any engine
 * holds; greater figures come from a fault.
 */
const MAXIMUM_TOKENS = 1e9;

interface PeerFigure {
  readonly tokens: number;
  readonly until: number;
}

/** Tokens that the requests of all hosts will hold at one incarnation of an engine. */
export class EngineMemory {
  #own = 0;
  /** Figures of peers; absent before the first one. */
  #peers: Map<string, PeerFigure> | undefined;

  /** Tokens that the requests of this host will hold. */
  get ownTokens(): number {
    return this.#own;
  }

  /**
   * Adds a request that will hold so many tokens. Returns a function that removes it;
   * repeated calls have no effect.
   */
  started(tokens: number): () => void {
    if (!isPlausible(tokens)) return () => undefined;
    let held = tokens;
    this.#own += held;
    return () => {
      this.#own -= held;
      held = 0;
    };
  }

  /**
   * Applies the figure of a peer. An absent or implausible one removes the figure of
   * before, as does the end of its lifetime when the peer's host has ended.
   */
  received(peer: string, tokens: number | undefined, now: number): void {
    if (tokens === undefined || !isPlausible(tokens) || tokens === 0) {
      this.#peers?.delete(peer);
      return;
    }
    const until = now + PEER_FIGURE_LIFETIME_MILLISECONDS;
    this.#peers ??= new Map();
    this.#peers.set(peer, { tokens, until });
  }

  /** Returns the tokens of all hosts, or of all but one. */
  tokens(now: number, except?: string): number {
    let sum = this.#own;
    if (this.#peers === undefined) return sum;
    for (const [peer, { tokens, until }] of this.#peers) {
      if (now < until && peer !== except) sum += tokens;
    }
    return sum;
  }
}

function isPlausible(tokens: number): boolean {
  return tokens >= 0 && tokens <= MAXIMUM_TOKENS;
}
