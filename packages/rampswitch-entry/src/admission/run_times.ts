// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * How long requests run, learned by service as a ratio to what was predicted of them.
 * Nothing but the time of earlier calls is known of plain services. Pure.
 *
 * @module
 */

/** Weight of the former ratio in the moving average. */
const RATIO_RETENTION = 0.8;

/** What was predicted of a request. */
export interface PredictedRun {
  readonly id: string;
  /** Predicted duration of the run. */
  readonly runMilliseconds: number;
}

interface StartedRun extends PredictedRun {
  readonly startedAt: number;
}

/** The times of the runs of one service. */
export class RunTimes {
  readonly #started = new Map<string, StartedRun>();
  #ratio: number | undefined;

  /** Notes that a request may run. */
  started({ id, runMilliseconds }: PredictedRun, now: number): void {
    this.#started.set(id, { id, runMilliseconds, startedAt: now });
  }

  /** Notes that a request has ended, and learns from it. */
  ended(id: string, now: number): void {
    const run = this.#started.get(id);
    if (run === undefined) return;
    this.#started.delete(id);
    const ratio = (now - run.startedAt) / Math.max(1, run.runMilliseconds);
    this.#ratio =
      RATIO_RETENTION * (this.#ratio ?? ratio) + (1 - RATIO_RETENTION) * ratio;
  }

  /** Returns the expected duration of a run that was predicted. */
  expected(runMilliseconds: number): number {
    return Math.max(1, runMilliseconds) * (this.#ratio ?? 1);
  }
}
