// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Bytes without an end in place of an answer, as fast as their reader takes them.
 *
 * @module
 */
import type { Socket } from "node:net";

/** Size of what is written at once, in bytes. */
const WRITE_BYTES = 64 * 1024;

const CHUNKED_HEAD =
  "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";

/** What comes first, and the text that is repeated behind it. */
export interface EndlessBytes {
  readonly before: string;
  readonly text: string;
}

/** Bytes without an end that are no part of a body, by what they look like. */
export const ENDLESS_BESIDE_BODY = {
  "no head": { before: "", text: "x" },
  "empty lines before the head": { before: "", text: "\r\n" },
  "a reason": { before: "HTTP/1.1 200 ", text: "x" },
  "header lines": { before: "HTTP/1.1 200 OK\r\n", text: "x: y\r\n" },
  "a header value": { before: "HTTP/1.1 200 OK\r\nx: ", text: "x" },
  "informational heads": {
    before: "",
    text: "HTTP/1.1 102 Processing\r\n\r\n",
  },
  "a chunk's size": { before: CHUNKED_HEAD, text: "0" },
  "a chunk's extension": { before: `${CHUNKED_HEAD}1;`, text: "x" },
  "extensions of chunks of one byte": {
    before: CHUNKED_HEAD,
    text: `1;${"x".repeat(8 * 1024)}\r\n \r\n`,
  },
  "a trailer": { before: `${CHUNKED_HEAD}0\r\nx: `, text: "x" },
} as const satisfies Readonly<Record<string, EndlessBytes>>;

/** Bodies without an end, by what they look like. */
export const ENDLESS_BODIES = {
  "a body without a length": { before: "HTTP/1.1 200 OK\r\n\r\n", text: "x" },
  "a body in chunks": {
    before: CHUNKED_HEAD,
    text: `400\r\n${"x".repeat(1024)}\r\n`,
  },
  "a body of a failure": {
    before: "HTTP/1.1 500 X\r\nContent-Length: 1000000000000\r\n\r\n",
    text: "x",
  },
  "a body of a refusal": {
    before: "HTTP/1.1 503 X\r\nContent-Length: 1000000000000\r\n\r\n",
    text: "x",
  },
} as const satisfies Readonly<Record<string, EndlessBytes>>;

/** Sends bytes without an end until the connection is closed. */
export function sendEndless(
  socket: Socket,
  { before, text }: EndlessBytes,
): void {
  const piece = Buffer.from(text.repeat(Math.ceil(WRITE_BYTES / text.length)));
  const more = () => {
    // Others get their turn in this process after each write.
    if (!socket.destroyed) socket.write(piece, () => setImmediate(more));
  };
  socket.write(before, "latin1");
  more();
}
