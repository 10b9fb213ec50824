// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Means of what answers of one kind took. The first measurements are averaged equally,
 * and later ones have a minimum weight each, so that the means follow changes.
 *
 * @module
 */
import { measurementWeight } from "./running_mean.ts";

/** Time of an answer before the first measurement, in milliseconds. */
const INITIAL_ANSWER_MILLISECONDS = 1_000;

/** Minimum weight of a new measurement. */
const MINIMUM_WEIGHT = 0.02;

/** Maximum tokens that an event is taken to hold; hints may be absurd. */
const MAXIMUM_TOKENS_PER_EVENT = 64;

/** What one answer took. */
export interface WorkSample {
  /** Hold time without the prefill, in milliseconds. */
  readonly answerMilliseconds: number;
  /** Share of the prompt that the engine read; `undefined` if not known. */
  readonly prefillShare: number | undefined;
  /** Events of a streamed answer; `undefined` if it was not streamed. */
  readonly events: number | undefined;
  /** The caller's estimate of the answer's tokens. */
  readonly hintedTokens: number | undefined;
}

/** Means over the answers of one kind. */
export class LearnedWork {
  /** Number of measurements. */
  measurements = 0;
  answerMilliseconds = INITIAL_ANSWER_MILLISECONDS;
  prefillShare = 1;
  #prefillMeasurements = 0;
  #events = 0;
  #eventMeasurements = 0;
  /** Mean logarithm of hinted tokens by event. */
  #logTokensByEvent = 0;
  #hints = 0;

  /**
   * Tokens of an answer; 0 before the first measurement. Events hold several tokens, and
   * only hints tell how many. Hints are right at the median, so that the geometric mean
   * of their ratios to the events is close to the number.
   */
  get answerTokens(): number {
    return this.#events * Math.exp(this.#logTokensByEvent);
  }

  /** Adds what one answer took. */
  add({
    answerMilliseconds,
    prefillShare,
    events,
    hintedTokens,
  }: WorkSample): void {
    this.measurements += 1;
    const weight = weightOf(this.measurements);
    this.answerMilliseconds +=
      weight * (answerMilliseconds - this.answerMilliseconds);
    if (prefillShare !== undefined) {
      this.#prefillMeasurements += 1;
      this.prefillShare +=
        weightOf(this.#prefillMeasurements) *
        (prefillShare - this.prefillShare);
    }
    if (events === undefined || events <= 0) return;
    this.#eventMeasurements += 1;
    this.#events += weightOf(this.#eventMeasurements) * (events - this.#events);
    if (hintedTokens === undefined || hintedTokens <= 0) return;
    const tokensPerEvent = Math.min(
      MAXIMUM_TOKENS_PER_EVENT,
      Math.max(1, hintedTokens / events),
    );
    this.#hints += 1;
    this.#logTokensByEvent +=
      weightOf(this.#hints) *
      (Math.log(tokensPerEvent) - this.#logTokensByEvent);
  }
}

function weightOf(measurements: number): number {
  return measurementWeight(measurements, MINIMUM_WEIGHT);
}
