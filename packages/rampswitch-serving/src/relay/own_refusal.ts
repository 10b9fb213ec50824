// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Refuses an admitted request that this host can't serve.
 *
 * @module
 */
import { REFUSALS, type RefusalReason } from "../model/outcome.ts";
import type { AdmittedRequest } from "./admitted_request.ts";
import type { CallerAnswer } from "./caller_answer.ts";
import type { RequestContext } from "./request_context.ts";

/** Shortest time after which callers are asked to retry, in seconds. */
const MINIMUM_RETRY_AFTER_SECONDS = 0.2;

/** Random time added to it, in seconds, so that callers don't retry all at once. */
const RETRY_AFTER_SPREAD_SECONDS = 0.4;

/** The parts of the request context that a refusal uses. */
export type RefusalContext = Pick<
  RequestContext,
  | "admission"
  | "clock"
  | "codec"
  | "directory"
  | "hosts"
  | "quarantine"
  | "random"
  | "backOffWaits"
  | "permits"
  | "workEstimates"
>;

/** Answers with a refusal, and refunds the tokens charged if the request did not run. */
export function answerRefusal(
  reason: RefusalReason,
  exchange: {
    readonly request: AdmittedRequest;
    readonly answer: CallerAnswer;
  },
  parts: RefusalContext,
): void {
  const { request, answer } = exchange;
  const { status, notRun } = REFUSALS[reason];
  if (notRun && request.workspace !== undefined) {
    parts.admission.refund({
      workspace: request.workspace.name,
      tokens: request.chargedTokens,
    });
  }
  const headers = parts.codec.encodeOwnAnswer({
    attemptId: request.head.attemptId,
    retryAfterSeconds: notRun
      ? retryAfterSeconds(reason, request, parts)
      : undefined,
  });
  answer.sendWhole(status, headers, Buffer.alloc(0));
}

/**
 * Time after which the caller is asked to retry, in seconds: not before a
 * quarantined request may run as a trial, not before a permit is free if only
 * limited servers are left, and not before the first back-off ends if all servers
 * have asked for one.
 */
function retryAfterSeconds(
  reason: RefusalReason,
  request: AdmittedRequest,
  parts: RefusalContext,
): number {
  const decision = parts.quarantine.decide(request.fingerprint);
  const trial = decision.kind === "held" ? decision.waitMilliseconds : 0;
  const reasonWait = WAIT_BY_REASON[reason]?.(request, parts) ?? 0;
  return (
    Math.max(MINIMUM_RETRY_AFTER_SECONDS, trial / 1_000, reasonWait / 1_000) +
    RETRY_AFTER_SPREAD_SECONDS * parts.random.next()
  );
}

/** Wait for a refusal's reason, in milliseconds. */
const WAIT_BY_REASON: Readonly<
  Partial<
    Record<
      RefusalReason,
      (request: AdmittedRequest, parts: RefusalContext) => number
    >
  >
> = {
  servers_limited: permitWaitMilliseconds,
  servers_resting: backOffWaitMilliseconds,
};

/**
 * Wait until the servers' back-offs end, in milliseconds. Each caller gets a time
 * of its own, so that retries come no faster than the servers can serve them.
 */
function backOffWaitMilliseconds(
  { service }: AdmittedRequest,
  { clock, directory, hosts, backOffWaits, workEstimates }: RefusalContext,
): number {
  const now = clock.now();
  const ready = directory.of(service.name).filter(({ isReady }) => isReady);
  const ends = ready.map(({ backOff: rest }) => rest.returnsAt);
  backOffWaits.recordRefusal(
    service.name,
    Math.max(0, Math.min(...ends) - now),
    now,
  );
  const slots = ready.reduce((sum, { entry }) => sum + entry.slots, 0);
  const perSecond =
    (1_000 * slots) / workEstimates.meanHoldMilliseconds(service.name);
  return backOffWaits.assignRetryDelay(
    service.name,
    { perSecond, hosts: hosts() },
    now,
  );
}

/** Wait until a permit is free at the limited servers, in milliseconds. */
function permitWaitMilliseconds(
  { service }: AdmittedRequest,
  { directory, permits }: RefusalContext,
): number {
  const limited = permits
    .limited(directory.of(service.name))
    .filter(({ isReady }) => isReady);
  return permits.assignRetryDelay(service.name, limited);
}
