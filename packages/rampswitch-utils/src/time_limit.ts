// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The time limit of a call, on a clock that is passed in.
 *
 * @module
 */
import type { Clock } from "./clock.ts";

/** Aborts a call after some time; disposed of when the call has ended. */
export class TimeLimit implements Disposable {
  readonly #abort = new AbortController();
  readonly #cancel: () => void;

  constructor(clock: Clock, milliseconds: number) {
    this.#cancel = clock.after(milliseconds, () =>
      this.#abort.abort(
        new DOMException(`no answer in ${milliseconds} ms`, "TimeoutError"),
      ),
    );
  }

  /** Aborted once the time is over. */
  get signal(): AbortSignal {
    return this.#abort.signal;
  }

  [Symbol.dispose](): void {
    this.#cancel();
  }
}
