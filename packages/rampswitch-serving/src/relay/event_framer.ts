// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Cuts a stream of server-sent events at the ends of whole events, so that a
 * stream that broke off can go on elsewhere without a torn or doubled event.
 *
 * @module
 */

/** Whole events from the start of what was pushed. */
export interface Frames {
  readonly bytes: Buffer;
  readonly count: number;
  /** First id among the events, where one has an id. */
  readonly firstId: string | undefined;
  /** Last id among the events, where one has an id. */
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

/** Collects pieces of a stream into whole events. */
export class EventFramer {
  #rest: Buffer = Buffer.alloc(0);

  /** Bytes of an event that is not whole yet. */
  get pendingBytes(): number {
    return this.#rest.length;
  }

  /** Takes in a piece; returns the events that are whole now. */
  push(piece: Buffer): Frames {
    const all =
      this.#rest.length === 0 ? piece : Buffer.concat([this.#rest, piece]);
    const end = all.lastIndexOf(END_OF_EVENT);
    if (end < 0) {
      this.#rest = all;
      return NO_FRAMES;
    }
    const cut = end + END_OF_EVENT.length;
    this.#rest = all.subarray(cut);
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

  /** Forgets an event that broke off. */
  reset(): void {
    this.#rest = Buffer.alloc(0);
  }
}

const COUNTER = /^\d+$/;

/**
 * Whether an event comes after another one by their ids. Ids that are not
 * counters, or missing, tell nothing and pass.
 */
export function comesAfter(
  id: string | undefined,
  former: string | undefined,
): boolean {
  if (id === undefined || former === undefined) return true;
  if (!COUNTER.test(id) || !COUNTER.test(former)) return true;
  return BigInt(id) > BigInt(former);
}
