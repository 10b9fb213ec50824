// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Tells whether lines of server-sent events hold a field, by their first bytes.
 * Comments and empty lines hold none.
 *
 * @module
 */

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const COLON = 0x3a;

/** What the next byte belongs to. */
type Position =
  /** The start of a line. */
  | "start"
  | "comment"
  /** The end of an empty line, if a line feed follows. */
  | "carriage_return"
  | "field";

/** What the first byte of a line starts; any other byte starts a field. */
const STARTS: ReadonlyMap<number, Position> = new Map<number, Position>([
  [LINE_FEED, "start"],
  [CARRIAGE_RETURN, "carriage_return"],
  [COLON, "comment"],
]);

/** The starts of the lines of a text that comes in pieces. */
export class LineStarts {
  #position: Position = "start";

  /** Whether a line has begun that is neither empty nor a comment. */
  get hasField(): boolean {
    return this.#position === "field" || this.#position === "carriage_return";
  }

  /** Adds a piece. */
  scan(bytes: Buffer): void {
    let at = 0;
    while (at < bytes.length && this.#position !== "field") {
      if (this.#position === "comment") {
        const end = bytes.indexOf(LINE_FEED, at);
        if (end < 0) return;
        at = end;
        this.#position = "start";
      } else this.#position = this.#after(bytes[at]);
      at += 1;
    }
  }

  /** Starts anew. */
  clear(): void {
    this.#position = "start";
  }

  #after(byte = LINE_FEED): Position {
    if (this.#position === "carriage_return")
      return byte === LINE_FEED ? "start" : "field";
    return STARTS.get(byte) ?? "field";
  }
}
