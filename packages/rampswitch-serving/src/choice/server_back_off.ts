// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Back-off of this host from one incarnation of a backend server, and the return
 * after it. Nothing is sent until the back-off ends. Then one request is sent at a
 * time, and each accepted request doubles the number that may be in flight. Pure.
 *
 * @module
 */

/** A back-off that a server requested from this host. */
export interface BackOffRequest {
  /** When it was requested, in milliseconds on the monotonic clock. */
  readonly now: number;
  /** Requested length. */
  readonly milliseconds: number;
  /** Time between its end and the first send of this host, in milliseconds. */
  readonly returnDelay: number;
}

/**
 * Maximum length of a back-off, in milliseconds. Longer requests are cut, so that no
 * server is left out forever.
 */
const MAXIMUM_BACK_OFF_MILLISECONDS = 3_600_000;

/** Window over which the capacity plan counts back-offs, in milliseconds. */
const SHARE_WINDOW_MILLISECONDS = 10_000;

interface Interval {
  readonly from: number;
  readonly until: number;
}

/** Back-offs that one incarnation of a server requested from this host. */
export class ServerBackOff {
  #endsAt = -Infinity;
  #returnsAt = -Infinity;
  /** Maximum requests in flight after a back-off; infinite when unlimited. */
  #maximumInFlight = Infinity;
  #inFlight = 0;
  #backOffs: readonly Interval[] = [];

  /** When this host may send again, in milliseconds on the monotonic clock. */
  get returnsAt(): number {
    return this.#returnsAt;
  }

  /** Applies a requested back-off. Of several back-offs, the one that ends last counts. */
  requested({ now, milliseconds, returnDelay }: BackOffRequest): void {
    const endsAt = now + Math.min(milliseconds, MAXIMUM_BACK_OFF_MILLISECONDS);
    if (endsAt <= this.#endsAt) return;
    this.#backOffs = [...this.#recent(now), { from: now, until: endsAt }];
    this.#endsAt = endsAt;
    this.#returnsAt = endsAt + returnDelay;
    this.#maximumInFlight = 1;
  }

  /** Whether nothing may be sent yet. */
  isActive(now: number): boolean {
    return now < this.#returnsAt;
  }

  /** Whether the back-off allows one more request. */
  allowsSend(now: number): boolean {
    return !this.isActive(now) && this.#inFlight < this.#maximumInFlight;
  }

  /**
   * Records a send and returns callbacks for its progress; repeated calls have no
   * effect. The limit on requests in flight is lifted once it reaches the number of
   * slots of the server.
   */
  sent(slots: number): { requestAccepted(): void; ended(): void } {
    if (!Number.isFinite(this.#maximumInFlight)) return UNTRACKED_SEND;
    let inFlight = 1;
    let notAccepted = 1;
    this.#inFlight += 1;
    return {
      requestAccepted: () => {
        this.#maximumInFlight *= 2 ** notAccepted;
        notAccepted = 0;
        if (this.#maximumInFlight >= slots) this.#maximumInFlight = Infinity;
      },
      ended: () => {
        this.#inFlight -= inFlight;
        inFlight = 0;
      },
    };
  }

  /** Share of the window before `now` that back-offs covered, 0 to 1. */
  share(now: number): number {
    const since = now - SHARE_WINDOW_MILLISECONDS;
    const merged = this.#recent(now).reduce(
      ({ covered, last }, { from, until }) => ({
        covered:
          covered + Math.max(0, Math.min(until, now) - Math.max(from, last)),
        last: Math.max(last, Math.min(until, now)),
      }),
      { covered: 0, last: since },
    );
    return merged.covered / SHARE_WINDOW_MILLISECONDS;
  }

  #recent(now: number): readonly Interval[] {
    return this.#backOffs.filter(
      ({ until }) => until > now - SHARE_WINDOW_MILLISECONDS,
    );
  }
}

/** Callbacks for a send that no back-off limits. */
const UNTRACKED_SEND = {
  requestAccepted: () => undefined,
  ended: () => undefined,
};
