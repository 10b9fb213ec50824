// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The limit that a stand-in of a backend server names, and what arrives there
 * beside it, from all hosts together.
 *
 * @module
 */

/** What a server named, from a time on; `undefined` for no limit. */
interface NamedLimit {
  readonly at: number;
  readonly perSecond: number | undefined;
}

/**
 * Requests beyond limit x time that a server may get at once. It stays the same
 * however many hosts there are.
 */
export const ALLOWED_BEYOND = 5;

/** Share by which a server may be overrun before it suffers. */
const SUFFERS_FROM = 1.5;

/** Time that hosts have to learn of a limit, in milliseconds. */
export const LEARNT_MILLISECONDS = 3_000;

/** What a limit looks like that means something. */
const DECIMAL = /^\d+(\.\d+)?$/;

/** The limits of one server, and the arrivals there. */
export class NamedLimits {
  readonly #arrivals: number[] = [];
  #named: readonly NamedLimit[] = [];
  #text: string | undefined;
  /** Whether a server that is overrun takes longer and turns requests away. */
  suffers = false;
  /** Requests that have come faster than they should, as a leaking bucket. */
  #suffered = { at: 0, level: 0 };

  /** What answers name; it may be no number at all. */
  get named(): string | undefined {
    return this.#text;
  }

  /** Whether any limit was named so far. */
  get everNamed(): boolean {
    return this.#named.some(({ perSecond }) => perSecond !== undefined);
  }

  /** Times of all that arrived, in milliseconds of the process. */
  get arrivals(): readonly number[] {
    return this.#arrivals;
  }

  /** Names a limit from now on; `undefined` ends it. */
  name(text: string | undefined, now = performance.now()): void {
    this.#text = text;
    const isLimit = text !== undefined && DECIMAL.test(text);
    this.#named = [
      ...this.#named,
      { at: now, perSecond: isLimit ? Number(text) : undefined },
    ];
  }

  /** A new life of the server has no limit. */
  startAnew(now: number): void {
    if (this.#named.length > 0) this.name(undefined, now);
  }

  /** Notes an arrival; tells whether the server suffers from it. */
  arrived(now: number): { readonly suffers: boolean } {
    this.#arrivals.push(now);
    const perSecond = this.#named.at(-1)?.perSecond;
    if (perSecond === undefined) {
      this.#suffered = { at: now, level: 0 };
      return { suffers: false };
    }
    const rate = SUFFERS_FROM * perSecond;
    const leaked = (rate * (now - this.#suffered.at)) / 1_000;
    const level = Math.max(0, this.#suffered.level - leaked) + 1;
    this.#suffered = { at: now, level };
    return { suffers: this.suffers && level > rate + 2 * ALLOWED_BEYOND };
  }

  /**
   * Most requests beyond limit x time over any span, counted from the time on at
   * which hosts have to know of the limit. News of a change takes as long: until
   * then the highest limit of that time holds.
   */
  mostBeyond(learntMilliseconds = LEARNT_MILLISECONDS): number {
    const counted = this.#arrivals.reduce(
      (sum, at) => {
        const perSecond = this.#inForce(at, learntMilliseconds);
        if (perSecond === undefined) return { ...sum, at, level: 0 };
        const leaked = (perSecond * (at - sum.at)) / 1_000;
        const level = Math.max(0, sum.level - leaked) + 1;
        return { at, level, most: Math.max(sum.most, level) };
      },
      { at: 0, level: 0, most: 0 },
    );
    return counted.most;
  }

  /** The limit that hosts hold at a time; `undefined` for none. */
  #inForce(at: number, learntMilliseconds: number): number | undefined {
    const before = this.#named.findLastIndex(
      (named) => named.at <= at - learntMilliseconds,
    );
    const recent = this.#named
      .slice(Math.max(0, before))
      .filter((named) => named.at <= at)
      .map(({ perSecond }) => perSecond ?? Infinity);
    const highest = before < 0 ? Infinity : Math.max(...recent);
    return Number.isFinite(highest) ? highest : undefined;
  }
}
