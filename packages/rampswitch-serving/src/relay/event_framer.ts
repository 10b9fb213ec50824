// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Splits a stream of server-sent events at event boundaries, so that a broken
 * stream can resume at another server without partial or duplicate events. Its work
 * grows with the bytes alone, whatever the pieces and however late an event ends.
 *
 * @module
 */
import { CollectedBytes } from "rampswitch-utils";
import { LineStarts } from "./line_starts.ts";

/** Complete events from the start of the buffered stream; a comment alone is none. */
export interface Frames {
  readonly bytes: Buffer;
  readonly count: number;
  /** First id among the events; `undefined` if none has an id. */
  readonly firstId: string | undefined;
  /** Last id among the events; `undefined` if none has an id. */
  readonly lastId: string | undefined;
  /** Whether each id can be sent to a server that continues the stream. */
  readonly hasUsableIds: boolean;
  /** Whether the event that has begun is larger than an event may be. */
  readonly isOverfull: boolean;
}

/** Maximum size of an event that has begun, in bytes; usual ones have a few hundred. */
const MAXIMUM_EVENT_BYTES = 256 * 1024;

/** Maximum length of an event's id, in characters. */
const MAXIMUM_ID_CHARACTERS = 256;

const NO_FRAMES: Frames = {
  bytes: Buffer.alloc(0),
  count: 0,
  firstId: undefined,
  lastId: undefined,
  hasUsableIds: true,
  isOverfull: false,
};
const OVERFULL: Frames = { ...NO_FRAMES, isOverfull: true };

/** Line ends of two bytes are as good as those of one; several empty lines end one event. */
const END_OF_EVENT = /\n(?:\r?\n)+/g;
const FIELD = /^[^:\r\n]/m;
const ENDS_OF_EVENT = ["\n\n", "\n\r\n"] as const;
const ID_FIELD = /^id: ?(.*)$/m;

/** Characters that the value of a header may have. */
const HEADER_TEXT = /^[\t\x20-\x7e\x80-\xff]*$/;

/** Assembles the chunks of a stream into complete events. */
export class EventFramer {
  readonly #pending = new CollectedBytes();
  readonly #lineStarts = new LineStarts();

  /** Whether an event has begun that is not complete yet; comments are no event. */
  get isWithinEvent(): boolean {
    return this.#lineStarts.hasField;
  }

  /** Bytes since the last complete event. */
  get pending(): Buffer {
    return this.#pending.toBuffer();
  }

  /** Adds a chunk; returns the events that are now complete. */
  push(chunk: Buffer): Frames {
    const cut = this.#endOfLastEvent(chunk);
    this.#lineStarts.scan(chunk.subarray(0, cut));
    // Comments and empty lines alone are no event; they wait for the next one.
    if (cut === 0 || !this.isWithinEvent) {
      this.#pending.push(chunk);
      this.#lineStarts.scan(chunk.subarray(cut));
      const isOverfull = this.#pending.length > MAXIMUM_EVENT_BYTES;
      return isOverfull ? OVERFULL : NO_FRAMES;
    }
    const isWhole = this.#pending.length === 0 && cut === chunk.length;
    if (!isWhole) this.#pending.push(chunk.subarray(0, cut));
    const bytes = isWhole ? chunk : this.#pending.toBuffer();
    this.reset();
    const rest = chunk.subarray(cut);
    if (rest.length > 0) this.#pending.push(rest);
    this.#lineStarts.scan(rest);
    return { bytes, ...scanEvents(bytes.toString("latin1")) };
  }

  /** Discards an incomplete event. */
  reset(): void {
    this.#pending.clear();
    this.#lineStarts.clear();
  }

  /** Index within a chunk after the last event that ends in it; 0 if none does. */
  #endOfLastEvent(chunk: Buffer): number {
    const ends = ENDS_OF_EVENT.map((end) => {
      const index = chunk.lastIndexOf(end, undefined, "latin1");
      return index < 0 ? 0 : index + end.length;
    });
    return Math.max(...ends, this.#endAcrossChunks(chunk));
  }

  /** The same for an end whose first bytes were in earlier chunks. */
  #endAcrossChunks(chunk: Buffer): number {
    const { length } = this.#pending;
    if (length === 0) return 0;
    const before = this.pending.subarray(-(LONGEST_END - 1)).toString("latin1");
    const after = chunk.subarray(0, LONGEST_END - 1).toString("latin1");
    const ends = ENDS_OF_EVENT.map((end) => {
      const index = (before + after).lastIndexOf(end);
      return index < 0 ? 0 : index + end.length - before.length;
    });
    return Math.max(0, ...ends);
  }
}

const LONGEST_END = Math.max(...ENDS_OF_EVENT.map(({ length }) => length));

/** Counts complete events, and finds their ids. */
function scanEvents(text: string): Omit<Frames, "bytes"> {
  const parts = text.split(END_OF_EVENT).slice(0, -1);
  const events = parts.filter((part) => FIELD.test(part));
  const ids = events.flatMap(
    (event) => ID_FIELD.exec(event)?.[1]?.trim() ?? [],
  );
  return {
    isOverfull: false,
    count: events.length,
    firstId: ids[0],
    lastId: ids.at(-1),
    hasUsableIds: ids.every(
      (id) => id.length <= MAXIMUM_ID_CHARACTERS && HEADER_TEXT.test(id),
    ),
  };
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
