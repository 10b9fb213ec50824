// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Counts requests that began to run, by reporting window and workspace: this
 * host's own and those that peers report.
 *
 * @module
 */
import type { WindowCounts } from "../membership/peer_messages.ts";

/** Number of windows retained after their end; longer than a takeover takes. */
const RETAINED_WINDOWS = 5;

/** Number of windows after which a window may still be reported. */
const LATE_REPORT_WINDOWS = 2;

/** Counts of one window by workspace. */
export type UsageCounts = Readonly<Record<string, number>>;

/** Counts by host and incarnation. */
export type IncarnationCounts = Readonly<Record<string, WindowCounts>>;

/** Usage as one host knows it. */
export class UsageCounter {
  readonly #windowMilliseconds: number;
  /** By window and workspace; changed in place, since each request counts. */
  readonly #own = new Map<number, Map<string, number>>();
  /** By host and incarnation. */
  readonly #peers = new Map<string, WindowCounts>();

  #droppedBefore = -Infinity;

  constructor(windowMilliseconds: number) {
    this.#windowMilliseconds = windowMilliseconds;
  }

  /** Returns the window of a time of day. */
  windowOf(wallTime: number): number {
    return Math.floor(wallTime / this.#windowMilliseconds);
  }

  /** When a window ends, as a time of day in milliseconds. */
  endOf(window: number): number {
    return (window + 1) * this.#windowMilliseconds;
  }

  /** Counts a request that began to run. */
  countRequest(workspace: string, wallTime: number): void {
    const window = this.windowOf(wallTime);
    const counts = this.#own.get(window) ?? this.#addWindow(window);
    counts.set(workspace, (counts.get(workspace) ?? 0) + 1);
  }

  #addWindow(window: number): Map<string, number> {
    [...this.#own.keys()]
      .filter((known) => known <= window - RETAINED_WINDOWS)
      .forEach((known) => this.#own.delete(known));
    const counts = new Map<string, number>();
    this.#own.set(window, counts);
    return counts;
  }

  #ownCounts(): WindowCounts {
    return Object.fromEntries(
      [...this.#own].map(([window, counts]) => [
        window,
        Object.fromEntries(counts),
      ]),
    );
  }

  /** Returns own counts of the newest windows, to report to the peers. */
  ownCounts(wallTime: number): WindowCounts {
    return newestWindows(this.#ownCounts(), this.windowOf(wallTime));
  }

  /**
   * Receives a peer's counts; each message repeats all counts of its windows.
   */
  receiveCounts(peer: string, incarnation: string, counts: WindowCounts): void {
    this.#peers.set(`${peer}/${incarnation}`, {
      ...this.#peers.get(`${peer}/${incarnation}`),
      ...counts,
    });
  }

  /**
   * Returns counts of windows that are not final, by incarnation. They are
   * stored in case all hosts end at once. Counts of far windows are left out,
   * since clocks differ little.
   */
  openCounts(
    self: string,
    open: {
      readonly wallTime: number;
      readonly isFinal: (window: number) => boolean;
    },
  ): IncarnationCounts {
    const now = this.windowOf(open.wallTime);
    const isRetained = (window: number) =>
      Math.abs(window - now) < RETAINED_WINDOWS && !open.isFinal(window);
    const byIncarnation = [[self, this.#ownCounts()] as const, ...this.#peers];
    return Object.fromEntries(
      byIncarnation
        .map(
          ([incarnationKey, counts]) =>
            [incarnationKey, filterWindows(counts, isRetained)] as const,
        )
        .filter(([, counts]) => Object.keys(counts).length > 0),
    );
  }

  /** Restores counts from the store, except those of this process. */
  restore(storedCounts: IncarnationCounts, self: string): void {
    Object.entries(storedCounts)
      .filter(
        ([incarnationKey]) =>
          incarnationKey !== self && !this.#peers.has(incarnationKey),
      )
      .forEach(([incarnationKey, counts]) =>
        this.#peers.set(incarnationKey, counts),
      );
  }

  /** Whether any host is known to have begun requests in a window. */
  hasCounts(window: number): boolean {
    return Object.keys(this.total(window)).length > 0;
  }

  /** Returns the counts of a window over all hosts. */
  total(window: number): UsageCounts {
    return [...this.#peers.values()]
      .flatMap((counts) => Object.entries(counts[window] ?? {}))
      .concat([...(this.#own.get(window) ?? [])])
      .reduce<Record<string, number>>((sum, [workspace, count]) => {
        sum[workspace] = (sum[workspace] ?? 0) + count;
        return sum;
      }, {});
  }

  /**
   * Drops peers' counts of windows that are too old to be reported, once in
   * each window. Every host calls it with each round of gossip, because hosts
   * that never hold the duties receive all counts too.
   */
  dropOldWindows(wallTime: number): void {
    const oldest = this.windowOf(wallTime) - LATE_REPORT_WINDOWS;
    if (oldest === this.#droppedBefore) return;
    this.#droppedBefore = oldest;
    [...this.#peers].forEach(([peer, counts]) => {
      const retained = newestWindows(counts, oldest);
      if (Object.keys(retained).length === 0) this.#peers.delete(peer);
      else this.#peers.set(peer, retained);
    });
  }
}

function newestWindows(counts: WindowCounts, window: number): WindowCounts {
  return filterWindows(counts, (name) => name > window - RETAINED_WINDOWS);
}

function filterWindows(
  counts: WindowCounts,
  isRetained: (window: number) => boolean,
): WindowCounts {
  return Object.fromEntries(
    Object.entries(counts).filter(([name]) => isRetained(Number(name))),
  );
}
