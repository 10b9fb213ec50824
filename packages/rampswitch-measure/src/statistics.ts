// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { build } from "hdr-histogram-js";

const MICROSECONDS = 1_000;

/** Figures of durations in milliseconds. */
export interface Durations {
  readonly count: number;
  readonly p50: number;
  readonly p95: number;
  readonly p99: number;
  readonly max: number;
}

/** Works out percentiles of durations in milliseconds. */
export function durations(samples: readonly number[]): Durations {
  const histogram = build({ numberOfSignificantValueDigits: 3 });
  samples.forEach((sample) =>
    histogram.recordValue(Math.max(0, Math.round(sample * MICROSECONDS))),
  );
  const at = (percentile: number) =>
    histogram.getValueAtPercentile(percentile) / MICROSECONDS;
  return {
    count: samples.length,
    p50: at(50),
    p95: at(95),
    p99: at(99),
    max: samples.length === 0 ? 0 : histogram.maxValue / MICROSECONDS,
  };
}

/** Rounds to some decimals. */
export function rounded(value: number, decimals = 2): number {
  const factor = 10 ** decimals;
  return Math.round(value * factor) / factor;
}
