// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * How fast the engines of each service read prompts beside their other work, estimated
 * from the times to first parts of answers. Servers are planned by it: unlike the rate of
 * an idle engine, which predicts a send, it falls when engines are slow or crowded.
 *
 * @module
 */
import {
  boundedRate,
  INITIAL_TOKENS_PER_MILLISECOND,
  MINIMUM_MEASURED_TOKENS,
  MINIMUM_RATE_WEIGHT,
} from "./prefill_rate.ts";
import {
  initialMean,
  type RunningMean,
  withMeasurement,
} from "./running_mean.ts";

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
    const sample = boundedRate(tokens / reading);
    this.#rates.set(service, {
      minimumMilliseconds,
      tokensPerMillisecond: isInformative
        ? withMeasurement(
            known.tokensPerMillisecond,
            sample,
            MINIMUM_RATE_WEIGHT,
          )
        : known.tokensPerMillisecond,
    });
  }
}
