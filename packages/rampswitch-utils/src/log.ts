// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Structured logs: one JSON object a line on standard error.
 *
 * @module
 */
import { Writable } from "node:stream";
import winston from "winston";

/** Levels of log lines, most serious first. */
export const LOG_LEVELS = ["error", "warn", "info", "debug"] as const;

/** One level of {@link LOG_LEVELS}. */
export type LogLevel = (typeof LOG_LEVELS)[number];

/** Values that a log line may carry. */
export type LogFields = Readonly<
  Record<string, string | number | boolean | undefined>
>;

/** Writes structured log lines. */
export interface Logger {
  error(message: string, fields?: LogFields): void;
  warn(message: string, fields?: LogFields): void;
  info(message: string, fields?: LogFields): void;
  debug(message: string, fields?: LogFields): void;
}

/**
 * Bytes that wait for a slow reader, at most; some ten seconds of lines of a busy
 * host. Without a bound a reader that stops would take the process's memory.
 */
const MAXIMUM_BUFFERED_BYTES = 1024 * 1024;

/** Takes lines, and tells how much of them waits. */
export interface LineOutput {
  /** Bytes that wait for the reader. */
  readonly writableLength: number;
  write(line: string): unknown;
}

/** Creates a logger that adds the same fields to each line. */
export function createLogger(
  level: LogLevel,
  fields: LogFields,
  output: LineOutput = process.stderr,
): Logger {
  return winston.createLogger({
    level,
    defaultMeta: fields,
    format: winston.format.combine(
      winston.format.timestamp(),
      winston.format.json(),
    ),
    transports: [
      new winston.transports.Stream({ stream: boundedOutput(output, fields) }),
    ],
  });
}

/** Passes lines on, and drops those for which there is no room. */
function boundedOutput(output: LineOutput, fields: LogFields): Writable {
  let dropped = 0;
  return new Writable({
    decodeStrings: false,
    write: (line: string, _encoding, done) => {
      if (output.writableLength > MAXIMUM_BUFFERED_BYTES) {
        dropped += 1;
      } else {
        if (dropped > 0) output.write(droppedLine(dropped, fields));
        dropped = 0;
        output.write(line);
      }
      done();
    },
  });
}

function droppedLine(lines: number, fields: LogFields): string {
  const line = {
    ...fields,
    level: "warn",
    message: "log lines dropped",
    lines,
    timestamp: new Date().toISOString(),
  };
  return `${JSON.stringify(line)}\n`;
}

/** A logger that writes nothing. */
export const SILENT_LOGGER: Logger = {
  error: () => undefined,
  warn: () => undefined,
  info: () => undefined,
  debug: () => undefined,
};

/** Sends what libraries print as errors through the logger. */
export function adoptConsole(logger: Logger): void {
  console.error = (...parts: readonly unknown[]) => {
    logger.warn("message of a library", { text: parts.map(String).join(" ") });
  };
}
