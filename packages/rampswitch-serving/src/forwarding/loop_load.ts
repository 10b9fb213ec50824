// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Measures whether the event loop of this process is busy nearly all of the time.
 *
 * @module
 */
import { type LoopTimes, loopTimes } from "../intake/loop_backlog.ts";

/** Minimum time over which the load is measured, in milliseconds. */
const MINIMUM_SPAN_MILLISECONDS = 100;

/**
 * Maximum time over which it is measured, in milliseconds; a longer time would not show
 * the present load.
 */
const MAXIMUM_SPAN_MILLISECONDS = 1_000;

/** Share of that time from which on the loop is saturated. */
const SATURATED_SHARE = 0.95;

/** The load of the event loop between two looks at it. */
export class LoopLoad {
  readonly #times: () => LoopTimes;
  #mark: LoopTimes;
  #isSaturated = false;

  constructor(times: () => LoopTimes = loopTimes) {
    this.#times = times;
    this.#mark = times();
  }

  /** Whether the loop was saturated in the last span; called for each request. */
  isSaturated(): boolean {
    const times = this.#times();
    const span = times.now - this.#mark.now;
    if (span < MINIMUM_SPAN_MILLISECONDS) return this.#isSaturated;
    const busy = span - (times.idle - this.#mark.idle);
    this.#isSaturated =
      span <= MAXIMUM_SPAN_MILLISECONDS && busy >= SATURATED_SHARE * span;
    this.#mark = times;
    return this.#isSaturated;
  }
}
