// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * How fast the engines of a service read prompts, estimated from the times to first
 * parts of answers.
 *
 * @module
 */
import { measurementWeight } from "./running_mean.ts";

/** Rate before the first measurement, in tokens a millisecond: an average engine. */
export const INITIAL_TOKENS_PER_MILLISECOND = 40;

/** Minimum length of a measured prompt, in tokens; shorter ones are too inexact. */
export const MINIMUM_MEASURED_TOKENS = 3_000;

/** Minimum weight of a new measurement; the first ones are averaged equally. */
export const MINIMUM_RATE_WEIGHT = 0.05;

/** Bounds of accepted measurements, in tokens a millisecond; others are clamped. */
const RATE_RANGE = { minimum: 10, maximum: 200 };

/** Minimum difference to the fastest prompt, in tokens, for the same reason. */
const MINIMUM_DIFFERENCE_TOKENS = 1_000;

/**
 * Factor on the shortest time at each measured prompt, so that it can rise again. Short
 * prompts don't raise it: a burst of them would change the rate.
 */
const SHORTEST_TIME_GROWTH = 1.005;

/** A prompt and the time to the first part of its answer. */
export interface MeasuredPrompt {
  readonly tokens: number;
  readonly milliseconds: number;
}

/** Estimated prefill rate of a service's engines. */
export class PrefillRate {
  tokensPerMillisecond = INITIAL_TOKENS_PER_MILLISECOND;
  /** Measurements so far; the initial value counts as one. */
  #measurements = 1;
  /** The prompt with the shortest time. Others are compared with it. */
  #fastest: MeasuredPrompt | undefined;

  /** Time to a first part beside the prefill, in milliseconds; 0 if not known. */
  get overheadMilliseconds(): number {
    const fastest = this.#fastest;
    if (fastest === undefined) return 0;
    const { tokens, milliseconds } = fastest;
    return Math.max(0, milliseconds - tokens / this.tokensPerMillisecond);
  }

  /** Adds the time to the first part of an answer. */
  add(prompt: MeasuredPrompt): void {
    const isLong = isLongPrompt(prompt);
    const fastest = this.#fastest;
    if (fastest === undefined || (!isLong && isLongPrompt(fastest))) {
      this.#fastest = prompt;
      return;
    }
    if (prompt.milliseconds <= fastest.milliseconds) {
      // A fast long prompt was cached, unknown to this host; it shows the time of a
      // short one.
      const tokens = Math.min(prompt.tokens, fastest.tokens);
      this.#fastest = { tokens, milliseconds: prompt.milliseconds };
      return;
    }
    if (!isLong) return;
    const milliseconds = fastest.milliseconds * SHORTEST_TIME_GROWTH;
    this.#fastest = { tokens: fastest.tokens, milliseconds };
    const tokens = prompt.tokens - Math.max(0, fastest.tokens);
    const reading = prompt.milliseconds - milliseconds;
    if (tokens < MINIMUM_DIFFERENCE_TOKENS || reading <= 0) return;
    const rate = boundedRate(tokens / reading);
    this.#measurements += 1;
    const weight = measurementWeight(this.#measurements, MINIMUM_RATE_WEIGHT);
    this.tokensPerMillisecond += weight * (rate - this.tokensPerMillisecond);
  }
}

/** Bounds a measured rate. */
export function boundedRate(tokensPerMillisecond: number): number {
  return Math.min(
    RATE_RANGE.maximum,
    Math.max(RATE_RANGE.minimum, tokensPerMillisecond),
  );
}

function isLongPrompt({ tokens }: MeasuredPrompt): boolean {
  return tokens >= MINIMUM_MEASURED_TOKENS;
}
