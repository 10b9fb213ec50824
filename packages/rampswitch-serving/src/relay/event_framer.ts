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
/** Line ends of two bytes are as good as those of one. */
const END_OF_EVENT = /\n\r?\n/g;
const ENDS_OF_EVENT = ["\n\n", "\n\r\n"] as const;
const LINE_END = /\r?\n/;
const COMMENT = ":";
const ID_FIELD = /^id: ?(.*)$/m;

/** Assembles the chunks of a stream into complete events. */
export class EventFramer {
  #pending: Buffer = NO_BYTES;

  /** Whether an event has begun that is not complete yet; comments are no event. */
  get isWithinEvent(): boolean {
    return this.#pending
      .toString("latin1")
      .split(LINE_END)
      .some((line) => line !== "" && !line.startsWith(COMMENT));
  }

  /** Bytes since the last complete event. */
  get pending(): Buffer {
    return this.#pending;
  }

  /** Adds a chunk; returns the events that are now complete. */
  push(chunk: Buffer): Frames {
    const all =
      this.#pending.length === 0
        ? chunk
        : Buffer.concat([this.#pending, chunk]);
    const text = all.toString("latin1");
    const cut = endOfLastEvent(text);
    if (cut === 0) {
      this.#pending = all;
      return NO_FRAMES;
    }
    const isWhole = cut === all.length;
    this.#pending = isWhole ? NO_BYTES : all.subarray(cut);
    return {
      bytes: isWhole ? all : all.subarray(0, cut),
      ...scanEvents(text.slice(0, cut)),
    };
  }

  /** Discards an incomplete event. */
  reset(): void {
    this.#pending = NO_BYTES;
  }
}

/** Index after the last complete event; 0 if there is none. */
function endOfLastEvent(text: string): number {
  const ends = ENDS_OF_EVENT.map((end) => {
    const index = text.lastIndexOf(end);
    return index < 0 ? 0 : index + end.length;
  });
  return Math.max(...ends);
}

/** Counts complete events, and finds their ids. */
function scanEvents(text: string): Omit<Frames, "bytes"> {
  const events = text.split(END_OF_EVENT).slice(0, -1);
  const ids = events.flatMap(
    (event) => ID_FIELD.exec(event)?.[1]?.trim() ?? [],
  );
  return { count: events.length, firstId: ids[0], lastId: ids.at(-1) };
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
