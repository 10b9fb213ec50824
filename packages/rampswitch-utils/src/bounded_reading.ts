// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Connections on which a server may send only so many bytes that are no part of a body.
 *
 * undici bounds the size of header lines alone. A reason, a chunk's size or extension,
 * informational heads, and empty lines before a head or between two answers are read for
 * as long as they come, and a caller that waits for the answer has no sight of them.
 *
 * What is a part of a body is known to undici, which tells it on its diagnostics
 * channels; how many bytes came is known to the connection.
 *
 * @module
 */
import { subscribe } from "node:diagnostics_channel";
import type { Socket } from "node:net";
import type { Connector } from "./connection_ends.ts";
import { isFinalStatus } from "./http_status.ts";

/**
 * Maximum number of bytes without a part of a body, in bytes. Bytes that wait for a
 * paused reader count as well: a connection buffers less than half of this.
 */
const MAXIMUM_BYTES = 256 * 1024;

/** Bytes that each byte of a body may have beside it; a chunk of one byte has six. */
const BYTES_BESIDE_BODY_BYTE = 64;

/** Error of a connection that brought too many bytes that are no part of a body. */
export class EndlessAnswerError extends Error {
  override readonly name = "EndlessAnswerError";

  constructor() {
    super(`more than ${MAXIMUM_BYTES} bytes without a part of a body`);
  }
}

/** Bounds the reading of all connections that a connector opens. */
export function withBoundedReading<Options>(
  open: Connector<Options>,
): Connector<Options> {
  subscribeOnce();
  return (options, callback) =>
    open(options, (...result) => {
      // There is no socket after an error, whatever the types say of it.
      const [, socket] = result;
      if (socket) boundReading(socket);
      callback(...result);
    });
}

/** Counts the bytes of one connection that are no part of a body. */
class ReadingCount {
  #bytes = 0;

  /** Counts bytes that arrive; `false` if they are too many. */
  arrived(bytes: number): boolean {
    this.#bytes += bytes;
    return this.#bytes <= MAXIMUM_BYTES;
  }

  /** Begins anew with a request, or with a body. */
  restart(): void {
    this.#bytes = 0;
  }

  /** Takes a part of a body off, and what may come beside it. */
  bodyArrived(bytes: number): void {
    this.#bytes = Math.max(0, this.#bytes - bytes * BYTES_BESIDE_BODY_BYTE);
  }
}

const COUNTS_BY_SOCKET = new WeakMap<object, ReadingCount>();
const COUNTS_BY_REQUEST = new WeakMap<object, ReadingCount>();

function boundReading(socket: Socket): void {
  const count = new ReadingCount();
  COUNTS_BY_SOCKET.set(socket, count);
  const push = socket.push.bind(socket);
  socket.push = (chunk: unknown, encoding?: BufferEncoding) => {
    const bytes = Buffer.isBuffer(chunk) ? chunk.length : 0;
    if (count.arrived(bytes)) return push(chunk, encoding);
    socket.destroy(new EndlessAnswerError());
    return false;
  };
}

/** What undici tells of a request, beside what is left out here. */
interface RequestMessage {
  readonly request: object;
}

/** Handlers of undici's messages, by the names of their channels. */
const HANDLERS = {
  "undici:client:sendHeaders": ({
    request,
    socket,
  }: RequestMessage & { readonly socket: object }) => {
    const count = COUNTS_BY_SOCKET.get(socket);
    if (count === undefined) return;
    COUNTS_BY_REQUEST.set(request, count);
    count.restart();
  },
  "undici:request:headers": ({
    request,
    response,
  }: RequestMessage & {
    readonly response: { readonly statusCode: number };
  }) => {
    if (isFinalStatus(response.statusCode))
      COUNTS_BY_REQUEST.get(request)?.restart();
  },
  "undici:request:bodyChunkReceived": ({
    request,
    chunk,
  }: RequestMessage & { readonly chunk: Buffer }) => {
    COUNTS_BY_REQUEST.get(request)?.bodyArrived(chunk.length);
  },
} as const;

let isSubscribed = false;

function subscribeOnce(): void {
  if (isSubscribed) return;
  isSubscribed = true;
  Object.entries(HANDLERS).forEach(([channel, handle]) =>
    subscribe(channel, (message) => handle(message as never)),
  );
}
