// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Problem documents (RFC 9457) for all outcomes except completed ones.
 *
 * @module
 */
import type { ServerResponse } from "node:http";
import {
  type FailureReason,
  type Outcome,
  RAN_BY_OUTCOME,
  type RefusalReason,
} from "rampswitch-types";
import { abortResponse } from "rampswitch-utils";

const MILLISECONDS_PER_SECOND = 1_000;

/** Any outcome except a completed one. */
export type ProblemOutcome = Exclude<Outcome, { readonly kind: "completed" }>;

/** Members of a problem document. */
export interface ProblemDocument {
  readonly type: string;
  readonly title: string;
  readonly status: number;
  readonly detail: string;
  /** Whether the request ran. */
  readonly ran: "no" | "yes" | "unknown";
  readonly reason: RefusalReason | FailureReason;
  readonly requestId: string | undefined;
  /** Milliseconds after which a retry can succeed. */
  readonly retryAfterMilliseconds: number | undefined;
}

const REFUSAL_STATUS: Readonly<Record<RefusalReason, number>> = {
  bad_request: 400,
  body_too_large: 413,
  no_memory: 503,
  unauthorized: 401,
  forbidden: 403,
  unknown_service: 404,
  unknown_request: 404,
  no_backend_server: 503,
  queue_full: 429,
  workspace_share_used: 429,
  deadline_unreachable: 503,
  deadline_passed: 504,
  not_ready: 503,
  stopping: 503,
  configuration_stale: 503,
  slot_unavailable: 503,
  backup_unreachable: 503,
  key_time_ahead: 400,
  key_reused: 422,
  connect_failed: 502,
  backend_refused: 503,
};

const FAILURE_STATUS: Readonly<Record<FailureReason, number>> = {
  backend_error: 502,
  backend_nonsense: 502,
  backend_timeout: 504,
  backend_lost: 502,
  answer_expired: 410,
  answer_too_large: 410,
  progress_lost: 409,
  taken_over: 409,
  key_expired: 409,
  slot_history_lost: 409,
  caller_gone: 499,
};

const TITLES: Readonly<Record<ProblemOutcome["kind"], string>> = {
  refused_not_run: "Refused, the work did not run",
  failed_ran: "The work ran and failed",
  in_doubt: "The work may have run",
};

/** Values of a problem document besides the outcome. */
export interface ProblemOptions {
  readonly requestId?: string | undefined;
  /**
   * Whether an earlier send with the same key or id may have run: it was not
   * looked up, or not found, so its outcome is unknown.
   */
  readonly earlierUnknown?: boolean;
}

/** Builds the problem document of an outcome. */
export function problemDocument(
  outcome: ProblemOutcome,
  options: ProblemOptions = {},
): ProblemDocument {
  const status =
    outcome.kind === "refused_not_run"
      ? REFUSAL_STATUS[outcome.reason]
      : FAILURE_STATUS[outcome.reason];
  return {
    type: `urn:rampswitch:problem:${outcome.reason}`,
    title: TITLES[outcome.kind],
    status,
    detail: outcome.detail,
    ran:
      options.earlierUnknown === true
        ? "unknown"
        : RAN_BY_OUTCOME[outcome.kind],
    reason: outcome.reason,
    requestId: options.requestId,
    retryAfterMilliseconds:
      outcome.kind === "refused_not_run"
        ? outcome.retryAfterMilliseconds
        : undefined,
  };
}

/**
 * Sends an outcome as a problem document. If the answer has already begun, its
 * connection is broken off instead.
 */
export function sendProblem(
  response: ServerResponse,
  outcome: ProblemOutcome,
  options: ProblemOptions = {},
): void {
  if (response.destroyed || response.writableEnded) return;
  if (response.headersSent) {
    abortResponse(response);
    return;
  }
  const document = problemDocument(outcome, options);
  const { requestId, retryAfterMilliseconds: wait } = document;
  response.writeHead(document.status, {
    "content-type": "application/problem+json",
    ...(requestId === undefined ? {} : { "x-request-id": requestId }),
    ...(wait === undefined
      ? {}
      : { "retry-after": String(Math.ceil(wait / MILLISECONDS_PER_SECOND)) }),
  });
  response.end(JSON.stringify(document));
}
