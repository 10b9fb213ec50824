// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The logger that a process's parts use: winston, which writes to the line log.
 *
 * @module
 */
import winston from "winston";
import Transport from "winston-transport";
import type { LogFields, Logger, LogLevel } from "rampswitch-utils";

/** An entry as winston writes it to the stream. */
interface Entry extends LogFields {
  readonly level: LogLevel;
  readonly message: string;
}

/** Creates a logger whose lines reach the log before a call returns. */
export function winstonLogger(log: Logger): Logger {
  return winston.createLogger({
    level: "info",
    // The log formats the lines, because it numbers them as it writes them.
    format: winston.format((entry) => entry)(),
    transports: [new LogTransport(log)],
  });
}

/** Writes entries to the log without a stream of its own in between. */
class LogTransport extends Transport {
  readonly #log: Logger;

  constructor(log: Logger) {
    super();
    this.#log = log;
  }

  override log({ level, message, ...fields }: Entry, next: () => void): void {
    this.#log[level](message, fields);
    next();
  }
}
