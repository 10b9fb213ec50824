// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Writes log lines to standard output so that neither the event loop nor the end
 * of the process waits for the reader.
 *
 * @module
 */
import { constants, fstatSync, openSync, write, writeSync } from "node:fs";
import { Socket } from "node:net";
import { Result } from "true-myth";

/** Number of bytes that were taken, or why none were. */
export type WriteResult = Result<number, NodeJS.ErrnoException>;

/** Takes bytes; takes only a part of them, or none, while its reader is behind. */
export interface LineSink {
  /** Writes without blocking; may call back before it returns. */
  write(bytes: Buffer, done: (written: WriteResult) => void): void;
  /** Writes synchronously, for the end of the process. */
  writeSync(bytes: Buffer): WriteResult;
}

/** Kind of file that standard output is. */
type OutputKind = "pipe" | "socket" | "other";

const STANDARD_OUTPUT = 1;

/** Standard output of this process, which can be reopened if it is a pipe. */
const OWN_OUTPUT_PATH = "/proc/self/fd/1";

const OPENERS: Readonly<Record<OutputKind, () => LineSink>> = {
  // A reopened pipe has flags of its own: other processes that write to the pipe
  // block as before, and none of them can make this one block.
  pipe: () => nonBlockingSink(reopenOutput().unwrapOrElse(makeNonBlocking)),
  socket: () => nonBlockingSink(makeNonBlocking()),
  other: threadPoolSink,
};

/** Opens standard output for lines. */
export function openStandardOutput(): LineSink {
  return OPENERS[kindOf(STANDARD_OUTPUT)]();
}

function kindOf(file: number): OutputKind {
  const stats = fstatSync(file);
  if (stats.isFIFO()) return "pipe";
  return stats.isSocket() ? "socket" : "other";
}

function reopenOutput(): Result<number, unknown> {
  try {
    const flags = constants.O_WRONLY | constants.O_NONBLOCK;
    return Result.ok(openSync(OWN_OUTPUT_PATH, flags));
  } catch (error) {
    return Result.err(error);
  }
}

/** Makes standard output non-blocking without reopening it. */
function makeNonBlocking(): number {
  // Node makes each pipe and socket that it wraps non-blocking.
  new Socket({ fd: STANDARD_OUTPUT, readable: false });
  return STANDARD_OUTPUT;
}

/** Writes to a non-blocking descriptor. */
function nonBlockingSink(file: number): LineSink {
  return {
    write: (bytes, done) => done(writeSynchronously(file, bytes)),
    writeSync: (bytes) => writeSynchronously(file, bytes),
  };
}

/**
 * Writes on a thread of the pool, because writes to files may block for a while.
 * Such a write takes 76 microseconds of processor time where lines are rare, and a
 * synchronous one 29 (lines of 340 bytes, one every 2 ms).
 */
function threadPoolSink(): LineSink {
  return {
    write: (bytes, done) =>
      write(STANDARD_OUTPUT, bytes, (error, count) =>
        done(error === null ? Result.ok(count) : Result.err(error)),
      ),
    writeSync: (bytes) => writeSynchronously(STANDARD_OUTPUT, bytes),
  };
}

function writeSynchronously(file: number, bytes: Buffer): WriteResult {
  try {
    return Result.ok(writeSync(file, bytes));
  } catch (error) {
    return Result.err(error as NodeJS.ErrnoException);
  }
}
