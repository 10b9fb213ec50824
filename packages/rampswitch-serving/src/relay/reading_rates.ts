// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * How fast the engines of each service read prompts beside their other work, estimated
 * from the times to first parts of answers. Servers are planned by it: unlike the rate of
 * an idle engine, which predicts a send, it falls when engines are slow or crowded.
 *
 * @module
 */

import {
  initialMean,
  type RunningMean,
  withMeasurement,
} from "./running_mean.ts";

/** Rate before the first measurement, in tokens a millisecond: an average engine. */
const INITIAL_TOKENS_PER_MILLISECOND = 40;

/** Minimum length of a measured prompt, in tokens; shorter ones are too inexact. */
const MINIMUM_MEASURED_TOKENS = 3_000;

/** Minimum weight of a new measurement; the first ones are averaged equally. */
const MINIMUM_WEIGHT = 0.05;

/** Bounds of accepted measurements, in tokens a millisecond; others are clamped. */
const MINIMUM_TOKENS_PER_MILLISECOND = 10;
const MAXIMUM_TOKENS_PER_MILLISECOND = 200;

/** Factor on the minimum time at each answer, so that the minimum can rise again. */
const MINIMUM_TIME_GROWTH = 1.005;

interface Rate {
  readonly tokensPerMillisecond: RunningMean;
  /** Minimum time to a first part: the time of a prompt without tokens. */
  readonly minimumMilliseconds: number;
}

const INITIAL_RATE: Rate = {
  tokensPerMillisecond: initialMean(INITIAL_TOKENS_PER_MILLISECOND),
  minimumMilliseconds: Infinity,
};

/** Estimated reading rates by service. */
export class ReadingRates {
  readonly #rates = new Map<string, Rate>();

  /** Tokens that an engine of the service reads in a millisecond. */
  of(service: string): number {
    return (this.#rates.get(service) ?? INITIAL_RATE).tokensPerMillisecond
      .value;
  }

  /** Adds a prompt's time to the first part on an engine that read little else. */
  addMeasurement(service: string, tokens: number, milliseconds: number): void {
    const known = this.#rates.get(service) ?? INITIAL_RATE;
    const minimumMilliseconds = Math.min(
      known.minimumMilliseconds * MINIMUM_TIME_GROWTH,
      milliseconds,
    );
    const reading = milliseconds - minimumMilliseconds;
    const isInformative = tokens >= MINIMUM_MEASURED_TOKENS && reading > 0;
    const sample = Math.min(
      MAXIMUM_TOKENS_PER_MILLISECOND,
      Math.max(MINIMUM_TOKENS_PER_MILLISECOND, tokens / reading),
    );
    this.#rates.set(service, {
      minimumMilliseconds,
      tokensPerMillisecond: isInformative
        ? withMeasurement(known.tokensPerMillisecond, sample, MINIMUM_WEIGHT)
        : known.tokensPerMillisecond,
    });
  }
}
