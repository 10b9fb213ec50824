// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * A bounded output for lines: each line is written at once while the reader keeps
 * up, and is buffered in bounded memory while it does not. A line is written
 * completely or not at all, and each lost line is reported to an observer.
 *
 * @module
 */
import { type Clock, sleep } from "rampswitch-utils";
import type { LineSink, WriteResult } from "./line_sink.ts";

/** Which lines are buffered when space is short. */
export type LineImportance = "ordinary" | "expendable";

/**
 * Maximum number of buffered bytes up to which a line is accepted, by importance;
 * enough for some seconds of lines under heavy load. Half of the buffer is closed
 * to expendable lines, because callers can cause any number of them.
 */
const MAXIMUM_BUFFERED_BYTES: Readonly<Record<LineImportance, number>> = {
  ordinary: 256 * 1024,
  expendable: 128 * 1024,
};

/**
 * Wait after a write of which a slow reader took only a part or nothing, in
 * milliseconds.
 */
const SLOW_READER_WAIT_MILLISECONDS = 20;

/**
 * Wait after a failed write, in milliseconds. A new reader gets lines soon, and
 * an absent one costs only four system calls per second.
 */
const FAILED_WRITE_WAIT_MILLISECONDS = 250;

/** Time between checks whether all lines are written, in milliseconds. */
const DRAIN_POLL_INTERVAL_MILLISECONDS = 5;

const NEWLINE_BYTE = 0x0a;

/**
 * Written before the first line, because a former incarnation of the process may
 * have been killed in the middle of a line.
 */
const LEADING_NEWLINE = "\n";

/** Why lines were lost. */
export type LossReason =
  /** The reader was too slow. */
  | "no_room"
  /** Writes failed, and newer lines needed the space. */
  | "write_failed";

/** Lines that will never be written. */
export interface LineLoss {
  readonly reason: LossReason;
  readonly lines: number;
  readonly bytes: number;
}

/** Is notified of losses, and provides lines that report them. */
export interface OutputObserver {
  /** Lines were lost. */
  lost(loss: LineLoss): void;
  /** A write failed for a reason other than a slow reader. */
  failed(code: string): void;
  /** Returns lines that report the losses since the last call. */
  takeNotices(): readonly string[];
}

/** Bytes that are being written, in any number of parts; they end with a line. */
interface Batch {
  readonly bytes: Buffer;
  readonly offset: number;
  /** Whether the bytes begin in the middle of a line. */
  readonly startsMidLine: boolean;
}

/** A bounded writer of lines that does not block. */
export class BoundedOutput {
  readonly #sink: LineSink;
  readonly #clock: Clock;
  readonly #observer: OutputObserver;
  #buffered: string[] = [LEADING_NEWLINE];
  #bufferedBytes = 0;
  #batch: Batch | undefined;
  #writing = false;
  #writeScheduled = false;
  /** Whether the newest write failed. */
  #failing = false;
  #hasUnreportedLoss = false;
  #nextWriteAt = -Infinity;

  constructor(
    sink: LineSink,
    options: { readonly clock: Clock; readonly observer: OutputObserver },
  ) {
    this.#sink = sink;
    this.#clock = options.clock;
    this.#observer = options.observer;
  }

  /** Writes a line, which must end with a newline, as soon as the reader takes it. */
  push(line: string, importance: LineImportance = "ordinary"): void {
    const bytes = Buffer.byteLength(line);
    const maximumBytes = MAXIMUM_BUFFERED_BYTES[importance];
    const isFull = () => this.#bufferedBytes + bytes > maximumBytes;
    // Newer lines matter more to the next reader.
    if (isFull() && this.#failing && importance === "ordinary") {
      this.#dropBatch();
    }
    if (isFull()) {
      this.#reportLoss({ reason: "no_room", lines: 1, bytes });
    } else {
      this.#buffered.push(line);
      this.#bufferedBytes += bytes;
    }
    this.#scheduleWrite();
  }

