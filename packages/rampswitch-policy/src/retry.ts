// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Retries: which requests may be sent again, how often, and after which wait.
 *
 * @module
 */
import type { Outcome, RetryReason } from "rampswitch-types";
import type { Random } from "rampswitch-utils";

/** Limits on retries. */
export interface RetryLimits {
  /** Retries that each first attempt adds to the budget. */
  readonly retriesPerRequest: number;
  /** Maximum number of retries in the budget. */
  readonly maximumSavedRetries: number;
  /** Maximum number of consecutive attempts without progress. */
  readonly maximumAttempts: number;
  /** Upper limit of the wait after the first attempt; it doubles each time. */
  readonly initialWaitMilliseconds: number;
  /** Upper limit of the wait after any attempt. */
  readonly maximumWaitMilliseconds: number;
}

/** Default limits. */
export const RETRY_LIMITS: RetryLimits = {
  retriesPerRequest: 0.1,
  maximumSavedRetries: 20,
  maximumAttempts: 4,
  initialWaitMilliseconds: 10,
  maximumWaitMilliseconds: 500,
};

/**
 * Number of retries that a service may still send. It bounds the additional
 * load that retries cause when a whole service fails.
 */
export class RetryBudget {
  readonly #limits: RetryLimits;
  #savedRetries: number;

  constructor(limits: RetryLimits = RETRY_LIMITS) {
    this.#limits = limits;
    this.#savedRetries = limits.maximumSavedRetries;
  }

  /** Adds the share of a retry that a first attempt earns. */
  earn(): void {
    this.#savedRetries = Math.min(
      this.#limits.maximumSavedRetries,
      this.#savedRetries + this.#limits.retriesPerRequest,
    );
  }

  /** Takes one retry from the budget; returns whether there was one. */
  spend(): boolean {
    if (this.#savedRetries < 1) return false;
    this.#savedRetries -= 1;
    return true;
  }
}

/** A failed attempt of a request. */
export interface FailedAttempt {
  readonly outcome: Exclude<Outcome, { readonly kind: "completed" }>;
  /** Whether an earlier attempt, on this host or another, may have run. */
  readonly mayHaveRunBefore: boolean;
  /** Whether the request may run twice. */
  readonly repeatable: boolean;
  /** Consecutive attempts that delivered nothing of the answer. */
  readonly attemptsWithoutProgress: number;
  /**
   * Whether the attempt delivered a part of the answer. Continuing that answer
   * adds no load, because the server that ran the attempt is lost; it needs no
   * retry from the budget.
   */
  readonly madeProgress?: boolean;
  /** Milliseconds until the caller's deadline. */
  readonly remainingMilliseconds: number;
  readonly reason: RetryReason;
}

/** What to do after a failed attempt. */
export type RetryDecision =
  | {
      readonly kind: "retry";
      readonly reason: RetryReason;
      readonly waitMilliseconds: number;
    }
  | { readonly kind: "give_up"; readonly budgetEmpty: boolean };

/**
 * Decides whether to send a request again after a failed attempt. A request
 * that is not repeatable may be sent again only if none of its attempts can
 * have run: a server that rejects the last attempt has no information about
 * the earlier ones.
 */
export function decideRetry(
  attempt: FailedAttempt,
  options: {
    readonly budget: RetryBudget;
    readonly random: Random;
    readonly limits?: RetryLimits;
  },
): RetryDecision {
  const limits = options.limits ?? RETRY_LIMITS;
  const notRun =
    attempt.outcome.kind === "refused_not_run" && !attempt.mayHaveRunBefore;
  const safeToRepeat = attempt.repeatable || notRun;
  const maximumWaitMilliseconds = Math.min(
    limits.maximumWaitMilliseconds,
    limits.initialWaitMilliseconds * 2 ** (attempt.attemptsWithoutProgress - 1),
  );
  const waitMilliseconds = maximumWaitMilliseconds * options.random.next();
  const attemptsExhausted =
    attempt.attemptsWithoutProgress >= limits.maximumAttempts;
  const pastDeadline = waitMilliseconds >= attempt.remainingMilliseconds;
  if (!safeToRepeat || attemptsExhausted || pastDeadline)
    return { kind: "give_up", budgetEmpty: false };
  return attempt.madeProgress === true || options.budget.spend()
    ? { kind: "retry", reason: attempt.reason, waitMilliseconds }
    : { kind: "give_up", budgetEmpty: true };
}
