// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The log of one incarnation of a process: lines of JSON. They are numbered, so
 * that a reader can tell whether some are missing, and losses are logged as well.
 *
 * @module
 */
import type { Clock, LogFields, Logger, LogLevel } from "rampswitch-utils";
import {
  BoundedOutput,
  type LineImportance,
  type LineLoss,
  type LossReason,
} from "./bounded_output.ts";
import type { LineSink } from "./line_sink.ts";
import type { ServingMetrics } from "./metrics.ts";

/** Messages that unauthorized callers can cause in any number. */
const EXPENDABLE_MESSAGES: ReadonlySet<string> = new Set([
  "request refused",
  "malformed request",
]);

/** Losses for one reason that no line has reported yet. */
interface UnreportedLoss {
  readonly lines: number;
  readonly bytes: number;
  /** When the first line was lost, in the format of timestamps. */
  readonly since: string;
}

/** Dependencies of a log. */
export interface LineLogParts {
  readonly sink: LineSink;
  readonly clock: Clock;
  /** Milliseconds since the epoch, for the timestamps. */
  readonly wallTime: () => number;
  readonly metrics: ServingMetrics;
  /** Fields of each line. */
  readonly fields: LogFields;
}

/** Writes numbered lines of JSON. */
export class LineLog implements Logger {
  readonly #parts: LineLogParts;
  readonly #output: BoundedOutput;
  readonly #unreported = new Map<LossReason, UnreportedLoss>();
  /** Number of the newest line, from 1 in each incarnation of the process. */
  #lineNumber = 0;
  #lostLines = 0;

  constructor(parts: LineLogParts) {
    this.#parts = parts;
    this.#output = new BoundedOutput(parts.sink, {
      clock: parts.clock,
      observer: {
        lost: (loss) => this.#recordLoss(loss),
        failed: (code) => parts.metrics.logWriteFailed(code),
        takeNotices: () => this.#takeNotices(),
      },
    });
  }

  error(message: string, fields?: LogFields): void {
    this.#write("error", message, fields);
  }

  warn(message: string, fields?: LogFields): void {
    this.#write("warn", message, fields);
  }

  info(message: string, fields?: LogFields): void {
    this.#write("info", message, fields);
  }

  /** Writes nothing: a host has no capacity for lines of this level. */
  debug(): void {
    // Intentionally empty.
  }

  /** Waits, up to some milliseconds, until all lines are written. */
  drained(milliseconds: number): Promise<void> {
    return this.#output.drained(milliseconds);
  }

  /** Writes the remaining lines synchronously, for the end of the process. */
  writeSync(): void {
    this.#output.writeSync();
  }

  #write(level: LogLevel, message: string, fields?: LogFields): void {
    const importance: LineImportance = EXPENDABLE_MESSAGES.has(message)
      ? "expendable"
      : "ordinary";
    this.#output.push(this.#formatLine(level, message, fields), importance);
  }

  #formatLine(level: LogLevel, message: string, fields?: LogFields): string {
    this.#lineNumber += 1;
    const line = {
      level,
      message,
      timestamp: this.#timestamp(),
      ...this.#parts.fields,
      line: this.#lineNumber,
      ...fields,
    };
    return `${JSON.stringify(line)}\n`;
  }

  #timestamp(): string {
    return new Date(this.#parts.wallTime()).toISOString();
  }

  #recordLoss({ reason, lines, bytes }: LineLoss): void {
    this.#parts.metrics.logLinesLost(reason, { lines, bytes });
    this.#lostLines += lines;
    const former = this.#unreported.get(reason);
    this.#unreported.set(reason, {
      lines: (former?.lines ?? 0) + lines,
      bytes: (former?.bytes ?? 0) + bytes,
      since: former?.since ?? this.#timestamp(),
    });
  }

  #takeNotices(): readonly string[] {
    const notices = [...this.#unreported].map(([reason, loss]) =>
      this.#formatLine("warn", "log lines dropped", {
        reason,
        ...loss,
        total: this.#lostLines,
      }),
    );
    this.#unreported.clear();
    return notices;
  }
}
