// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Requests whose server became unresponsive. Most such servers are only slow, so
 * these requests count as losses only once the end of the server is confirmed.
 *
 * @module
 */

/** A request whose server became unresponsive. */
export interface UnconfirmedLoss {
  readonly fingerprint: string;
  readonly at: number;
}

/**
 * Time within which the end of an unresponsive server becomes known, in
 * milliseconds: its entry is removed after three missed heartbeats.
 */
const CONFIRMATION_WAIT_MILLISECONDS = 10_000;

/** Maximum number of unconfirmed losses; the newest ones are retained. */
const MAXIMUM_LOSSES = 1_000;

/** Unresponsive servers and the requests that they ran. */
export class UnconfirmedLosses {
  #losses: readonly (UnconfirmedLoss & { readonly incarnation: string })[] = [];

  /**
   * Records that an incarnation of a server became unresponsive while it ran a
   * request.
   */
  add(incarnation: string, fingerprint: string, at: number): void {
    this.#losses = [
      ...this.#pending(at).slice(1 - MAXIMUM_LOSSES),
      { incarnation, fingerprint, at },
    ];
  }

  /** Returns the requests of an incarnation that has ended, and removes them. */
  take(incarnation: string, now: number): readonly UnconfirmedLoss[] {
    if (this.#losses.length === 0) return [];
    const pending = this.#pending(now);
    this.#losses = pending.filter((loss) => loss.incarnation !== incarnation);
    return pending.filter((loss) => loss.incarnation === incarnation);
  }

  #pending(
    now: number,
  ): readonly (UnconfirmedLoss & { readonly incarnation: string })[] {
    return this.#losses.filter(
      ({ at }) => now - at < CONFIRMATION_WAIT_MILLISECONDS,
    );
  }
}
