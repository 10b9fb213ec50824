// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Detects whether the event loop is behind: it was busy for so long that the events of
 * some sockets are old. A host that has just started on a small share of a core reads a
 * request together with the end of its connection, and would send the request on before
 * it handles that end.
 *
 * @module
 */
import { performance } from "node:perf_hooks";

/**
 * Busy time after which requests that are read may be stale, in milliseconds: well below
 * the time after which a request must not be sent on for a caller who has left (500 ms).
 */
const BACKLOG_MILLISECONDS = 200;

/** Times of the event loop, in milliseconds. */
export interface LoopTimes {
  readonly now: number;
  /** Total time for which the loop waited for events. */
  readonly idle: number;
}

interface Mark extends LoopTimes {
  readonly isBehind: boolean;
}

/** Whether the event loop of this process is behind. */
export class LoopBacklog {
  readonly #times: () => LoopTimes;
  #mark: Mark;

  constructor(times: () => LoopTimes = loopTimes) {
    this.#times = times;
    this.#mark = { ...times(), isBehind: false };
  }

  /** Whether events that are handled now may be old; called for each request. */
  isBehind(): boolean {
    const { now, idle } = this.#times();
    const last = this.#mark;
    const busy = now - last.now - (idle - last.idle);
    const isBehind = busy >= BACKLOG_MILLISECONDS;
    // Until the loop waits again, all requests are as old as the first one.
    if (idle > last.idle) this.#mark = { now, idle, isBehind };
    else if (isBehind) this.#mark = { ...last, isBehind };
    return this.#mark.isBehind;
  }
}

/** Returns the times of this process's event loop. */
export function loopTimes(): LoopTimes {
  return {
    now: performance.now(),
    idle: performance.eventLoopUtilization().idle,
  };
}

/** Resolves once the events that sockets have now were handled. */
export function pendingEventsHandled(): Promise<void> {
  // The second immediate runs after a whole poll phase, which reads the sockets.
  return new Promise((resolve) => {
    setImmediate(() => setImmediate(resolve));
  });
}
