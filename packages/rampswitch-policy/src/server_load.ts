// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Load of backend servers: their reports, which arrive late, corrected by the
 * requests that this host sent and that ended since, and by an estimate of the
 * requests that its peers sent.
 *
 * @module
 */

/** Load that a backend server reported. */
export interface ReportedLoad {
  readonly running: number;
  readonly waiting: number;
  /** Prompt tokens that are not computed yet. */
  readonly promptTokensWaiting: number;
  /** When the load was measured, in milliseconds since the epoch. */
  readonly at: number;
}

/** Load of a backend server as estimated by this host. */
export interface EstimatedLoad {
  readonly requests: number;
  readonly promptTokens: number;
}

interface SentRequest {
  readonly at: number;
  readonly promptTokens: number;
}

const NO_LOAD: ReportedLoad = {
  running: 0,
  waiting: 0,
  promptTokensWaiting: 0,
  at: 0,
};

/**
 * Time for which a failed request still counts as load. Without it a server
 * that fails fast would seem to have free capacity.
 */
const FAILURE_LOAD_MILLISECONDS = 1_000;
/** Maximum number of sent requests, and of failures, that are stored. */
const MAXIMUM_TRACKED_REQUESTS = 256;

/** Load of one backend server as estimated by one entry host. */
export class ServerLoad {
  #report: ReportedLoad = NO_LOAD;
  #sent: readonly SentRequest[] = [];
  #ended = 0;
  #failures: readonly number[] = [];
  #inProgress = 0;

  /** Number of requests of this host that are in progress. */
  get inProgress(): number {
    return this.#inProgress;
  }

  /** Applies a report; one that is not newer than the last is ignored. */
  applyReport(load: ReportedLoad): void {
    if (load.at <= this.#report.at) return;
    this.#report = load;
    this.#sent = this.#sent.filter(({ at }) => at > load.at);
    this.#ended = 0;
  }

  /** Records that a request was sent. */
  sent(promptTokens: number, now: number): void {
    this.#inProgress += 1;
    this.#sent = [...this.#sent, { at: now, promptTokens }].slice(
      -MAXIMUM_TRACKED_REQUESTS,
    );
  }

  /** Records that a request ended; a failed one still counts for a while. */
  ended(failed: boolean, now: number): void {
    this.#inProgress = Math.max(0, this.#inProgress - 1);
    this.#ended += 1;
    if (!failed) return;
    this.#failures = [...this.#failures, now].slice(-MAXIMUM_TRACKED_REQUESTS);
  }

  /**
   * Estimates the load, on the assumption that each of the given number of hosts
   * sent as many requests as this one since the last report.
   */
  estimate(now: number, hosts: number): EstimatedLoad {
    this.#failures = this.#failures.filter(
      (at) => now - at < FAILURE_LOAD_MILLISECONDS,
    );
    const { running, waiting, promptTokensWaiting } = this.#report;
    const sentTokens = this.#sent.reduce(
      (sum, { promptTokens }) => sum + promptTokens,
      0,
    );
    const requests =
      running +
      waiting +
      hosts * (this.#sent.length - this.#ended) +
      this.#failures.length;
    return {
      requests: Math.max(this.#inProgress, requests),
      promptTokens: Math.max(0, promptTokensWaiting + sentTokens),
    };
  }
}
