// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * How fast the engines of each service read prompts, learned from the times to
 * first parts of answers.
 *
 * @module
 */

/** Tokens a millisecond before anything was measured; a middling engine. */
const FIRST_GUESS = 40;

/** Prompts shorter than this tell little about the rate, in tokens. */
const SHORTEST_MEASURED_TOKENS = 1_500;

/** Weight of a new measurement. */
const NEW_WEIGHT = 0.1;

/** Bounds of what is believed, in tokens a millisecond. */
const LOWEST = 5;
const HIGHEST = 200;

/** Learned rates by service. */
export class ReadingRates {
  readonly #rates = new Map<string, number>();

  /** Tokens that an engine of the service reads in a millisecond. */
  of(service: string): number {
    return this.#rates.get(service) ?? FIRST_GUESS;
  }

  /** Takes in how long a prompt took on an engine that read little else. */
  measured(service: string, tokens: number, milliseconds: number): void {
    if (tokens < SHORTEST_MEASURED_TOKENS || milliseconds <= 0) return;
    const sample = Math.min(HIGHEST, Math.max(LOWEST, tokens / milliseconds));
    const known = this.of(service);
    this.#rates.set(service, known + NEW_WEIGHT * (sample - known));
  }
}
