// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Counting and rate limiting of one process's calls to the platform's object API.
 *
 * @module
 */
import type { Clock, Metrics } from "rampswitch-utils";

/** Kinds of calls to the object API; each has a counter. */
export const CALL_KINDS = ["get", "list", "put", "remove", "watch"] as const;

/** One kind of {@link CALL_KINDS}. */
export type CallKind = (typeof CALL_KINDS)[number];

/**
 * Counts calls and rejects those over a rate limit: a token bucket that holds the
 * calls of one second.
 */
export class CallAccounting {
  readonly #clock: Clock;
  readonly #metrics: Metrics;
  readonly #callsPerSecond: () => number;
  #tokens: number;
  #refilledAt: number;

  constructor(
    clock: Clock,
    metrics: Metrics,
    options: { readonly callsPerSecond: () => number },
  ) {
    this.#clock = clock;
    this.#metrics = metrics;
    this.#callsPerSecond = options.callsPerSecond;
    this.#tokens = options.callsPerSecond();
    this.#refilledAt = clock.now();
  }

  /** Counts a call; returns `false` if it is over the rate limit. */
  admit(kind: CallKind): boolean {
    this.#refill();
    if (this.#tokens < 1) {
      this.#metrics.count("store.over_ceiling", kind);
      return false;
    }
    this.#tokens -= 1;
    this.#metrics.count("store.call", kind);
    return true;
  }

  #refill(): void {
    const now = this.#clock.now();
    const rate = this.#callsPerSecond();
    const refilled = ((now - this.#refilledAt) * rate) / 1000;
    this.#tokens = Math.min(rate, this.#tokens + refilled);
    this.#refilledAt = now;
  }
}
