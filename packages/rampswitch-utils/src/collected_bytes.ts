// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Collects pieces of bytes. Its memory follows the number of bytes, not that of the
 * pieces: a neighbour may send each byte as a piece of its own.
 *
 * @module
 */

const NO_BYTES: Buffer = Buffer.alloc(0);

/** Minimum size of a buffer that pieces are copied into, in bytes. */
const MINIMUM_CAPACITY_BYTES = 1_024;

/** Bytes in the order in which they were added. */
export class CollectedBytes {
  #buffer = NO_BYTES;
  #length = 0;
  /** Whether the buffer is a copy, which has room behind its bytes. */
  #isCopy = false;
  readonly #expectedLength: number;

  /** Starts without bytes; as many as are expected are copied but once. */
  constructor(expectedLength = 0) {
    this.#expectedLength = expectedLength;
  }

  /** Number of bytes. */
  get length(): number {
    return this.#length;
  }

  /** Adds a piece; the first one is kept as it is. */
  push(piece: Buffer): void {
    if (this.#length === 0) {
      this.#buffer = piece;
      this.#isCopy = false;
    } else {
      this.#reserve(this.#length + piece.length);
      piece.copy(this.#buffer, this.#length);
    }
    this.#length += piece.length;
  }

  /** All bytes; they stay valid until the next piece is added. */
  toBuffer(): Buffer {
    return this.#buffer.subarray(0, this.#length);
  }

  /** Discards all bytes. */
  clear(): void {
    this.#buffer = NO_BYTES;
    this.#length = 0;
    this.#isCopy = false;
  }

  #reserve(length: number): void {
    if (this.#isCopy && length <= this.#buffer.length) return;
    const capacity =
      length <= this.#expectedLength
        ? this.#expectedLength
        : Math.max(MINIMUM_CAPACITY_BYTES, 2 * length);
    const larger = Buffer.allocUnsafeSlow(capacity);
    this.#buffer.copy(larger, 0, 0, this.#length);
    this.#buffer = larger;
    this.#isCopy = true;
  }
}
