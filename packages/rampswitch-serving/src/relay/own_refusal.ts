// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The answer of this host's own to an admitted request that it can't serve.
 *
 * @module
 */
import { REFUSALS, type RefusalReason } from "../model/outcome.ts";
import type { AdmittedRequest } from "./admitted_request.ts";
import type { CallerAnswer } from "./caller_answer.ts";
import type { RequestContext } from "./request_context.ts";

/** Callers are asked to come back after this time at least, in seconds. */
const LEAST_RETRY_AFTER_SECONDS = 0.2;

/** Spread on top, in seconds, so that callers do not come back together. */
const RETRY_AFTER_SPREAD_SECONDS = 0.4;

/** What a refusal is made with. */
export type RefusalParts = Pick<
  RequestContext,
  | "admission"
  | "clock"
  | "codec"
  | "directory"
  | "holdTimes"
  | "hosts"
  | "quarantine"
  | "random"
  | "restWaits"
  | "turns"
>;

/** Answers with a refusal; what a request that did not run was charged goes back. */
export function answerRefusal(
  reason: RefusalReason,
  exchange: {
    readonly request: AdmittedRequest;
    readonly answer: CallerAnswer;
  },
  parts: RefusalParts,
): void {
  const { request, answer } = exchange;
  const { status, notRun } = REFUSALS[reason];
  if (notRun && request.workspace !== undefined) {
    parts.admission.giveBack({
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
  answer.whole(status, headers, Buffer.alloc(0));
}

/**
 * Not before a quarantined request may run as a trial, nor before a turn is free at
 * a server that names a limit, nor before a rest ends where all servers rest.
 */
function retryAfterSeconds(
  reason: RefusalReason,
  request: AdmittedRequest,
  parts: RefusalParts,
): number {
  const decision = parts.quarantine.decide(request.fingerprint);
  const trial = decision.kind === "held" ? decision.waitMilliseconds : 0;
  const turn = WAITS[reason]?.(request, parts) ?? 0;
  return (
    Math.max(LEAST_RETRY_AFTER_SECONDS, trial / 1_000, turn / 1_000) +
    RETRY_AFTER_SPREAD_SECONDS * parts.random.next()
  );
}

/** Waits in milliseconds that follow from the reason. */
const WAITS: Readonly<
  Partial<
    Record<
      RefusalReason,
      (request: AdmittedRequest, parts: RefusalParts) => number
    >
  >
> = { servers_limited: turnMilliseconds, servers_resting: restMilliseconds };

/** Each caller is told a time of its own, as fast as the servers could serve them. */
function restMilliseconds(
  { service }: AdmittedRequest,
  { clock, directory, holdTimes, hosts, restWaits }: RefusalParts,
): number {
  const now = clock.now();
  const ready = directory.of(service.name).filter(({ isReady }) => isReady);
  const ends = ready.map(({ rest }) => rest.returnsAt);
  restWaits.refused(service.name, Math.max(0, Math.min(...ends) - now), now);
  const slots = ready.reduce((sum, { entry }) => sum + entry.slots, 0);
  const perSecond = (1_000 * slots) / holdTimes.of(service.name);
  return restWaits.tell(service.name, { perSecond, hosts: hosts() }, now);
}

function turnMilliseconds(
  { service }: AdmittedRequest,
  { directory, turns }: RefusalParts,
): number {
  const limited = turns
    .limited(directory.of(service.name))
    .filter(({ isReady }) => isReady);
  return turns.waitToTell(service.name, limited);
}
