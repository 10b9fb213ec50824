// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The logger that a process's parts use: winston, which writes to the line log.
 *
 * @module
 */
import { Writable } from "node:stream";
import winston from "winston";
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
    transports: [new winston.transports.Stream({ stream: entryStream(log) })],
  });
}

function entryStream(log: Logger): Writable {
  return new Writable({
    objectMode: true,
    write: ({ level, message, ...fields }: Entry, _encoding, done) => {
      log[level](message, fields);
      done();
    },
  });
}
