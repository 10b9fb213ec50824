// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Connections whose end undici handles correctly.
 *
 * Node.js reports a reset as a regular end if the connection hangs up while its last
 * bytes are still unread: its I/O layer concludes the end from the hang-up, and never
 * reads the error. undici in turn takes a reset for the end of an answer that has no
 * length. After either, a part of an answer looks complete.
 *
 * Node.js also reports the end of a connection whose reader has paused, if all bytes
 * were read before. undici fails an assertion then, which ends the process.
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
export type ConnectCallback = (
  ...result: [null, Socket] | [Error, null]
) => void;

/** Opens a connection, as undici's connectors do. */
export type Connector<Options> = (
  options: Options,
  callback: ConnectCallback,
) => void;

/** Corrects the ends of all connections that a connector opens. */
export function withCorrectEnds<Options>(
  open: Connector<Options>,
): Connector<Options> {
  return (options, callback) =>
    open(options, (...result) => {
      // There is no socket after an error, whatever the types say of it.
      const [, socket] = result;
      if (socket) correctEnds(socket);
      callback(...result);
    });
}

/** Corrects how a connection ends; it is called before anything listens to it. */
export function correctEnds(socket: Socket): void {
  reportResets(socket);
  holdEnd(socket);
}

/** Has a connection report its reset as an error with {@link RESET_CODE}, never as an end. */
function reportResets(socket: Socket): void {
  const emit = socket.emit.bind(socket);
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

/** Connections that their peers have ended, whether or not their readers know. */
const ENDED = new WeakSet<Socket>();

/** Whether a connection is open at both ends, as far as its bytes are read. */
export function isOpen(socket: Socket): boolean {
  // What a reader leaves unread may have the end behind it.
  return !socket.destroyed && socket.readableLength === 0 && !ENDED.has(socket);
}

/** Holds the end of a connection back until its reader reads on. */
function holdEnd(socket: Socket): void {
  const push = socket.push.bind(socket);
  const read = socket.read.bind(socket);
  socket.push = (chunk: unknown, encoding?: BufferEncoding) => {
    if (chunk === null) ENDED.add(socket);
    return push(chunk, encoding);
  };
  // A read of no bytes asks for more from the peer, and after its end for the event.
  socket.read = (size?: number): unknown =>
    size === 0 && ENDED.has(socket) ? null : (read(size) as unknown);
}

function resetError(): Error {
  return Object.assign(new Error("connection reset"), { code: RESET_CODE });
}

function withResetCode(error: Error & { code?: string }): Error {
  return error.code === "ECONNRESET" ? resetError() : error;
}
