// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Requests under which a server fell silent. Most such servers are only slow, so
 * the silence counts once the server's end is known.
 *
 * @module
 */

/** A request under which a server fell silent. */
export interface SilentLoss {
  readonly fingerprint: string;
  readonly at: number;
}

/**
 * Time in which the end of a silent server becomes known, in milliseconds: its
 * entry goes after three missed heartbeats.
 */
const AWAITED_MILLISECONDS = 10_000;

/** Losses that are kept, the newest ones. */
const MOST_LOSSES = 1_000;

/** Silent servers, and the requests that they had. */
export class SilentLosses {
  #losses: readonly (SilentLoss & { readonly life: string })[] = [];

  /** Notes that a life of a server fell silent under a request. */
  add(life: string, fingerprint: string, at: number): void {
    this.#losses = [
      ...this.#awaited(at).slice(1 - MOST_LOSSES),
      { life, fingerprint, at },
    ];
  }

  /** The requests of a life that has ended; they are asked for once. */
  take(life: string, now: number): readonly SilentLoss[] {
    if (this.#losses.length === 0) return [];
    const awaited = this.#awaited(now);
    this.#losses = awaited.filter((loss) => loss.life !== life);
    return awaited.filter((loss) => loss.life === life);
  }

  #awaited(now: number): readonly (SilentLoss & { readonly life: string })[] {
    return this.#losses.filter(({ at }) => now - at < AWAITED_MILLISECONDS);
  }
}
