// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Load of backend servers: the lagging reports, corrected by what this host
 * sent and saw end since, and by what its peers are likely to have sent.
 *
 * @module
 */

/** A backend server's own report. */
export interface ReportedLoad {
  readonly running: number;
  readonly waiting: number;
  readonly promptTokensWaiting: number;
  /** When the load was as reported, in milliseconds since the epoch. */
  readonly at: number;
}

/** Load as this host estimates it. */
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

/** Time for which a failed request still counts as load. */
const FAILURE_LOAD_MILLISECONDS = 1_000;
const MAXIMUM_TRACKED_REQUESTS = 256;

/** Load of one backend server as one entry host sees it. */
export class ServerLoad {
  #report: ReportedLoad = NO_LOAD;
  #sent: readonly SentRequest[] = [];
  #ended = 0;
  #failures: readonly number[] = [];
  #inProgress = 0;

  /** Requests of this host that are in progress. */
  get inProgress(): number {
    return this.#inProgress;
  }

  /** Takes in a report; older ones change nothing. */
  report(load: ReportedLoad): void {
    if (load.at <= this.#report.at) return;
    this.#report = load;
    this.#sent = this.#sent.filter(({ at }) => at > load.at);
    this.#ended = 0;
  }

  /** Notes that a request was sent. */
  sent(promptTokens: number, now: number): void {
    this.#inProgress += 1;
    this.#sent = [...this.#sent, { at: now, promptTokens }].slice(
      -MAXIMUM_TRACKED_REQUESTS,
    );
  }

  /** Notes that a request ended; a failed one counts on for a while. */
  ended(failed: boolean, now: number): void {
    this.#inProgress = Math.max(0, this.#inProgress - 1);
    this.#ended += 1;
    if (!failed) return;
    this.#failures = [...this.#failures, now].slice(-MAXIMUM_TRACKED_REQUESTS);
  }

  /** Estimates the load, given the number of hosts that send alike. */
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
