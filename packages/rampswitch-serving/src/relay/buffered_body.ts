// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Buffers an answer until it is complete, so that the caller can still get a
 * failure status if the answer breaks off.
 *
 * @module
 */
import { CollectedBytes } from "rampswitch-utils";

/** Maximum size of a buffered answer, in bytes. */
const MAXIMUM_BUFFERED_BYTES = 1024 * 1024;

/** The buffered body of one answer. */
export class BufferedBody {
  #bytes = new CollectedBytes();

  /** Notes the length that the answer's head tells, before the first part. */
  expect(length: number | undefined): void {
    if (length !== undefined && length <= MAXIMUM_BUFFERED_BYTES)
      this.#bytes = new CollectedBytes(length);
  }

  /** Adds a part; `false` if the body exceeds the maximum size. */
  push(part: Buffer): boolean {
    this.#bytes.push(part);
    return this.#bytes.length <= MAXIMUM_BUFFERED_BYTES;
  }

  /** Size of the body received so far, in bytes. */
  get length(): number {
    return this.#bytes.length;
  }

  /** The body received so far. */
  toBuffer(): Buffer {
    return this.#bytes.toBuffer();
  }

  /** Discards the body. */
  clear(): void {
    this.#bytes.clear();
  }
}
