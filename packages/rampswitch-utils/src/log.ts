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
    transports: [new winston.transports.Stream({ stream: lines(output) })],
  });
}

function lines(output: LineOutput): Writable {
  return new Writable({
    decodeStrings: false,
    write: (line: string, _encoding, done) => {
      output.write(line);
      done();
    },
  });
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
