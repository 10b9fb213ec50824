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

/**
 * Lines are collected for this long before they are written, in milliseconds. A
 * write for each line was 0.06 of a host's processor time at 22 requests a
 * second. A process that is killed loses the lines of this time.
 */
export const COLLECT_MILLISECONDS = 40;

const STANDARD_OUTPUT = 1;

/** Wait before a write that the system turned away, in milliseconds. */
const TURNED_AWAY_MILLISECONDS = 20;

/** Writes bytes without blocking; tells an error or how many were written. */
export type WriteBytes = (
  bytes: Buffer,
  done: (error: NodeJS.ErrnoException | null, written: number) => void,
) => void;

/** A bounded, asynchronous writer of lines. */
export class BoundedOutput extends Writable {
  #waiting: Buffer[] = [];
  #waitingBytes = 0;
  /** Whether a write is due or under way. */
  #writing = false;
  #dropped = 0;
  readonly #write: WriteBytes;

  constructor(writeBytes: WriteBytes = writeToStandardOutput) {
    super();
    this.#write = writeBytes;
  }

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
      this.#scheduleFlush();
    }
    done();
  }

  #scheduleFlush(): void {
    if (this.#writing || this.#waiting.length === 0) return;
    this.#writing = true;
    setTimeout(() => this.#flush(), COLLECT_MILLISECONDS);
  }

  #flush(): void {
    const batch = Buffer.concat(this.#waiting);
    this.#waiting = [];
    this.#waitingBytes = 0;
    this.#writeRest(batch);
  }

  #writeRest(batch: Buffer): void {
    this.#write(batch, (error, written) => {
      if (error?.code === "EAGAIN") {
        setTimeout(() => this.#writeRest(batch), TURNED_AWAY_MILLISECONDS);
        return;
      }
      // Nobody is left to tell when standard output itself is closed.
      const rest = error === null ? batch.subarray(written) : undefined;
      if (rest !== undefined && rest.length > 0) this.#writeRest(rest);
      else {
        this.#writing = false;
        this.#scheduleFlush();
      }
    });
  }
}

function writeToStandardOutput(...[bytes, done]: Parameters<WriteBytes>): void {
  write(STANDARD_OUTPUT, bytes, done);
}
