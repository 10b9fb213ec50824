// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Time as an interface, so that decisions and tests never read the system's
 * clock themselves.
 *
 * @module
 */

/** A source of time and of timers. */
export interface Clock {
  /** Milliseconds since the epoch. */
  now(): number;
  /** Calls back once after some milliseconds; returns a way to cancel. */
  after(milliseconds: number, callback: () => void): () => void;
}

/** The clock of the operating system. */
export const SYSTEM_CLOCK: Clock = {
  now: () => Date.now(),
  after: (milliseconds, callback) => {
    const timer = setTimeout(callback, milliseconds);
    return () => clearTimeout(timer);
  },
};

/**
 * A clock that never jumps: milliseconds since the start of the process. For
 * durations, where the time of day does not matter.
 */
export const STEADY_CLOCK: Clock = {
  now: () => performance.now(),
  after: (milliseconds, callback) => SYSTEM_CLOCK.after(milliseconds, callback),
};

/** Resolves after some milliseconds of the given clock. */
export function sleep(clock: Clock, milliseconds: number): Promise<void> {
  return new Promise((resolve) => {
    clock.after(milliseconds, resolve);
  });
}

/** A clock that moves only when told to; for tests and simulations. */
export class ManualClock implements Clock {
  #now: number;
  #timers: readonly { readonly at: number; readonly run: () => void }[] = [];

  constructor(now = 0) {
    this.#now = now;
  }

  now(): number {
    return this.#now;
  }

  after(milliseconds: number, callback: () => void): () => void {
    const timer = { at: this.#now + milliseconds, run: callback };
    this.#timers = [...this.#timers, timer];
    return () => {
      this.#timers = this.#timers.filter((other) => other !== timer);
    };
  }

  /** Moves time forward and runs what came due, in order. */
  advance(milliseconds: number): void {
    this.#now += milliseconds;
    const due = this.#timers
      .filter((timer) => timer.at <= this.#now)
      .toSorted((left, right) => left.at - right.at);
    this.#timers = this.#timers.filter((timer) => timer.at > this.#now);
    due.forEach((timer) => timer.run());
  }
}

/** A task that repeats until it is disposed of. */
export interface Repetition extends AsyncDisposable {
  /** Runs the task now instead of at its time. */
  hurry(): void;
}

/**
 * Repeats an asynchronous task, waiting between the end of one run and the
 * start of the next. Each wait is drawn anew, so that hosts do not align.
 */
export function repeat(
  clock: Clock,
  wait: () => number,
  task: () => Promise<void>,
): Repetition {
  let stopped = false;
  let cancel: () => void = () => undefined;
  let running: Promise<void> = Promise.resolve();
  let immediate = false;
  let busy = false;
  const schedule = () => {
    if (stopped) return;
    cancel = clock.after(immediate ? 0 : wait(), run);
    immediate = false;
  };
  const run = () => {
    busy = true;
    running = task().finally(() => {
      busy = false;
      schedule();
    });
  };
  schedule();
  return {
    hurry: () => {
      if (stopped) return;
      immediate = true;
      if (busy) return;
      cancel();
      schedule();
    },
    [Symbol.asyncDispose]: async () => {
      stopped = true;
      cancel();
      await running;
    },
  };
}
