// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Requests that wait at the host for a place of its share at brittle servers, the first
 * one first. None of them waits at a server.
 *
 * @module
 */
import type { Clock } from "rampswitch-utils";

/** Maximum number of requests that wait. */
const MAXIMUM_WAITING = 64;

/** A request that may wait for a place. */
export interface ShareWait {
  /** Time until which it may wait, in milliseconds on the monotonic clock. */
  readonly latestAt: number;
  /** Sends the request if there is a place now; whether it waits no longer. */
  attempt(): boolean;
  /** Refuses the request, as no place became free in time. */
  refuse(): void;
}

/** The requests that wait for places. */
export class ShareWaits {
  readonly #clock: Clock;
  readonly #waits = new Set<ShareWait>();
  #cancelTimer: () => void = () => undefined;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Has a request wait; returns how to end that, or `undefined` if it may not. */
  add(wait: ShareWait): (() => void) | undefined {
    const isLate = wait.latestAt <= this.#clock.now();
    if (isLate || this.#waits.size >= MAXIMUM_WAITING) return undefined;
    this.#waits.add(wait);
    this.#schedule();
    return () => {
      this.#waits.delete(wait);
    };
  }

  /** Offers a place that became free to the requests that wait. */
  released(): void {
    for (const wait of [...this.#waits]) {
      if (!this.#waits.has(wait)) continue;
      if (!wait.attempt()) return;
      this.#waits.delete(wait);
    }
  }

  /** Sets the one timer to when the next request is too late. */
  #schedule(): void {
    this.#cancelTimer();
    if (this.#waits.size === 0) return;
    const latest = Math.min(
      ...[...this.#waits].map(({ latestAt }) => latestAt),
    );
    this.#cancelTimer = this.#clock.after(
      Math.max(1, latest - this.#clock.now()),
      () => this.#refuseLate(),
    );
  }

  #refuseLate(): void {
    const now = this.#clock.now();
    const late = [...this.#waits].filter(({ latestAt }) => latestAt <= now);
    late.forEach((wait) => this.#waits.delete(wait));
    this.#schedule();
    late.forEach((wait) => wait.refuse());
  }
}
