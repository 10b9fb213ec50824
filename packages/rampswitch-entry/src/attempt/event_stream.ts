// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Reading server-sent events from an engine, within a limit.
 *
 * @module
 */

/** One event of a stream. */
export interface StreamEvent {
  readonly id: string | undefined;
  readonly data: string;
}

const MAXIMUM_EVENT_BYTES = 256 * 1024;

/** Cuts chunks of text into events. */
export class EventStreamParser {
  #rest = "";

  /**
   * Takes in a chunk and returns the events that it completes; `undefined` for
   * an event that is too large to be one.
   */
  push(chunk: string): readonly StreamEvent[] | undefined {
    const parts = (this.#rest + chunk).split(/\r?\n\r?\n/);
    this.#rest = parts.pop() ?? "";
    if (this.#rest.length > MAXIMUM_EVENT_BYTES) return undefined;
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
