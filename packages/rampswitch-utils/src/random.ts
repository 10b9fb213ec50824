// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Seeded random numbers. A generator is passed as an argument, so that tests can
 * repeat a run.
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
  /** Returns a number in [0, 1). */
  next(): number;
  /** Returns an integer in [0, `limit`). */
  below(limit: number): number;
}

const RANDOM_VALUES = 2 ** 30;

/** Creates a generator that yields the same numbers for the same seed. */
export function seededRandom(seed: number): Random {
  const generator: RandomGenerator = xoroshiro128plus(seed);
  return {
    next: () =>
      unsafeUniformIntDistribution(0, RANDOM_VALUES - 1, generator) /
      RANDOM_VALUES,
    below: (limit) => unsafeUniformIntDistribution(0, limit - 1, generator),
  };
}

/** Varies a duration uniformly by at most plus or minus a fraction of it. */
export function jitter(
  random: Random,
  milliseconds: number,
  fraction = 0.2,
): number {
  return milliseconds * (1 + fraction * (2 * random.next() - 1));
}

/** Returns a sample of the exponential distribution with the given mean. */
export function exponential(random: Random, mean: number): number {
  return -mean * Math.log(1 - random.next());
}
