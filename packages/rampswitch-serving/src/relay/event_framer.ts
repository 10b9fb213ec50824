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

const NO_BYTES: Buffer = Buffer.alloc(0);
const NO_FRAMES: Frames = {
  bytes: NO_BYTES,
  count: 0,
  firstId: undefined,
  lastId: undefined,
};
const END_OF_EVENT = "\n\n";
const ID_FIELD = /^id: ?(.*)$/m;

/** Assembles the chunks of a stream into complete events. */
export class EventFramer {
  #pending: Buffer = NO_BYTES;

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
    const text = all.toString("latin1");
    const end = text.lastIndexOf(END_OF_EVENT);
    if (end < 0) {
      this.#pending = all;
      return NO_FRAMES;
    }
    const cut = end + END_OF_EVENT.length;
    const isWhole = cut === all.length;
    this.#pending = isWhole ? NO_BYTES : all.subarray(cut);
    return {
      bytes: isWhole ? all : all.subarray(0, cut),
      ...scanEvents(text, end),
    };
  }

  /** Discards an incomplete event. */
  reset(): void {
    this.#pending = NO_BYTES;
  }
}

/** Counts the events before the end of the last one, and finds their ids. */
function scanEvents(text: string, end: number): Omit<Frames, "bytes"> {
  let count = 0;
  let firstId: string | undefined;
  let lastId: string | undefined;
  for (let from = 0; from <= end; count += 1) {
    const to = text.indexOf(END_OF_EVENT, from);
    const id = ID_FIELD.exec(text.slice(from, to))?.[1]?.trim();
    if (id !== undefined) {
      firstId ??= id;
      lastId = id;
    }
    from = to + END_OF_EVENT.length;
  }
  return { count, firstId, lastId };
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
