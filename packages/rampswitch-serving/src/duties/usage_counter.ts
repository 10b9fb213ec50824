// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Requests that began to run, by reporting window and workspace: this host's
 * own and what peers tell of theirs.
 *
 * @module
 */
import type { WindowCounts } from "../membership/peer_news.ts";

/** Windows kept after their end; longer than a takeover takes. */
const KEPT_WINDOWS = 5;

/** Windows after which one may still be reported. */
const REPORTED_LATE_WINDOWS = 2;

/** Counts of one window by workspace. */
export type UsageCounts = Readonly<Record<string, number>>;

/** Counts by host and life of its process. */
export type LifeCounts = Readonly<Record<string, WindowCounts>>;

/** Usage as one host knows it. */
export class UsageCounter {
  readonly #windowMilliseconds: number;
  #own: WindowCounts = {};
  /** By host and life of its process. */
  readonly #peers = new Map<string, WindowCounts>();

  #forgottenBefore = -Infinity;

  constructor(windowMilliseconds: number) {
    this.#windowMilliseconds = windowMilliseconds;
  }

  /** The window of a time of day. */
  windowOf(wallTime: number): number {
    return Math.floor(wallTime / this.#windowMilliseconds);
  }

  /** When a window ends, as a time of day in milliseconds. */
  endOf(window: number): number {
    return (window + 1) * this.#windowMilliseconds;
  }

  /** Counts a request that began to run. */
  began(workspace: string, wallTime: number): void {
    const window = this.windowOf(wallTime);
    const counts = this.#own[window] ?? {};
    this.#own = newest(
      {
        ...this.#own,
        [window]: { ...counts, [workspace]: (counts[workspace] ?? 0) + 1 },
      },
      window,
    );
  }

  /** Own counts of the newest windows, to tell the peers. */
  own(wallTime: number): WindowCounts {
    return newest(this.#own, this.windowOf(wallTime));
  }

  /** Takes in a peer's counts; each message tells all of them anew. */
  heard(peer: string, incarnation: string, counts: WindowCounts): void {
    this.#peers.set(`${peer}/${incarnation}`, {
      ...this.#peers.get(`${peer}/${incarnation}`),
      ...counts,
    });
  }

  /**
   * Counts of windows that are not final, by life of a process, to keep in the store
   * in case that all hosts end at once. Not those of far windows: clocks are near.
   */
  lives(
    self: string,
    open: {
      readonly wallTime: number;
      readonly isFinal: (window: number) => boolean;
    },
  ): LifeCounts {
    const now = this.windowOf(open.wallTime);
    const isKept = (window: number) =>
      Math.abs(window - now) < KEPT_WINDOWS && !open.isFinal(window);
    const lives = [[self, this.#own] as const, ...this.#peers];
    return Object.fromEntries(
      lives
        .map(([life, counts]) => [life, windowsOf(counts, isKept)] as const)
        .filter(([, counts]) => Object.keys(counts).length > 0),
    );
  }

  /** Takes in counts that the store kept, except those of this process. */
  restore(lives: LifeCounts, self: string): void {
    Object.entries(lives)
      .filter(([life]) => life !== self && !this.#peers.has(life))
      .forEach(([life, counts]) => this.#peers.set(life, counts));
  }

  /** Whether any host is known to have begun requests in a window. */
  knows(window: number): boolean {
    return Object.keys(this.total(window)).length > 0;
  }

  /** Counts of a window over all hosts. */
  total(window: number): UsageCounts {
    return [this.#own, ...this.#peers.values()]
      .flatMap((counts) => Object.entries(counts[window] ?? {}))
      .reduce<Record<string, number>>((sum, [workspace, count]) => {
        sum[workspace] = (sum[workspace] ?? 0) + count;
        return sum;
      }, {});
  }

  /**
   * Forgets what others told of windows that are too old to be reported, once in each
   * window. Every host calls it with each round of news: those that never hold the
   * duties hear all counts too.
   */
  forgetOld(wallTime: number): void {
    const oldest = this.windowOf(wallTime) - REPORTED_LATE_WINDOWS;
    if (oldest === this.#forgottenBefore) return;
    this.#forgottenBefore = oldest;
    [...this.#peers].forEach(([peer, counts]) => {
      const kept = newest(counts, oldest);
      if (Object.keys(kept).length === 0) this.#peers.delete(peer);
      else this.#peers.set(peer, kept);
    });
  }
}

function newest(counts: WindowCounts, window: number): WindowCounts {
  return windowsOf(counts, (name) => name > window - KEPT_WINDOWS);
}

function windowsOf(
  counts: WindowCounts,
  isKept: (window: number) => boolean,
): WindowCounts {
  return Object.fromEntries(
    Object.entries(counts).filter(([name]) => isKept(Number(name))),
  );
}
