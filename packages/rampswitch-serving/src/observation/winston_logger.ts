// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The logger that a process hands around: winston before the numbered lines.
 *
 * @module
 */
import { Writable } from "node:stream";
import winston from "winston";
import type { LogFields, Logger, LogLevel } from "rampswitch-utils";

/** A line as winston passes it on. */
interface Entry extends LogFields {
  readonly level: LogLevel;
  readonly message: string;
}

/** Creates a logger whose lines have reached the log when a call returns. */
export function winstonLogger(log: Logger): Logger {
  return winston.createLogger({
    level: "info",
    // The log makes the lines; it has to number them as they are written.
    format: winston.format((entry) => entry)(),
    transports: [new winston.transports.Stream({ stream: entriesTo(log) })],
  });
}

function entriesTo(log: Logger): Writable {
  return new Writable({
    objectMode: true,
    write: ({ level, message, ...fields }: Entry, _encoding, done) => {
      log[level](message, fields);
      done();
    },
  });
}
