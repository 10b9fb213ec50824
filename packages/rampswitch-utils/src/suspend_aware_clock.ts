// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * A monotonic clock that counts the time for which the machine was suspended.
 *
 * @module
 */
import type { Clock } from "./clock.ts";

/**
 * Smallest step of the time of day, relative to the monotonic clock, that counts as
 * suspended time, in milliseconds. Smaller steps come from clock corrections and
 * from reading the two clocks one after the other.
 */
const MINIMUM_STEP_MILLISECONDS = 50;

/**
 * A monotonic clock that adds each forward step of the time of day. The system's
 * monotonic clock stands still while the machine is suspended; the time of day does
 * not. If the time of day was merely set forward, this clock jumps too: data whose
 * age it measures then expires too early, but never too late.
 */
export class SuspendAwareClock implements Clock {
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
    // Smaller steps leave the offset as it is, so that gradual drift between the
    // two clocks accumulates until it counts as a step.
    if (Math.abs(step) > MINIMUM_STEP_MILLISECONDS) this.#offset = offset;
    return monotonicNow + this.#suspendedMilliseconds;
  }

  after(milliseconds: number, callback: () => void): () => void {
    return this.#monotonicClock.after(milliseconds, callback);
  }
}
