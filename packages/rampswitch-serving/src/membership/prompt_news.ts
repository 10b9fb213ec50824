// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * News that does not wait for the next round: several pieces that come together go
 * in one message.
 *
 * @module
 */
import type { Clock } from "rampswitch-utils";

/** Shortest time between messages that are sent for such news, in milliseconds. */
const LEAST_BETWEEN_MILLISECONDS = 50;

/** Tells the other hosts at once, within a bound. */
export class PromptNews {
  readonly #clock: Clock;
  readonly #tell: () => void;
  #toldAt = -Infinity;

  constructor(clock: Clock, tell: () => void) {
    this.#clock = clock;
    this.#tell = tell;
  }

  /** Something is new; what is not told at once goes with the next round. */
  came(): void {
    const now = this.#clock.now();
    if (now - this.#toldAt < LEAST_BETWEEN_MILLISECONDS) return;
    this.#toldAt = now;
    this.#tell();
  }
}
