// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Structured logs: one JSON object per line on standard error.
 *
 * @module
 */
import { Writable } from "node:stream";
import winston from "winston";

/** Levels of log lines, most severe first. */
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
 * Maximum number of bytes buffered for a slow reader, about ten seconds of lines
 * of a busy host. Without a bound, a stalled reader would exhaust the memory of
 * the process.
 */
const MAXIMUM_BUFFERED_BYTES = 1024 * 1024;

/** A destination for lines that exposes how much it has buffered. */
export interface LineOutput {
  /** Bytes buffered for the reader. */
  readonly writableLength: number;
  write(line: string): unknown;
}

/** Creates a logger that adds `fields` to each line. */
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

/** Forwards lines to the output and drops those over the bound of its buffer. */
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

/** A logger that discards all lines. */
export const SILENT_LOGGER: Logger = {
  error: () => undefined,
  warn: () => undefined,
  info: () => undefined,
  debug: () => undefined,
};

/** Redirects `console.error`, which libraries use, to the logger. */
export function redirectConsoleErrors(logger: Logger): void {
  console.error = (...parts: readonly unknown[]) => {
    logger.warn("message of a library", { text: parts.map(String).join(" ") });
  };
}
