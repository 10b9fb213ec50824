// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Retries on one host: a budget for each service, and the wait before each
 * further attempt.
 *
 * @module
 */
import {
  decideRetry,
  type FailedAttempt,
  RetryBudget,
} from "rampswitch-policy";
import type {
  FailureReason,
  RefusalReason,
  RetryReason,
} from "rampswitch-types";
import { type Clock, type Metrics, type Random, sleep } from "rampswitch-utils";

/**
 * Retry reasons by the reason of a failed attempt; a retry can't help after any
 * other reason.
 */
const RETRY_REASONS: Readonly<
  Partial<Record<RefusalReason | FailureReason, RetryReason>>
> = {
  connect_failed: "connect_failed",
  backend_refused: "backend_refused",
  backend_lost: "backend_lost",
  backend_timeout: "backend_lost",
  backend_error: "backend_error",
  backend_nonsense: "backend_error",
};

/** Options of {@link RetryDecider}. */
export interface RetryDeciderOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly metrics: Metrics;
}

/** Decides on the retries of all services on one host. */
export class RetryDecider {
  readonly #options: RetryDeciderOptions;
  readonly #budgets = new Map<string, RetryBudget>();

  constructor(options: RetryDeciderOptions) {
    this.#options = options;
  }

  /** Records the first attempt of a request, which adds to the retry budget. */
  recordFirstAttempt(service: string): void {
    this.#budget(service).earn();
  }

  /** Whether a retry can help after a failure with this reason. */
  isRetryable(reason: RefusalReason | FailureReason): boolean {
    return RETRY_REASONS[reason] !== undefined;
  }

  /**
   * Waits until the next attempt is due; resolves to false at once if there is
   * to be none.
   */
  async waitForRetry(
    service: string,
    attempt: Omit<FailedAttempt, "reason">,
  ): Promise<boolean> {
    const { clock, random, metrics } = this.#options;
    const reason = RETRY_REASONS[attempt.outcome.reason];
    if (reason === undefined) return false;
    const decision = decideRetry(
      { ...attempt, reason },
      { budget: this.#budget(service), random },
    );
    if (decision.kind === "give_up") {
      if (decision.budgetEmpty) metrics.count("retry_budget_empty");
      return false;
    }
    metrics.count("retry", decision.reason);
    await sleep(clock, decision.waitMilliseconds);
    return true;
  }

  #budget(service: string): RetryBudget {
    const known = this.#budgets.get(service);
    if (known !== undefined) return known;
    const budget = new RetryBudget();
    this.#budgets.set(service, budget);
    return budget;
  }
}
