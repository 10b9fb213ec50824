// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The outcome of a request and the reasons for it. The same type is used from
 * the backend server's client to the caller. Each reason has one counter.
 *
 * @module
 */

/** Whether the work of a request ran, as reported to the caller. */
export type Ran = "no" | "yes" | "unknown";

/** Reasons for refusing a request that did not run. */
export const REFUSAL_REASONS = [
  "bad_request",
  "body_too_large",
  "no_memory",
  "unauthorized",
  "forbidden",
  "unknown_service",
  "unknown_request",
  "no_backend_server",
  "queue_full",
  "workspace_share_used",
  "deadline_unreachable",
  "deadline_passed",
  "not_ready",
  "stopping",
  "configuration_stale",
  "slot_unavailable",
  "backup_unreachable",
  "key_time_ahead",
  "key_reused",
  "connect_failed",
  "backend_refused",
] as const;

/** One reason of {@link REFUSAL_REASONS}. */
export type RefusalReason = (typeof REFUSAL_REASONS)[number];

/** Reasons for a failure after the work ran or may have run. */
export const FAILURE_REASONS = [
  "backend_error",
  "backend_nonsense",
  "backend_timeout",
  "backend_lost",
  "answer_expired",
  "answer_too_large",
  "progress_lost",
  "taken_over",
  "key_expired",
  "slot_history_lost",
  "caller_gone",
] as const;

/** One reason of {@link FAILURE_REASONS}. */
export type FailureReason = (typeof FAILURE_REASONS)[number];

/** Reasons for resending a request to a backend server. */
export const RETRY_REASONS = [
  "connect_failed",
  "backend_refused",
  "backend_lost",
  "backend_reclaimed",
  "backend_error",
] as const;

/** One reason of {@link RETRY_REASONS}. */
export type RetryReason = (typeof RETRY_REASONS)[number];

/** Reasons for dropping a message that is no longer relevant on arrival. */
export const DROP_REASONS = [
  "former_attempt",
  "duplicate_event",
  "old_epoch",
  "old_revision",
  "old_heartbeat",
  "caller_gone",
] as const;

/** One reason of {@link DROP_REASONS}. */
export type DropReason = (typeof DROP_REASONS)[number];

/** The work ran and the whole answer was received. */
export interface Completed {
  readonly kind: "completed";
}

/** No backend server ran the request, and none ever will. */
export interface RefusedNotRun {
  readonly kind: "refused_not_run";
  readonly reason: RefusalReason;
  /** What was wrong and what was expected; without a final period. */
  readonly detail: string;
  /** Milliseconds after which the caller may retry; absent if a retry can't help. */
  readonly retryAfterMilliseconds?: number;
}

/** A backend server ran the request and it failed. */
export interface FailedRan {
  readonly kind: "failed_ran";
  readonly reason: FailureReason;
  readonly detail: string;
}

/** The request was sent to a backend server and its outcome is unknown. */
export interface InDoubt {
  readonly kind: "in_doubt";
  readonly reason: FailureReason;
  readonly detail: string;
}

/** How a request ended. Only `refused_not_run` is always safe to resend. */
export type Outcome = Completed | RefusedNotRun | FailedRan | InDoubt;

/** Whether the work ran, by kind of outcome. */
export const RAN_BY_OUTCOME: Readonly<Record<Outcome["kind"], Ran>> = {
  completed: "yes",
  refused_not_run: "no",
  failed_ran: "yes",
  in_doubt: "unknown",
};

/** Builds a refusal of work that never ran. */
export function refused(
  reason: RefusalReason,
  detail: string,
  options: { readonly retryAfterMilliseconds?: number } = {},
): RefusedNotRun {
  return { kind: "refused_not_run", reason, detail, ...options };
}

/** Builds the outcome of work that ran and failed. */
export function failed(reason: FailureReason, detail: string): FailedRan {
  return { kind: "failed_ran", reason, detail };
}

/** Builds the outcome of work whose end is unknown. */
export function inDoubt(reason: FailureReason, detail: string): InDoubt {
  return { kind: "in_doubt", reason, detail };
}
