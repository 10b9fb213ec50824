// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Answers of HTTP servers that stop in the middle of their heads: where they stop, and
 * how their connections end then.
 *
 * @module
 */
import type { Socket } from "node:net";

/** A place in a head: the text around it, which the stopped head has up to the bar. */
type Place = `${string}|${string}`;

const LENGTH = "Content-Length: ";

/** Places where a head stops, by their names; the length has several digits. */
const PLACES = {
  "before its first byte": "|HTTP/1.1 ",
  "within the protocol's version": "HTTP/1|.1 ",
  "within the status": "HTTP/1.1 2|00",
  "after the status": "HTTP/1.1 200| ",
  "within the reason": "HTTP/1.1 200 O|K",
  "within the line end of the status": "HTTP/1.1 200 OK\r|\n",
  "after the status line": "HTTP/1.1 200 OK\r\n|",
  "within a header's name": "\r\nContent-|Length",
  "before a header's value": `${LENGTH}|`,
  "within the digits of the length": `${LENGTH}1|`,
  "after the digits of the length": "1000|\r\n",
  "within the line end of a header": "1000\r|\n",
  "before the last empty line": "1000\r\n|\r\n",
  "within the last empty line": "1000\r\n\r|\n",
} as const satisfies Readonly<Record<string, Place>>;

/** Name of a place where a head stops. */
export type HeadStop = keyof typeof PLACES;

/** All of them. */
export const HEAD_STOPS = Object.keys(PLACES) as HeadStop[];

/** A head that stops at a place; `headers` stand before the length. */
export function stoppedHead(
  stop: HeadStop,
  headers: readonly string[] = [],
): string {
  const head = ["HTTP/1.1 200 OK", ...headers, `${LENGTH}1000`, "", ""].join(
    "\r\n",
  );
  const [before = "", after = ""] = PLACES[stop].split("|");
  return head.slice(0, head.indexOf(`${before}${after}`) + before.length);
}

/** Time between a part of an answer and the end of its connection, in milliseconds. */
const LATER_MILLISECONDS = 150;

/** Time between the pieces of an answer, in milliseconds. */
const PIECE_MILLISECONDS = 2;

const PIECE_CHARACTERS = 16;

/** Writes a text, and ends its connection in some way. */
type Ending = (socket: Socket, text: string) => void;

/** Ways in which the connection of an answer ends, by their names. */
export const CONNECTION_ENDS = {
  "an end at once": (socket, text) => socket.end(text),
  "an end later": (socket, text) => {
    socket.write(text);
    setTimeout(() => socket.end(), LATER_MILLISECONDS);
  },
  "a reset at once": (socket, text) => {
    socket.write(text);
    socket.resetAndDestroy();
  },
  "a reset later": (socket, text) => {
    socket.write(text);
    setTimeout(() => socket.resetAndDestroy(), LATER_MILLISECONDS);
  },
  "an end after small pieces": (socket, text) => endAfterPieces(socket, text),
} as const satisfies Readonly<Record<string, Ending>>;

/** Name of a way in which the connection of an answer ends. */
export type ConnectionEnd = keyof typeof CONNECTION_ENDS;

/** All of them. */
export const CONNECTION_END_NAMES = Object.keys(
  CONNECTION_ENDS,
) as ConnectionEnd[];

function endAfterPieces(socket: Socket, text: string): void {
  if (text === "") {
    socket.end();
    return;
  }
  socket.write(text.slice(0, PIECE_CHARACTERS));
  setTimeout(
    () => endAfterPieces(socket, text.slice(PIECE_CHARACTERS)),
    PIECE_MILLISECONDS,
  );
}
