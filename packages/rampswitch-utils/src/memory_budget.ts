// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * A budget of memory that many holders share. What one holder may have follows what is
 * still free (a dynamic threshold): a single one may have much, none of many can take
 * the rest from the others, and small needs are met until the very last.
 *
 * @module
 */

/** The part of the free memory that one holder may have. */
const HOLDER_SHARE = 1 / 2;

/** The memory of one holder; disposing of it returns all. */
export interface Allowance extends Disposable {
  /** Memory that the holder has, in bytes. */
  readonly held: number;
  /** Takes some bytes; `false`, with nothing taken, if they are too many. */
  take(bytes: number): boolean;
}

/** Memory that holders share, by bytes. */
export class MemoryBudget {
  #totalBytes: number;
  #usedBytes = 0;

  constructor(totalBytes: number) {
    this.#totalBytes = totalBytes;
  }

  /** Memory that all holders have together, in bytes. */
  get used(): number {
    return this.#usedBytes;
  }

  /** Has a single holder get some bytes if there is no other, whatever the total was. */
  fit(bytes: number): void {
    const needed = bytes + bytes / HOLDER_SHARE;
    this.#totalBytes = Math.max(this.#totalBytes, needed);
  }

  /** Starts a holder, which has nothing. */
  open(): Allowance {
    let held = 0;
    const add = (bytes: number) => {
      held += bytes;
      this.#usedBytes += bytes;
    };
    return {
      get held() {
        return held;
      },
      take: (bytes) => {
        const free = this.#totalBytes - this.#usedBytes - bytes;
        const fits = held + bytes <= free * HOLDER_SHARE;
        if (fits) add(bytes);
        return fits;
      },
      [Symbol.dispose]: () => add(-held),
    };
  }
}

/** Takes whatever is asked for; for what nobody else has to share. */
export const UNLIMITED_ALLOWANCE: Allowance = {
  held: 0,
  take: () => true,
  [Symbol.dispose]: () => undefined,
};
