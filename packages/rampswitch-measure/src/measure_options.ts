// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/** Options of a measurement. */
export interface MeasureOptions {
  readonly seed: number;
  readonly seconds: number;
}

/** Seconds that a measurement takes at its defaults. */
export const DEFAULT_SECONDS = 24;

/** Seed of a measurement at its defaults. */
export const DEFAULT_SEED = 1;
