// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Parses server-sent events from an engine, up to a maximum event size.
 *
 * @module
 */

/** One server-sent event. */
export interface StreamEvent {
  readonly id: string | undefined;
  readonly data: string;
}

const MAXIMUM_EVENT_CHARACTERS = 256 * 1024;

/** Splits chunks of text into events. */
export class EventStreamParser {
  #incomplete = "";

  /**
   * Adds a chunk and returns the events that it completes. Returns `undefined`
   * if an incomplete event exceeds the maximum size.
   */
  push(chunk: string): readonly StreamEvent[] | undefined {
    const parts = (this.#incomplete + chunk).split(/\r?\n\r?\n/);
    this.#incomplete = parts.pop() ?? "";
    if (this.#incomplete.length > MAXIMUM_EVENT_CHARACTERS) return undefined;
    return parts.map(parseEvent);
  }
}

function parseEvent(block: string): StreamEvent {
  const lines = block.split(/\r?\n/);
  const field = (name: string) =>
    lines
      .filter((line) => line.startsWith(`${name}:`))
      .map((line) => line.slice(name.length + 1).replace(/^ /, ""));
  return { id: field("id").at(-1), data: field("data").join("\n") };
}
