// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Measures how long the event loop stood still: nothing is read, answered or timed
 * meanwhile. A long stop is logged with the input that was handled last.
 *
 * @module
 */
import type { Clock, Logger } from "rampswitch-utils";
import type { ServingMetrics } from "./metrics.ts";

/** Time between two measurements, in milliseconds; a stop is measured short by up to it. */
const INTERVAL_MILLISECONDS = 100;

/** Delays below this, in milliseconds, are those of timers and not of a loop that stood still. */
const MINIMUM_STOP_MILLISECONDS = 20;

/** Stop from which on a line is logged, in milliseconds. */
const LOGGED_MILLISECONDS = 200;

/** Maximum length of an input's name in the log, in characters. */
const MAXIMUM_NAME_CHARACTERS = 80;

/** For how long the event loop stood still. */
export type LoopDelay = Pick<LoopDelayMonitor, "totalMilliseconds">;

/** Dependencies of the monitor. */
export interface LoopDelayParts {
  /** A monotonic clock. */
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: ServingMetrics;
}

/** Measures the delays of one process's event loop. */
export class LoopDelayMonitor implements AsyncDisposable {
  readonly #parts: LoopDelayParts;
  #cancel: () => void = () => undefined;
  #dueAt = 0;
  #totalMilliseconds = 0;

  constructor(parts: LoopDelayParts) {
    this.#parts = parts;
    this.#schedule();
  }

  /** Time for which the loop stood still since the start, in milliseconds. */
  get totalMilliseconds(): number {
    return this.#totalMilliseconds;
  }

  [Symbol.asyncDispose](): Promise<void> {
    this.#cancel();
    return Promise.resolve();
  }

  #schedule(): void {
    const { clock } = this.#parts;
    this.#dueAt = clock.now() + INTERVAL_MILLISECONDS;
    this.#cancel = clock.after(INTERVAL_MILLISECONDS, () => this.#measure());
  }

  #measure(): void {
    const { clock, logger, metrics } = this.#parts;
    const delay = Math.max(0, clock.now() - this.#dueAt);
    metrics.loopDelay(delay);
    if (delay >= MINIMUM_STOP_MILLISECONDS) this.#totalMilliseconds += delay;
    if (delay >= LOGGED_MILLISECONDS) {
      logger.warn("event loop stood still", {
        milliseconds: Math.round(delay),
        lastInput: metrics.latestInput.slice(0, MAXIMUM_NAME_CHARACTERS),
      });
    }
    this.#schedule();
  }
}
