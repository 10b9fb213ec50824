// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Clocks as an interface, so that code can be tested with simulated time.
 *
 * @module
 */
import type { SupervisedWork } from "./supervision.ts";

/** A source of time and timers. */
export interface Clock {
  /** Returns the time in milliseconds: since the epoch, or as the clock defines. */
  now(): number;
  /** Runs the callback once after a delay; returns a function that cancels it. */
  after(milliseconds: number, callback: () => void): () => void;
}

/**
 * The operating system's time of day. A timer that is due runs after the events that have
 * come by then: the event loop runs timers before it reads sockets, so a process that stood
 * still would otherwise take what it has not read yet for missing.
 */
export const SYSTEM_CLOCK: Clock = {
  now: () => Date.now(),
  after: (milliseconds, callback) => {
    let immediate: NodeJS.Immediate | undefined;
    const timer = setTimeout(() => {
      immediate = setImmediate(callback);
    }, milliseconds);
    return () => {
      clearTimeout(timer);
      clearImmediate(immediate);
    };
  },
};

/**
 * A monotonic clock: milliseconds since the start of the process. For durations,
 * which must not change when the time of day is set.
 */
export const MONOTONIC_CLOCK: Clock = {
  now: () => performance.now(),
  after: (milliseconds, callback) => SYSTEM_CLOCK.after(milliseconds, callback),
};

/** Resolves after a delay on the given clock. */
export function sleep(clock: Clock, milliseconds: number): Promise<void> {
  return new Promise((resolve) => {
    clock.after(milliseconds, resolve);
  });
}

/** A clock that advances only when {@link advance} is called; for tests and simulations. */
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

  /** Advances the time and runs the timers that are due, in order of their time. */
  advance(milliseconds: number): void {
    this.#now += milliseconds;
    const due = this.#timers
      .filter((timer) => timer.at <= this.#now)
      .toSorted((left, right) => left.at - right.at);
    this.#timers = this.#timers.filter((timer) => timer.at > this.#now);
    due.forEach((timer) => timer.run());
  }
}

/** A task that is repeated until it is disposed of. */
export interface Repetition extends AsyncDisposable {
  /** Runs the task without further delay; if it is running, once more after it. */
  runNow(): void;
}

/**
 * Pause after a run that failed, in milliseconds; it doubles with each further
 * failure. A defect that persists must not use up the processor.
 */
const FIRST_FAILURE_PAUSE_MILLISECONDS = 200;
const MAXIMUM_FAILURE_PAUSE_MILLISECONDS = 5_000;

/**
 * Repeats an asynchronous task with a delay between the end of one run and the
 * start of the next. `wait` is called for each delay and can add jitter, so that
 * hosts don't synchronize. A run that fails is reported, and the next one follows.
 */
export function repeat(
  clock: Clock,
  wait: () => number,
  task: SupervisedWork,
): Repetition {
  let stopped = false;
  let cancel: () => void = () => undefined;
  let running: Promise<void> = Promise.resolve();
  let immediate = false;
  let busy = false;
  let failures = 0;
  const schedule = () => {
    if (stopped) return;
    const pause = Math.max(immediate ? 0 : wait(), failurePause(failures));
    cancel = clock.after(pause, start);
    immediate = false;
  };
  const run = async () => {
    try {
      await task.run();
      failures = 0;
    } catch (error) {
      failures += 1;
      task.reportFailure(task.name, error);
    }
    busy = false;
    schedule();
  };
  const start = () => {
    busy = true;
    running = run();
  };
  schedule();
  return {
    runNow: () => {
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

/** Pause before the next run, in milliseconds, by the number of failures in a row. */
function failurePause(failures: number): number {
  return failures === 0
    ? 0
    : Math.min(
        MAXIMUM_FAILURE_PAUSE_MILLISECONDS,
        FIRST_FAILURE_PAUSE_MILLISECONDS * 2 ** (failures - 1),
      );
}
