// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Refusals of requests before their runs start.
 *
 * @module
 */
import { Result } from "true-myth";
import type { BodyError } from "rampswitch-utils";
import type { RefusalReason } from "../model/outcome.ts";

/** Value of the `Retry-After` header, in seconds, by reason. */
const RETRY_AFTER_SECONDS: Readonly<Partial<Record<RefusalReason, number>>> = {
  no_configuration: 0.5,
  configuration_not_confirmed: 0.5,
  stopping: 0.1,
  no_server: 0.3,
  no_memory: 0.5,
};

/** Why a request is refused at intake, and when it may be retried. */
export interface Refusal {
  readonly reason: RefusalReason;
  readonly retryAfterSeconds: number | undefined;
  readonly workspace?: string | undefined;
  /** Tokens that the request would have been charged. */
  readonly tokens?: number;
  /** Fingerprint of a request that is refused because it is quarantined. */
  readonly fingerprint?: string;
}

/** Reasons by what is wrong with a body; a caller who cut it off gets no answer. */
export const REASON_BY_BODY_ERROR: Readonly<
  Record<Exclude<BodyError, "cut_off">, RefusalReason>
> = { too_large: "body_too_large", no_memory: "no_memory" };

/** Reasons whose requests are not read to their end. */
export const UNREAD_REASONS: ReadonlySet<RefusalReason> = new Set([
  "head_too_large",
  "body_too_large",
  "no_memory",
]);

/** A result that refuses, with the usual time to return. */
export function refusal(reason: RefusalReason): Result<never, Refusal> {
  return Result.err(refusalOf(reason));
}

/** A refusal with the usual time to return. */
export function refusalOf(reason: RefusalReason): Refusal {
  return { reason, retryAfterSeconds: RETRY_AFTER_SECONDS[reason] };
}
