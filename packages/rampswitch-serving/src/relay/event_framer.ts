// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Splits a stream of server-sent events at event boundaries, so that a broken
 * stream can resume at another server without partial or duplicate events.
 *
 * @module
 */

/** Complete events from the start of the buffered stream. */
export interface Frames {
  readonly bytes: Buffer;
  readonly count: number;
  /** First id among the events; `undefined` if none has an id. */
  readonly firstId: string | undefined;
  /** Last id among the events; `undefined` if none has an id. */
  readonly lastId: string | undefined;
}

const NO_FRAMES: Frames = {
  bytes: Buffer.alloc(0),
  count: 0,
  firstId: undefined,
  lastId: undefined,
};
const END_OF_EVENT = "\n\n";
const ID_FIELD = /^id: ?(.*)$/m;

/** Assembles the chunks of a stream into complete events. */
export class EventFramer {
  #pending: Buffer = Buffer.alloc(0);

  /** Bytes of an event that is not complete yet. */
  get pendingBytes(): number {
    return this.#pending.length;
  }

  /** Adds a chunk; returns the events that are now complete. */
  push(chunk: Buffer): Frames {
    const all =
      this.#pending.length === 0
        ? chunk
        : Buffer.concat([this.#pending, chunk]);
    const end = all.lastIndexOf(END_OF_EVENT);
    if (end < 0) {
      this.#pending = all;
      return NO_FRAMES;
    }
    const cut = end + END_OF_EVENT.length;
    this.#pending = all.subarray(cut);
    const bytes = all.subarray(0, cut);
    const events = bytes.toString("latin1").slice(0, end).split(END_OF_EVENT);
    const ids = events
      .map((event) => ID_FIELD.exec(event)?.[1]?.trim())
      .filter((id) => id !== undefined);
    return {
      bytes,
      count: events.length,
      firstId: ids[0],
      lastId: ids.at(-1),
    };
  }

  /** Discards an incomplete event. */
  reset(): void {
    this.#pending = Buffer.alloc(0);
  }
}

const COUNTER = /^\d+$/;

/**
 * Whether an event comes after another one, by their ids. Ids that are missing
 * or are not counters can't be compared, and count as in order.
 */
export function isAfter(
  id: string | undefined,
  previous: string | undefined,
): boolean {
  if (id === undefined || previous === undefined) return true;
  if (!COUNTER.test(id) || !COUNTER.test(previous)) return true;
  return BigInt(id) > BigInt(previous);
}
