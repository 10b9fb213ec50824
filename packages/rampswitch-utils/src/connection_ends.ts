// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Connections that report every reset as an error.
 *
 * Node.js reports a reset as a regular end if the connection hangs up while its last
 * bytes are still unread: its I/O layer concludes the end from the hang-up, and never
 * reads the error. undici in turn takes a reset for the end of an answer that has no
 * length. After either, a part of an answer looks complete.
 *
 * @module
 */
import type { Socket } from "node:net";

/**
 * Code of a reset's error. It differs from the system's `ECONNRESET`, after which
 * undici completes an answer without a length.
 */
export const RESET_CODE = "ERR_CONNECTION_RESET";

/** Takes a connection, or the error for which there is none. */
type ConnectCallback = (...result: [null, Socket] | [Error, null]) => void;

/** Opens a connection, as undici's connectors do. */
type Connector<Options> = (options: Options, callback: ConnectCallback) => void;

/** Has each connection that a connector opens report its resets. */
export function withReportedResets<Options>(
  open: Connector<Options>,
): Connector<Options> {
  return (options, callback) =>
    open(options, (...result) => {
      // There is no socket after an error, whatever the types say of it.
      const [, socket] = result;
      if (socket) reportResets(socket);
      callback(...result);
    });
}

/** Has a connection report its reset as an error with {@link RESET_CODE}, never as an end. */
export function reportResets(socket: Socket): void {
  const emit = socket.emit.bind(socket) as Socket["emit"];
  const handlers: Readonly<Record<string, (argument: unknown) => void>> = {
    end: () => {
      // A connection that was reset has no peer any more; one that was ended has.
      if (socket.remoteAddress === undefined) socket.destroy(resetError());
      else emit("end");
    },
    error: (error) => emit("error", withResetCode(error as Error)),
  };
  socket.emit = (event: string | symbol, ...values: unknown[]) => {
    const handle = typeof event === "string" ? handlers[event] : undefined;
    if (handle === undefined) return emit(event, ...values);
    handle(values[0]);
    return true;
  };
}

function resetError(): Error {
  return Object.assign(new Error("connection reset"), { code: RESET_CODE });
}

function withResetCode(error: Error & { code?: string }): Error {
  return error.code === "ECONNRESET" ? resetError() : error;
}
