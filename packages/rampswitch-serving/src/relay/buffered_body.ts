// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Buffers an answer until it is complete, so that the caller can still get a
 * failure status if the answer breaks off.
 *
 * @module
 */

/** Maximum size of a buffered answer, in bytes. */
const MAXIMUM_BUFFERED_BYTES = 1024 * 1024;

/** The buffered body of one answer. */
export class BufferedBody {
  #parts: Buffer[] = [];
  #bytes = 0;

  /** Adds a part; `false` if the body exceeds the maximum size. */
  push(part: Buffer): boolean {
    this.#parts.push(part);
    this.#bytes += part.length;
    return this.#bytes <= MAXIMUM_BUFFERED_BYTES;
  }

  /** The body received so far. */
  toBuffer(): Buffer {
    return Buffer.concat(this.#parts);
  }

  /** Discards the body. */
  clear(): void {
    this.#parts = [];
    this.#bytes = 0;
  }
}
