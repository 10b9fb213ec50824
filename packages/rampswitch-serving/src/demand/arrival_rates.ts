// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The rate at which requests arrive at this host, by service.
 *
 * @module
 */

/** Span over which arrivals are counted, in milliseconds. */
const SPAN_MILLISECONDS = 4_000;

/** Minimum span of a rate, in milliseconds; avoids high rates right after the start. */
const MINIMUM_SPAN_MILLISECONDS = 1_000;

/** Arrivals at this host by service. */
export class ArrivalRates {
  readonly #startedAt: number;
  readonly #arrivals = new Map<string, number[]>();

  constructor(now: number) {
    this.#startedAt = now;
  }

  /** Adds a request; returns the arrival rate, in requests per millisecond. */
  addArrival(service: string, now: number): number {
    const arrivals = this.#recent(service, now);
    if (arrivals.length === 0) this.#arrivals.set(service, arrivals);
    arrivals.push(now);
    return this.rate(service, now);
  }

  /** Rate of the arrivals, in requests per millisecond. */
  rate(service: string, now: number): number {
    const span = Math.min(SPAN_MILLISECONDS, now - this.#startedAt);
    return (
      this.#recent(service, now).length /
      Math.max(MINIMUM_SPAN_MILLISECONDS, span)
    );
  }

  /** Services with arrivals. */
  get services(): readonly string[] {
    return [...this.#arrivals.keys()];
  }

  #recent(service: string, now: number): number[] {
    const arrivals = this.#arrivals.get(service) ?? [];
    const oldest = now - SPAN_MILLISECONDS;
    while ((arrivals[0] ?? now) <= oldest) arrivals.shift();
    return arrivals;
  }
}
