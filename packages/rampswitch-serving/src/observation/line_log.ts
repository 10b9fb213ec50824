// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The log of one life of a process: numbered lines of JSON, so that a reader
 * sees for certain whether some are missing, and lines that tell of losses.
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

/** Lines that callers without any right can cause in any number. */
const EXPENDABLE_MESSAGES: ReadonlySet<string> = new Set([
  "request refused",
  "malformed request",
]);

/** Losses of one reason that no line has told yet. */
interface UntoldLoss {
  readonly lines: number;
  readonly bytes: number;
  /** When the first was lost, as lines tell time. */
  readonly since: string;
}

/** What a log is made of. */
export interface LineLogParts {
  readonly sink: LineSink;
  readonly clock: Clock;
  /** Milliseconds since the epoch, for the lines. */
  readonly wallTime: () => number;
  readonly metrics: ServingMetrics;
  /** Fields of each line. */
  readonly fields: LogFields;
}

/** Writes numbered lines of JSON. */
export class LineLog implements Logger {
  readonly #parts: LineLogParts;
  readonly #output: BoundedOutput;
  readonly #untold = new Map<LossReason, UntoldLoss>();
  /** Number of the newest line, from 1 in each life of the process. */
  #line = 0;
  #lost = 0;

  constructor(parts: LineLogParts) {
    this.#parts = parts;
    this.#output = new BoundedOutput(parts.sink, {
      clock: parts.clock,
      observer: {
        lost: (loss) => this.#noteLoss(loss),
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

  /** Writes nothing: a host has no room for lines of this level. */
  debug(): void {
    // Meant to be empty.
  }

  /** Waits, up to some milliseconds, until all lines are written. */
  emptied(milliseconds: number): Promise<void> {
    return this.#output.emptied(milliseconds);
  }

  /** Writes what is left as far as that goes at once; for the process's end. */
  writeAtOnce(): void {
    this.#output.writeAtOnce();
  }

  #write(level: LogLevel, message: string, fields?: LogFields): void {
    const importance: LineImportance = EXPENDABLE_MESSAGES.has(message)
      ? "expendable"
      : "ordinary";
    this.#output.push(this.#lineOf(level, message, fields), importance);
  }

  #lineOf(level: LogLevel, message: string, fields?: LogFields): string {
    this.#line += 1;
    const line = {
      level,
      message,
      timestamp: this.#timestamp(),
      ...this.#parts.fields,
      line: this.#line,
      ...fields,
    };
    return `${JSON.stringify(line)}\n`;
  }

  #timestamp(): string {
    return new Date(this.#parts.wallTime()).toISOString();
  }

  #noteLoss({ reason, lines, bytes }: LineLoss): void {
    this.#parts.metrics.logLinesLost(reason, { lines, bytes });
    this.#lost += lines;
    const former = this.#untold.get(reason);
    this.#untold.set(reason, {
      lines: (former?.lines ?? 0) + lines,
      bytes: (former?.bytes ?? 0) + bytes,
      since: former?.since ?? this.#timestamp(),
    });
  }

  #takeNotices(): readonly string[] {
    const notices = [...this.#untold].map(([reason, loss]) =>
      this.#lineOf("warn", "log lines dropped", {
        reason,
        ...loss,
        total: this.#lost,
      }),
    );
    this.#untold.clear();
    return notices;
  }
}
