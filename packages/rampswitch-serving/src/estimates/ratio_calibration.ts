// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Usual ratio of measured to expected times at the servers of a service, and its spread.
 * Only what exceeds the spread says something about one server.
 *
 * @module
 */
import { measurementWeight } from "./running_mean.ts";

/** Minimum weight of a new ratio; the first ones are averaged equally. */
const MINIMUM_WEIGHT = 0.02;

/** Ratios from which usual ones are known; before that, each counts as usual. */
const MINIMUM_RATIOS = 5;

/**
 * Greatest deviation that counts in the mean and the spread, as a logarithm. One server
 * with a false report must not change what is usual for the others.
 */
const MAXIMUM_DEVIATION = Math.log(3);

/** Usual ratio of measured to expected times. */
export class RatioCalibration {
  #ratios = 0;
  #meanLog = 0;
  #deviation = 0;

  /**
   * Returns by which factor a ratio is beyond the usual ones, 1 if it is not, and adds
   * the ratio to them.
   */
  calibrated(ratio: number): number {
    if (!(ratio > 0)) return 1;
    const log = Math.log(ratio);
    this.#ratios += 1;
    const weight = measurementWeight(this.#ratios, MINIMUM_WEIGHT);
    const difference = log - this.#meanLog;
    const beyond = Math.max(0, Math.abs(difference) - this.#deviation);
    const isKnown = this.#ratios > MINIMUM_RATIOS;
    const counted = isKnown ? clamped(difference) : difference;
    this.#meanLog += weight * counted;
    if (this.#ratios > 1) {
      this.#deviation += weight * (Math.abs(counted) - this.#deviation);
    }
    return isKnown ? Math.exp(Math.sign(difference) * beyond) : 1;
  }
}

function clamped(difference: number): number {
  return Math.min(MAXIMUM_DEVIATION, Math.max(-MAXIMUM_DEVIATION, difference));
}
