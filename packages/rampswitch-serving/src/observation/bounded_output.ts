// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Lines on their way out: each is written at once while the reader keeps up, and
 * waits in bounded memory while it does not. A line goes out whole or not at
 * all, and each that does not is told to an observer.
 *
 * @module
 */
import { type Clock, sleep } from "rampswitch-utils";
import type { LineSink, Written } from "./line_sink.ts";

/** Which lines are kept when room is short. */
export type LineImportance = "ordinary" | "expendable";

/**
 * Bytes that wait at most, by importance; some seconds of lines under heavy
 * load. Half of the room is kept from expendable lines, which callers can cause
 * in any number.
 */
const ROOM_BYTES: Readonly<Record<LineImportance, number>> = {
  ordinary: 256 * 1024,
  expendable: 128 * 1024,
};

/** Wait after a write of which a slow reader took a part or none, in milliseconds. */
const TURNED_AWAY_MILLISECONDS = 20;

/**
 * Wait after a write that failed, in milliseconds; a new reader gets lines soon
 * and an absent one costs four system calls a second.
 */
const FAILED_MILLISECONDS = 250;

/** Time between looks whether all is written, in milliseconds. */
const LOOK_MILLISECONDS = 5;

const LINE_END = 0x0a;

/**
 * Written before the first line: a former life of the process may have been
 * killed within one.
 */
const FIRST_LINE_END = "\n";

/** Why lines are lost. */
export type LossReason =
  /** The reader was too slow. */
  | "no_room"
  /** Writes failed, and newer lines needed the room. */
  | "write_failed";

/** Lines that will never be written. */
export interface LineLoss {
  readonly reason: LossReason;
  readonly lines: number;
  readonly bytes: number;
}

/** Hears of losses, and has them told among the lines. */
export interface OutputObserver {
  /** Lines were lost. */
  lost(loss: LineLoss): void;
  /** A write failed for another reason than a slow reader. */
  failed(code: string): void;
  /** Takes the lines that tell of losses so far. */
  takeNotices(): readonly string[];
}

/** Bytes of whole lines that are being written, in any number of parts. */
interface Batch {
  readonly bytes: Buffer;
  readonly offset: number;
  /** Whether the bytes begin within a line. */
  readonly beginsWithin: boolean;
}

/** A bounded writer of lines that never blocks. */
export class BoundedOutput {
  readonly #sink: LineSink;
  readonly #clock: Clock;
  readonly #observer: OutputObserver;
  #waiting: string[] = [FIRST_LINE_END];
  #waitingBytes = 0;
  #batch: Batch | undefined;
  #writing = false;
  #timed = false;
  /** Whether the newest write failed. */
  #failing = false;
  #lossToTell = false;
  #notBefore = -Infinity;

  constructor(
    sink: LineSink,
    options: { readonly clock: Clock; readonly observer: OutputObserver },
  ) {
    this.#sink = sink;
    this.#clock = options.clock;
    this.#observer = options.observer;
  }

  /** Writes a line, which ends with a line's end, as soon as the reader takes it. */
  push(line: string, importance: LineImportance = "ordinary"): void {
    const bytes = Buffer.byteLength(line);
    const room = ROOM_BYTES[importance];
    const isFull = () => this.#waitingBytes + bytes > room;
    // Newer lines matter more to whoever reads next.
    if (isFull() && this.#failing && importance === "ordinary") {
      this.#giveBatchUp();
    }
    if (isFull()) {
      this.#lose({ reason: "no_room", lines: 1, bytes });
    } else {
      this.#waiting.push(line);
      this.#waitingBytes += bytes;
    }
    this.#goOn();
  }

