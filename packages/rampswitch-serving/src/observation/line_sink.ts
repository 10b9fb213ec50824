// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Where log lines are written: standard output, in a way in which neither the
 * event loop nor the end of the process waits for its reader.
 *
 * @module
 */
import { constants, fstatSync, openSync, write, writeSync } from "node:fs";
import { Socket } from "node:net";
import { Result } from "true-myth";

/** How many bytes were taken, or why none were. */
export type Written = Result<number, NodeJS.ErrnoException>;

/** Takes bytes; takes part of them, or none, where its reader is behind. */
export interface LineSink {
  /** Writes without blocking; may call back before it returns. */
  write(bytes: Buffer, done: (written: Written) => void): void;
  /** Writes before it returns; for the end of the process. */
  writeAtOnce(bytes: Buffer): Written;
}

/** What standard output is. */
type OutputKind = "pipe" | "socket" | "other";

const STANDARD_OUTPUT = 1;

/** Standard output of this process; where it is a pipe, it can be opened anew. */
const OWN_OUTPUT_PATH = "/proc/self/fd/1";

const OPENERS: Readonly<Record<OutputKind, () => LineSink>> = {
  // Opened anew, it is this process's own: what does not block here blocks as
  // before for others that write to the pipe, and none can make this one block.
  pipe: () => immediateSink(openedAnew().unwrapOrElse(unblocked)),
  socket: () => immediateSink(unblocked()),
  other: poolSink,
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

function openedAnew(): Result<number, unknown> {
  try {
    const flags = constants.O_WRONLY | constants.O_NONBLOCK;
    return Result.ok(openSync(OWN_OUTPUT_PATH, flags));
  } catch (error) {
    return Result.err(error);
  }
}

/** Standard output as it was opened, made not to block. */
function unblocked(): number {
  // Node does this to each pipe and socket that it takes over.
  new Socket({ fd: STANDARD_OUTPUT, readable: false });
  return STANDARD_OUTPUT;
}

/** Writes to a descriptor that does not block. */
function immediateSink(file: number): LineSink {
  return {
    write: (bytes, done) => done(writtenAtOnce(file, bytes)),
    writeAtOnce: (bytes) => writtenAtOnce(file, bytes),
  };
}

/**
 * Writes by a thread, for files, which may block for a while. Such a write costs 76
 * microseconds of processor time where lines are rare, one at once 29 (lines of 340
 * bytes, one in 2 ms).
 */
function poolSink(): LineSink {
  return {
    write: (bytes, done) =>
      write(STANDARD_OUTPUT, bytes, (error, count) =>
        done(error === null ? Result.ok(count) : Result.err(error)),
      ),
    writeAtOnce: (bytes) => writtenAtOnce(STANDARD_OUTPUT, bytes),
  };
}

function writtenAtOnce(file: number, bytes: Buffer): Written {
  try {
    return Result.ok(writeSync(file, bytes));
  } catch (error) {
    return Result.err(error as NodeJS.ErrnoException);
  }
}
