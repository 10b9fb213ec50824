// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Shares the event loop among connections that have more to parse than a usual request:
 * each goes on for a little while in its turn, and other events are handled between.
 *
 * @module
 */

/** Work of all connections between two looks at other events. */
const WORK_PER_TURN = 1_024;

/** Something that is parsed a part at a time. */
export interface Reading {
  /** Goes on with a part; returns the work that it took, 0 if it can't go on. */
  goOn(): number;
}

/** The order in which readings go on. */
export class ReadingTurns {
  readonly #waiting = new Set<Reading>();
  #isScheduled = false;

  /** Has a reading go on when it is its turn. */
  add(reading: Reading): void {
    this.#waiting.add(reading);
    this.#schedule();
  }

  /** Drops a reading. */
  remove(reading: Reading): void {
    this.#waiting.delete(reading);
  }

  #schedule(): void {
    if (this.#isScheduled || this.#waiting.size === 0) return;
    this.#isScheduled = true;
    setImmediate(() => {
      this.#isScheduled = false;
      this.#takeTurn();
      this.#schedule();
    });
  }

  #takeTurn(): void {
    let work = 0;
    // Readings that are added meanwhile come last.
    for (const reading of this.#waiting) {
      if (work >= WORK_PER_TURN) return;
      this.#waiting.delete(reading);
      work += Math.max(1, reading.goOn());
    }
  }
}
