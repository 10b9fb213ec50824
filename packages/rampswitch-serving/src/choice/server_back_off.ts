// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The rest that one life of a backend server asked this host for, and the return
 * after it: nothing is sent to the end of the rest, then one request after the other,
 * and with each one that is taken twice as many at once. Pure.
 *
 * @module
 */

/** A rest as it was asked for. */
export interface RestAsked {
  /** When it was asked for, on the steady clock. */
  readonly now: number;
  readonly milliseconds: number;
  /** Time after its end at which this host is to return, in milliseconds. */
  readonly returnsAfter: number;
}

/** Longest rest that is kept, in milliseconds; no server is left out for ever. */
const LONGEST_MILLISECONDS = 3_600_000;

/** Time over which a server's rests count for the plan, in milliseconds. */
const COUNTED_MILLISECONDS = 10_000;

interface Span {
  readonly from: number;
  readonly until: number;
}

/** Rests of one life of a server, as this host was asked for them. */
export class AskedRest {
  #until = -Infinity;
  #returnsAt = -Infinity;
  /** Requests that may be there at once after a rest; infinite where all may. */
  #allowed = Infinity;
  #underWay = 0;
  #spans: readonly Span[] = [];

  /** When this host returns, on the steady clock. */
  get returnsAt(): number {
    return this.#returnsAt;
  }

  /** Takes in that a rest is asked for; the latest of several ends holds. */
  asked({ now, milliseconds, returnsAfter }: RestAsked): void {
    const until = now + Math.min(milliseconds, LONGEST_MILLISECONDS);
    if (until <= this.#until) return;
    this.#spans = [...this.#recent(now), { from: now, until }];
    this.#until = until;
    this.#returnsAt = until + returnsAfter;
    this.#allowed = 1;
  }

  /** Whether nothing may be sent. */
  holds(now: number): boolean {
    return now < this.#returnsAt;
  }

  /** Whether one more request may be sent, as far as rests go. */
  takes(now: number): boolean {
    return !this.holds(now) && this.#underWay < this.#allowed;
  }

  /**
   * Notes a send after a rest; the returned functions end its parts, each once. All
   * may be sent once as many are taken at once as the server has slots.
   */
  sent(slots: number): { taken(): void; ended(): void } {
    if (!Number.isFinite(this.#allowed)) return NOTHING_TO_END;
    let underWay = 1;
    let untaken = 1;
    this.#underWay += 1;
    return {
      taken: () => {
        this.#allowed *= 2 ** untaken;
        untaken = 0;
        if (this.#allowed >= slots) this.#allowed = Infinity;
      },
      ended: () => {
        this.#underWay -= underWay;
        underWay = 0;
      },
    };
  }

  /** Part of the newest time in which the server rested, 0 to 1. */
  share(now: number): number {
    const since = now - COUNTED_MILLISECONDS;
    const merged = this.#recent(now).reduce(
      ({ rested, last }, { from, until }) => ({
        rested:
          rested + Math.max(0, Math.min(until, now) - Math.max(from, last)),
        last: Math.max(last, Math.min(until, now)),
      }),
      { rested: 0, last: since },
    );
    return merged.rested / COUNTED_MILLISECONDS;
  }

  #recent(now: number): readonly Span[] {
    return this.#spans.filter(
      ({ until }) => until > now - COUNTED_MILLISECONDS,
    );
  }
}

const NOTHING_TO_END = {
  taken: () => undefined,
  ended: () => undefined,
};
