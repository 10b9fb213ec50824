// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The rest that a stand-in of a backend server asks for when it turns requests away,
 * and what arrives there all the same.
 *
 * @module
 */

/** One rest that was asked for, in milliseconds of the process. */
export interface AskedRest {
  /** The request that was turned away with it. */
  readonly attempt: string;
  readonly from: number;
  readonly until: number;
}

/**
 * Time from the asking on in which requests that were under way still arrive, in
 * milliseconds.
 */
const UNDER_WAY_MILLISECONDS = 500;

/** What a rest looks like that means something, in seconds. */
const DECIMAL = /^\d+(\.\d+)?$/;

interface Arrival {
  readonly at: number;
  readonly attempt: string;
}

/** The rests of one server, and the arrivals there. */
export class AskedRests {
  /** What rejections ask for, in seconds; it may be no number at all. */
  asks: string | undefined;
  readonly #arrivals: Arrival[] = [];
  #rests: readonly AskedRest[] = [];

  /** Times of all that arrived. */
  get arrivals(): readonly number[] {
    return this.#arrivals.map(({ at }) => at);
  }

  /** Rests that were asked for so far. */
  get rests(): readonly AskedRest[] {
    return this.#rests;
  }

  /** Notes the arrival of a request. */
  arrived(attempt: string, now = performance.now()): void {
    this.#arrivals.push({ at: now, attempt });
  }

  /** Notes a rejection, which asks for a rest. */
  turnedAway(attempt: string, now = performance.now()): void {
    if (this.asks === undefined || !DECIMAL.test(this.asks)) return;
    const until = now + 1_000 * Number(this.asks);
    this.#rests = [...this.#rests, { attempt, from: now, until }];
  }

  /** Most requests that arrived within one rest, but for those under way. */
  get mostWithin(): number {
    const within = this.#rests.map(({ from, until }) =>
      this.#between(from + UNDER_WAY_MILLISECONDS, until),
    );
    return Math.max(0, ...within);
  }

  /**
   * Requests that arrived within a rest from the host that was asked for it, but for
   * those under way; `hostOf` tells which host was asked a request.
   */
  withinOf(
    { attempt, from, until }: AskedRest,
    hostOf: (attempt: string) => string | undefined,
  ): number {
    const host = hostOf(attempt);
    return this.#arrivals.filter(
      (arrival) =>
        arrival.at >= from + UNDER_WAY_MILLISECONDS &&
        arrival.at < until &&
        hostOf(arrival.attempt) === host,
    ).length;
  }

  /** Most requests that arrived so soon after the end of a rest. */
  mostAfter(milliseconds: number): number {
    const ends = this.#rests
      .map(({ until }) => until)
      .filter(
        (end) =>
          !this.#rests.some(({ from, until }) => from < end && until > end),
      );
    const after = ends.map((end) => this.#between(end, end + milliseconds));
    return Math.max(0, ...after);
  }

  #between(from: number, until: number): number {
    return this.arrivals.filter((at) => at >= from && at < until).length;
  }
}
