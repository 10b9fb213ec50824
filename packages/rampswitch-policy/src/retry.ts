// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Retries: what may be sent again, how often, and after which wait.
 *
 * @module
 */
import type { Outcome, RetryReason } from "rampswitch-types";
import type { Random } from "rampswitch-utils";

/** Limits of retries. */
export interface RetryLimits {
  /** Retries earned by each first attempt. */
  readonly retriesPerRequest: number;
  /** Retries that can be saved up. */
  readonly maximumSavedRetries: number;
  readonly attempts: number;
  readonly initialWaitMilliseconds: number;
  readonly longestWaitMilliseconds: number;
}

/** Limits in force where nothing else is said. */
export const RETRY_LIMITS: RetryLimits = {
  retriesPerRequest: 0.1,
  maximumSavedRetries: 20,
  attempts: 4,
  initialWaitMilliseconds: 10,
  longestWaitMilliseconds: 500,
};

/** Retries that a service may still spend; it bounds the amplification. */
export class RetryBudget {
  readonly #limits: RetryLimits;
  #savedRetries: number;

  constructor(limits: RetryLimits = RETRY_LIMITS) {
    this.#limits = limits;
    this.#savedRetries = limits.maximumSavedRetries;
  }

  /** Earns for a first attempt. */
  earn(): void {
    this.#savedRetries = Math.min(
      this.#limits.maximumSavedRetries,
      this.#savedRetries + this.#limits.retriesPerRequest,
    );
  }

  /** Spends one retry, if there is one. */
  spend(): boolean {
    if (this.#savedRetries < 1) return false;
    this.#savedRetries -= 1;
    return true;
  }
}

/** An attempt that did not succeed. */
export interface FailedAttempt {
  readonly outcome: Exclude<Outcome, { readonly kind: "completed" }>;
  /** Whether an attempt before this one, here or elsewhere, may have run. */
  readonly mayHaveRunBefore: boolean;
  /** Whether the work may run twice. */
  readonly repeatable: boolean;
  /** Attempts in a row that brought nothing of the answer. */
  readonly attempts: number;
  /**
   * Whether the attempt brought a part of the answer. To go on with it is no
   * added load: the server that carried it is lost.
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
 * Decides on a failed attempt. Work that is not repeatable may be sent again
 * only if none of its attempts can have run: a server that rejects the last one
 * knows nothing of those before.
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
    limits.longestWaitMilliseconds,
    limits.initialWaitMilliseconds * 2 ** (attempt.attempts - 1),
  );
  const waitMilliseconds = maximumWaitMilliseconds * options.random.next();
  const attemptsExhausted = attempt.attempts >= limits.attempts;
  const pastDeadline = waitMilliseconds >= attempt.remainingMilliseconds;
  if (!safeToRepeat || attemptsExhausted || pastDeadline)
    return { kind: "give_up", budgetEmpty: false };
  return attempt.madeProgress === true || options.budget.spend()
    ? { kind: "retry", reason: attempt.reason, waitMilliseconds }
    : { kind: "give_up", budgetEmpty: true };
}
