// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Mean hold time of the requests that were sent to a service lately.
 *
 * @module
 */

/** Span of the mean, in milliseconds. */
const SPAN_MILLISECONDS = 2_000;

/** Number of parts of the span; the oldest one is dropped when a new one begins. */
const PARTS = 4;

const PART_MILLISECONDS = SPAN_MILLISECONDS / PARTS;

/** Mean hold time over the two seconds up to the newest send. */
export class RunningMix {
  readonly #sums = new Float64Array(PARTS);
  readonly #counts = new Float64Array(PARTS);
  #newestPart = 0;

  /** Mean hold time in milliseconds; `undefined` before the first send. */
  get mean(): number | undefined {
    const count = this.#counts.reduce(add, 0);
    return count === 0 ? undefined : this.#sums.reduce(add, 0) / count;
  }

  /** Adds a send. */
  add(holdMilliseconds: number, now: number): void {
    const part = Math.floor(now / PART_MILLISECONDS);
    const dropped = Math.min(PARTS, part - this.#newestPart);
    for (let step = 1; step <= dropped; step += 1) {
      const at = (this.#newestPart + step) % PARTS;
      this.#sums[at] = 0;
      this.#counts[at] = 0;
    }
    this.#newestPart = Math.max(this.#newestPart, part);
    const at = this.#newestPart % PARTS;
    this.#sums[at] = (this.#sums[at] ?? 0) + holdMilliseconds;
    this.#counts[at] = (this.#counts[at] ?? 0) + 1;
  }
}

function add(sum: number, value: number): number {
  return sum + value;
}