  /** Waits, up to some milliseconds, until all lines are written. */
  async drained(milliseconds: number): Promise<void> {
    const endsAt = this.#clock.now() + milliseconds;
    while (this.#hasPendingLines() && this.#clock.now() < endsAt) {
      await sleep(this.#clock, DRAIN_POLL_INTERVAL_MILLISECONDS);
    }
  }

  /**
   * Writes synchronously as much as the sink takes, for the end of the process.
   * The loss of the rest can't be reported any more.
   */
  writeSync(): void {
    const batch = this.#writing ? undefined : this.#batch;
    if (!this.#writing) this.#batch = undefined;
    const rest = batch?.bytes.subarray(batch.offset) ?? Buffer.alloc(0);
    // One write: after a partial write of the rest, further lines would continue
    // in the middle of another line.
    const bytes = Buffer.concat([rest, Buffer.from(this.#takeLines())]);
    if (bytes.length > 0) this.#sink.writeSync(bytes);
  }

  #hasPendingLines(): boolean {
    return (
      this.#batch !== undefined ||
      this.#bufferedBytes > 0 ||
      this.#hasUnreportedLoss
    );
  }

  #reportLoss(loss: LineLoss): void {
    this.#hasUnreportedLoss = true;
    this.#observer.lost(loss);
  }

  /** Starts the next write, now or when it is due, unless one is in progress. */
  #scheduleWrite(): void {
    if (this.#writing || this.#writeScheduled || !this.#hasPendingLines())
      return;
    const wait = this.#nextWriteAt - this.#clock.now();
    if (wait <= 0) {
      this.#writeBatch();
      return;
    }
    this.#writeScheduled = true;
    this.#clock.after(wait, () => {
      this.#writeScheduled = false;
      this.#scheduleWrite();
    });
  }

  #writeBatch(): void {
    this.#fillBatch();
    const batch = this.#batch;
    if (batch === undefined) return;
    this.#writing = true;
    this.#sink.write(batch.bytes.subarray(batch.offset), (written) => {
      this.#writing = false;
      this.#handleWritten(batch, written);
      this.#scheduleWrite();
    });
  }

  #handleWritten(batch: Batch, written: WriteResult): void {
    if (written.isErr) {
      this.#handleWriteError(written.error);
      return;
    }
    this.#failing = false;
    const offset = batch.offset + written.value;
    const isComplete = offset === batch.bytes.length;
    this.#batch = isComplete ? undefined : { ...batch, offset };
    if (!isComplete) this.#delayNextWrite(SLOW_READER_WAIT_MILLISECONDS);
  }

  #handleWriteError({ code }: NodeJS.ErrnoException): void {
    if (code === "EAGAIN") {
      this.#failing = false;
      this.#delayNextWrite(SLOW_READER_WAIT_MILLISECONDS);
      return;
    }
    this.#failing = true;
    this.#observer.failed(code ?? "unknown");
    this.#delayNextWrite(FAILED_WRITE_WAIT_MILLISECONDS);
  }

  #delayNextWrite(milliseconds: number): void {
    this.#nextWriteAt = this.#clock.now() + milliseconds;
  }

  /** Makes a batch of all buffered lines, unless there is one. */
  #fillBatch(): void {
    if (this.#batch !== undefined) return;
    const lines = this.#takeLines();
    this.#batch = {
      bytes: Buffer.from(lines),
      offset: 0,
      startsMidLine: lines.startsWith(LEADING_NEWLINE),
    };
  }

  #takeLines(): string {
    const notices = this.#hasUnreportedLoss ? this.#observer.takeNotices() : [];
    this.#hasUnreportedLoss = false;
    return this.#takeBufferedLines() + notices.join("");
  }

  #takeBufferedLines(): string {
    const lines = this.#buffered.join("");
    this.#buffered = [];
    this.#bufferedBytes = 0;
    return lines;
  }

  /**
   * Drops the lines of the batch, except the rest of a partly written one, and
   * makes a batch of all buffered lines.
   */
  #dropBatch(): void {
    const batch = this.#batch;
    if (batch === undefined || this.#writing) return;
    const rest = batch.bytes.subarray(batch.offset);
    const retainedBytes = isMidLine(batch) ? rest.indexOf(NEWLINE_BYTE) + 1 : 0;
    const dropped = rest.subarray(retainedBytes);
    if (dropped.length > 0) {
      const lines = dropped.filter((byte) => byte === NEWLINE_BYTE).length;
      this.#reportLoss({
        reason: "write_failed",
        lines,
        bytes: dropped.length,
      });
    }
    // The line that reports the loss follows the one that is pushed now.
    const buffered = Buffer.from(this.#takeBufferedLines());
    this.#batch = {
      bytes: Buffer.concat([rest.subarray(0, retainedBytes), buffered]),
      offset: 0,
      startsMidLine: retainedBytes > 0,
    };
  }
}

function isMidLine({
  bytes,
  offset,
  startsMidLine: beginsWithin,
}: Batch): boolean {
  return offset === 0 ? beginsWithin : bytes[offset - 1] !== NEWLINE_BYTE;
}
