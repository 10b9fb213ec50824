// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Slopes: how a figure grows with a size, fitted over several sizes.
 *
 * @module
 */
import {
  linearRegression,
  linearRegressionLine,
  rSquared,
} from "simple-statistics";

/** One measured point. */
export interface SlopePoint {
  readonly size: number;
  readonly value: number;
}

/** A fitted line. */
export interface Slope {
  /** What the value counts, as `microseconds`. */
  readonly unit: string;
  /** What the size counts, as `backend servers`. */
  readonly per: string;
  readonly slope: number;
  readonly intercept: number;
  /** Share of the variance that the line explains. */
  readonly fit: number;
  /** Largest distance of a point from the line, as a share of its value. */
  readonly largestError: number;
  readonly points: readonly SlopePoint[];
}

const SIGNIFICANT_DIGITS = 4;

/** Fits a line through points. */
export function fitSlope(
  points: readonly SlopePoint[],
  units: Pick<Slope, "unit" | "per">,
): Slope {
  const pairs = points.map(({ size, value }) => [size, value]);
  const { m, b } = linearRegression(pairs);
  const line = linearRegressionLine({ m, b });
  const largestError = points.reduce((most, { size, value }) => {
    const error = Math.abs(line(size) - value) / Math.max(1e-9, value);
    return Math.max(most, error);
  }, 0);
  return {
    ...units,
    slope: significant(m),
    intercept: significant(b),
    fit: significant(rSquared(pairs, line)),
    largestError: significant(largestError),
    points: points.map(({ size, value }) => ({
      size,
      value: significant(value),
    })),
  };
}

/** Microseconds of one run, the fastest of some. */
export function microseconds(run: () => void, repeats = 5): number {
  const times = Array.from({ length: repeats }, () => {
    const started = performance.now();
    run();
    return performance.now() - started;
  });
  return Math.min(...times) * 1000;
}

/** Bytes of heap that a value keeps. */
export function heapBytes(build: () => unknown): number {
  collect();
  const before = process.memoryUsage().heapUsed;
  const kept = build();
  collect();
  const grown = process.memoryUsage().heapUsed - before;
  KEPT.add(kept);
  KEPT.clear();
  return grown;
}

/** Keeps values alive until they were weighed. */
const KEPT = new Set<unknown>();

function collect(): void {
  const { gc } = globalThis as { readonly gc?: () => void };
  gc?.();
  gc?.();
}

function significant(value: number): number {
  return Number(value.toPrecision(SIGNIFICANT_DIGITS));
}
