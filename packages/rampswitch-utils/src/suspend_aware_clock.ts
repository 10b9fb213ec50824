// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * A clock for what must not be taken for younger than it is.
 *
 * @module
 */
import type { Clock } from "./clock.ts";

/**
 * Steps of the time of day that count as time which the steady clock may not have
 * seen, in milliseconds; smaller ones are its corrections and the reading of two
 * clocks one after the other.
 */
const MINIMUM_STEP_MILLISECONDS = 50;

/**
 * A steady clock that also counts each step of the time of day ahead. The steady
 * clock of the system stands still while its machine is suspended, and the time of
 * day does not. Where the time of day was only set ahead, this clock runs ahead too:
 * what ages by it is asked for again too early, never trusted too long.
 */
export class CautiousClock implements Clock {
  readonly #monotonicClock: Clock;
  readonly #wallTime: () => number;
  #offset: number;
  #suspendedMilliseconds = 0;

  constructor(monotonicClock: Clock, wallTime: () => number) {
    this.#monotonicClock = monotonicClock;
    this.#wallTime = wallTime;
    this.#offset = wallTime() - monotonicClock.now();
  }

  now(): number {
    const monotonicNow = this.#monotonicClock.now();
    const offset = this.#wallTime() - monotonicNow;
    const step = offset - this.#offset;
    if (step > MINIMUM_STEP_MILLISECONDS) this.#suspendedMilliseconds += step;
    // Small differences add up to the pace at which two clocks part.
    if (Math.abs(step) > MINIMUM_STEP_MILLISECONDS) this.#offset = offset;
    return monotonicNow + this.#suspendedMilliseconds;
  }

  after(milliseconds: number, callback: () => void): () => void {
    return this.#monotonicClock.after(milliseconds, callback);
  }
}
