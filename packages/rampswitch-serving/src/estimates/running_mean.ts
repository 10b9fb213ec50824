// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Running means: the first measurements are averaged equally, and later ones have a
 * minimum weight each, so that the mean follows changes. Pure.
 *
 * @module
 */

/** A mean and the number of its measurements. */
export interface RunningMean {
  /** Measurements so far; the initial value counts as one. */
  readonly measurements: number;
  readonly value: number;
}

/** A mean before the first measurement. */
export function initialMean(value: number): RunningMean {
  return { measurements: 1, value };
}

/** Weight of the newest one of some measurements. */
export function measurementWeight(
  measurements: number,
  minimumWeight: number,
): number {
  return Math.max(minimumWeight, 1 / measurements);
}

/** The mean with one measurement added. */
export function withMeasurement(
  mean: RunningMean,
  measurement: number,
  minimumWeight: number,
): RunningMean {
  const measurements = mean.measurements + 1;
  const weight = measurementWeight(measurements, minimumWeight);
  return {
    measurements,
    value: mean.value + weight * (measurement - mean.value),
  };
}
