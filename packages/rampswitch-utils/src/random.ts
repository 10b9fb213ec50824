// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Seeded random numbers that are passed to whoever needs them.
 *
 * @module
 */
import {
  unsafeUniformIntDistribution,
  xoroshiro128plus,
  type RandomGenerator,
} from "pure-rand";

/** A source of random numbers. */
export interface Random {
  /** A number at least 0 and below 1. */
  next(): number;
  /** A whole number at least 0 and below `limit`. */
  below(limit: number): number;
}

const RANDOM_VALUES = 2 ** 30;

/** Creates a generator that repeats itself for the same seed. */
export function seededRandom(seed: number): Random {
  const generator: RandomGenerator = xoroshiro128plus(seed);
  return {
    next: () =>
      unsafeUniformIntDistribution(0, RANDOM_VALUES - 1, generator) /
      RANDOM_VALUES,
    below: (limit) => unsafeUniformIntDistribution(0, limit - 1, generator),
  };
}

/** Spreads a duration evenly over plus and minus a fraction of itself. */
export function jitter(
  random: Random,
  milliseconds: number,
  fraction = 0.2,
): number {
  return milliseconds * (1 + fraction * (2 * random.next() - 1));
}

/** Draws from an exponential distribution with the given mean. */
export function exponential(random: Random, mean: number): number {
  return -mean * Math.log(1 - random.next());
}
