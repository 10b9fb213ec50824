// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Standard output that never blocks: lines wait in a bounded buffer while an
 * asynchronous write is under way, and are counted when they have to be
 * dropped.
 *
 * @module
 */
import { write } from "node:fs";
import { Writable } from "node:stream";

/** Bytes that wait at most; some seconds of lines under heavy load. */
const MAXIMUM_BUFFERED_BYTES = 256 * 1024;

const STANDARD_OUTPUT = 1;

/** Wait before a write that the system turned away, in milliseconds. */
const TURNED_AWAY_MILLISECONDS = 20;

/** A bounded, asynchronous writer of lines. */
export class BoundedOutput extends Writable {
  #waiting: Buffer[] = [];
  #waitingBytes = 0;
  #writing = false;
  #dropped = 0;

  /** Lines dropped since the start. */
  get droppedLines(): number {
    return this.#dropped;
  }

  // eslint-disable-next-line @typescript-eslint/naming-convention -- Node's name
  override _write(
    chunk: Buffer,
    _encoding: BufferEncoding,
    done: () => void,
  ): void {
    if (this.#waitingBytes + chunk.length > MAXIMUM_BUFFERED_BYTES) {
      this.#dropped += 1;
    } else {
      this.#waiting.push(chunk);
      this.#waitingBytes += chunk.length;
      this.#flush();
    }
    done();
  }

  #flush(): void {
    if (this.#writing || this.#waiting.length === 0) return;
    this.#writing = true;
    const batch = Buffer.concat(this.#waiting);
    this.#waiting = [];
    this.#waitingBytes = 0;
    this.#writeRest(batch);
  }

  #writeRest(batch: Buffer): void {
    write(STANDARD_OUTPUT, batch, (error, written) => {
      if (error?.code === "EAGAIN") {
        setTimeout(() => this.#writeRest(batch), TURNED_AWAY_MILLISECONDS);
        return;
      }
      // Nobody is left to tell when standard output itself is closed.
      const rest = error === null ? batch.subarray(written) : undefined;
      if (rest !== undefined && rest.length > 0) this.#writeRest(rest);
      else {
        this.#writing = false;
        this.#flush();
      }
    });
  }
}
