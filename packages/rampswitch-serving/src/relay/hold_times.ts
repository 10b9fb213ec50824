// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Hold times: how long requests of each service occupy a slot of a server, estimated
 * from answers. On a full server with N slots one slot becomes free in each Nth part of
 * the hold time.
 *
 * @module
 */
import {
  initialMean,
  type RunningMean,
  withMeasurement,
} from "./running_mean.ts";

/** Hold time before the first measurement, in milliseconds. */
const INITIAL_MILLISECONDS = 1_000;

/** Minimum weight of a new measurement; the first ones are averaged equally. */
const MINIMUM_WEIGHT = 0.02;

/** Bounds of accepted measurements, in milliseconds; others are clamped. */
const MINIMUM_MILLISECONDS = 5;
const MAXIMUM_MILLISECONDS = 30_000;

const INITIAL_MEAN = initialMean(INITIAL_MILLISECONDS);

/** Estimated hold times by service. */
export class HoldTimes {
  readonly #times = new Map<string, RunningMean>();

  /** Time for which a request of the service occupies a slot, in milliseconds. */
  of(service: string): number {
    return (this.#times.get(service) ?? INITIAL_MEAN).value;
  }

  /** Adds the time for which a request occupied its slot, in milliseconds. */
  addMeasurement(service: string, milliseconds: number): void {
    const known = this.#times.get(service) ?? INITIAL_MEAN;
    const bounded = Math.min(
      MAXIMUM_MILLISECONDS,
      Math.max(MINIMUM_MILLISECONDS, milliseconds),
    );
    this.#times.set(service, withMeasurement(known, bounded, MINIMUM_WEIGHT));
  }
}
