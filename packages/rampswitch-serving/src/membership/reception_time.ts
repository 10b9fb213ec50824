// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Measures the time in which a host receives messages of others. Only then does the
 * silence of one of them show that it is gone: not while the receiver is suspended,
 * stopped or cut off.
 *
 * @module
 */

/** Longest time between two messages that counts as reception, in milliseconds. */
const MAXIMUM_GAP_MILLISECONDS = 2_000;

/** The time in which one host has received messages. */
export class ReceptionTime {
  #total = 0;
  /** On the monotonic clock. */
  #lastAt = -Infinity;

  /** The time so far, in milliseconds; it stands still while nothing is received. */
  get total(): number {
    return this.#total;
  }

  /** Records a message of another host. */
  record(now: number): void {
    const elapsed = now - this.#lastAt;
    if (elapsed <= 0) return;
    if (elapsed <= MAXIMUM_GAP_MILLISECONDS) this.#total += elapsed;
    this.#lastAt = now;
  }
}
