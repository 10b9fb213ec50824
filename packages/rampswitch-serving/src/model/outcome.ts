// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Reasons why requests end and why they are sent again. Counters and log lines
 * use only the values of these lists.
 *
 * @module
 */

/** Reasons for which a host ends a request with an answer of its own. */
export const REFUSAL_REASONS = [
  "no_configuration",
  "configuration_not_confirmed",
  "no_route",
  "key_unknown",
  "workspace_limit",
  "head_too_large",
  "body_too_large",
  "no_memory",
  "bad_request",
  "expectation_unknown",
  "stopping",
  "quarantined",
  "no_server",
  "servers_full",
  "servers_limited",
  "servers_resting",
  "stream_origin_unknown",
  "stream_origin_lost",
  "stream_version_gone",
  "deadline_passed",
  "unknown_outcome",
  "timed_out",
  "answer_broken",
] as const;

/** One of {@link REFUSAL_REASONS}. */
export type RefusalReason = (typeof REFUSAL_REASONS)[number];

/** HTTP status of each refusal, and whether it guarantees that nothing ran. */
export const REFUSALS: Readonly<
  Record<RefusalReason, { readonly status: number; readonly notRun: boolean }>
> = {
  no_configuration: { status: 503, notRun: true },
  configuration_not_confirmed: { status: 503, notRun: true },
  no_route: { status: 404, notRun: true },
  key_unknown: { status: 401, notRun: true },
  workspace_limit: { status: 429, notRun: true },
  head_too_large: { status: 431, notRun: true },
  body_too_large: { status: 413, notRun: true },
  no_memory: { status: 503, notRun: true },
  bad_request: { status: 400, notRun: true },
  expectation_unknown: { status: 417, notRun: true },
  stopping: { status: 503, notRun: true },
  quarantined: { status: 503, notRun: true },
  no_server: { status: 503, notRun: true },
  servers_full: { status: 503, notRun: true },
  servers_limited: { status: 503, notRun: true },
  servers_resting: { status: 503, notRun: true },
  stream_origin_unknown: { status: 503, notRun: true },
  stream_origin_lost: { status: 503, notRun: true },
  stream_version_gone: { status: 503, notRun: true },
  deadline_passed: { status: 503, notRun: true },
  unknown_outcome: { status: 502, notRun: false },
  timed_out: { status: 504, notRun: false },
  answer_broken: { status: 502, notRun: false },
};

/** Reasons to send a request to another backend server. */
export const RESEND_REASONS = [
  "not_connected",
  "rejected",
  "connection_lost",
  "server_error",
  "answer_not_usable",
  "stream_broken",
  "stalled",
  "memory_moved",
] as const;

/** One of {@link RESEND_REASONS}. */
export type ResendReason = (typeof RESEND_REASONS)[number];