  /** Waits, up to some milliseconds, until all lines are written. */
  async emptied(milliseconds: number): Promise<void> {
    const endsAt = this.#clock.now() + milliseconds;
    while (this.#holdsLines() && this.#clock.now() < endsAt) {
      await sleep(this.#clock, LOOK_MILLISECONDS);
    }
  }

  /**
   * Writes what the sink takes now, before it returns; for the process's end. Of
   * what it does not take nobody is left to tell.
   */
  writeAtOnce(): void {
    const batch = this.#writing ? undefined : this.#batch;
    if (!this.#writing) this.#batch = undefined;
    const rest = batch?.bytes.subarray(batch.offset) ?? Buffer.alloc(0);
    // One write: behind a part of the rest, lines would go on within another one.
    const bytes = Buffer.concat([rest, Buffer.from(this.#takeLines())]);
    if (bytes.length > 0) this.#sink.writeAtOnce(bytes);
  }

  #holdsLines(): boolean {
    return (
      this.#batch !== undefined || this.#waitingBytes > 0 || this.#lossToTell
    );
  }

  #lose(loss: LineLoss): void {
    this.#lossToTell = true;
    this.#observer.lost(loss);
  }

  /** Starts the next write, now or at its time, unless one is under way. */
  #goOn(): void {
    if (this.#writing || this.#timed || !this.#holdsLines()) return;
    const wait = this.#notBefore - this.#clock.now();
    if (wait <= 0) {
      this.#writeBatch();
      return;
    }
    this.#timed = true;
    this.#clock.after(wait, () => {
      this.#timed = false;
      this.#goOn();
    });
  }

  #writeBatch(): void {
    this.#takeWaiting();
    const batch = this.#batch;
    if (batch === undefined) return;
    this.#writing = true;
    this.#sink.write(batch.bytes.subarray(batch.offset), (written) => {
      this.#writing = false;
      this.#wrote(batch, written);
      this.#goOn();
    });
  }

  #wrote(batch: Batch, written: Written): void {
    if (written.isErr) {
      this.#turnedAway(written.error);
      return;
    }
    this.#failing = false;
    const offset = batch.offset + written.value;
    const isWhole = offset === batch.bytes.length;
    this.#batch = isWhole ? undefined : { ...batch, offset };
    if (!isWhole) this.#pause(TURNED_AWAY_MILLISECONDS);
  }

  #turnedAway({ code }: NodeJS.ErrnoException): void {
    if (code === "EAGAIN") {
      this.#failing = false;
      this.#pause(TURNED_AWAY_MILLISECONDS);
      return;
    }
    this.#failing = true;
    this.#observer.failed(code ?? "unknown");
    this.#pause(FAILED_MILLISECONDS);
  }

  #pause(milliseconds: number): void {
    this.#notBefore = this.#clock.now() + milliseconds;
  }

  /** Makes a batch of all that waits, unless there is one. */
  #takeWaiting(): void {
    if (this.#batch !== undefined) return;
    const lines = this.#takeLines();
    this.#batch = {
      bytes: Buffer.from(lines),
      offset: 0,
      beginsWithin: lines.startsWith(FIRST_LINE_END),
    };
  }

  #takeLines(): string {
    const notices = this.#lossToTell ? this.#observer.takeNotices() : [];
    this.#lossToTell = false;
    return this.#takeWaitingLines() + notices.join("");
  }

  #takeWaitingLines(): string {
    const lines = this.#waiting.join("");
    this.#waiting = [];
    this.#waitingBytes = 0;
    return lines;
  }

  /**
   * Gives up the lines of the batch, but for the rest of one that is half out,
   * and makes a batch of all that waits.
   */
  #giveBatchUp(): void {
    const batch = this.#batch;
    if (batch === undefined || this.#writing) return;
    const rest = batch.bytes.subarray(batch.offset);
    const keptBytes = isWithinLine(batch) ? rest.indexOf(LINE_END) + 1 : 0;
    const given = rest.subarray(keptBytes);
    if (given.length > 0) {
      const lines = given.filter((byte) => byte === LINE_END).length;
      this.#lose({ reason: "write_failed", lines, bytes: given.length });
    }
    // A line that tells of the loss comes after the one that is pushed now.
    const waiting = Buffer.from(this.#takeWaitingLines());
    this.#batch = {
      bytes: Buffer.concat([rest.subarray(0, keptBytes), waiting]),
      offset: 0,
      beginsWithin: keptBytes > 0,
    };
  }
}

function isWithinLine({ bytes, offset, beginsWithin }: Batch): boolean {
  return offset === 0 ? beginsWithin : bytes[offset - 1] !== LINE_END;
}
