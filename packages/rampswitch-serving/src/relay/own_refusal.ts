// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Refuses an admitted request that this host can't serve.
 *
 * @module
 */
import type { ServerRecord } from "../choice/mod.ts";
import { REFUSALS, type RefusalReason } from "../model/outcome.ts";
import { roomClassOf } from "../room/mod.ts";
import type { AdmittedRequest } from "./admitted_request.ts";
import type { CallerAnswer } from "./caller_answer.ts";
import type { RequestContext } from "./request_context.ts";
import type { RoomRefusal } from "./send_choice.ts";

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
  | "ownPart"
  | "quarantine"
  | "random"
  | "backOffWaits"
  | "permits"
  | "workEstimates"
  | "returns"
>;

/** A request that is refused. */
export interface RefusedRequest {
  readonly request: AdmittedRequest;
  /** Time that its caller has left, in milliseconds. */
  readonly leftMilliseconds: number;
  /** Why admission refused it, if it did. */
  readonly shortage: RoomRefusal | undefined;
}

/** What a refusal tells the caller, and what its log line tells of it. */
export interface RefusalTerms {
  readonly retryAfterSeconds: number | undefined;
  /** Time until room is expected, in milliseconds. */
  readonly expectedMilliseconds: number | undefined;
}

/** A refusal whose log line is written before the caller is answered. */
export interface PreparedRefusal {
  readonly status: number;
  readonly terms: RefusalTerms;
  /** Answers, and refunds the tokens charged if the request did not run. */
  answer(caller: CallerAnswer): void;
}

/** Prepares a refusal; room that comes free is reserved for the caller. */
export function prepareRefusal(
  reason: RefusalReason,
  refused: RefusedRequest,
  parts: RefusalContext,
): PreparedRefusal {
  const { status, notRun } = REFUSALS[reason];
  const expectedMilliseconds =
    reason === "servers_full" ? returnDelay(refused, parts) : undefined;
  const told = notRun
    ? retryAfterSeconds(reason, { refused, expectedMilliseconds }, parts)
    : undefined;
  return {
    status,
    terms: { retryAfterSeconds: told, expectedMilliseconds },
    answer: (caller) => {
      const { workspace, chargedTokens, head } = refused.request;
      if (notRun && workspace !== undefined) {
        parts.admission.refund({
          workspace: workspace.name,
          tokens: chargedTokens,
        });
      }
      const headers = parts.codec.encodeOwnAnswer({
        attemptId: head.attemptId,
        retryAfterSeconds: told,
      });
      caller.sendWhole(status, headers, { body: Buffer.alloc(0) });
    },
  };
}

/**
 * Time after which the caller is asked to retry, in seconds: when room is expected, not
 * before a quarantined request may run as a trial, not before a permit is free if only
 * limited servers are left, not before the first back-off ends if all servers have
 * asked for one, and not at all if it can never be served.
 */
function retryAfterSeconds(
  reason: RefusalReason,
  {
    refused,
    expectedMilliseconds,
  }: {
    readonly refused: RefusedRequest;
    readonly expectedMilliseconds: number | undefined;
  },
  parts: RefusalContext,
): number {
  const decision = parts.quarantine.decide(refused.request.fingerprint);
  const trial = decision.kind === "held" ? decision.waitMilliseconds : 0;
  if (expectedMilliseconds !== undefined) {
    // The times of refused callers are spread already.
    return Math.max(expectedMilliseconds, trial) / 1_000;
  }
  const reasonWait = WAIT_BY_REASON[reason]?.(refused, parts) ?? 0;
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
      (refused: RefusedRequest, parts: RefusalContext) => number
    >
  >
> = {
  servers_limited: permitWaitMilliseconds,
  servers_resting: backOffWaitMilliseconds,
  stream_origin_lost: restOfTimeMilliseconds,
  stream_version_gone: restOfTimeMilliseconds,
};

/** Time that the caller has left: nothing that it could wait for is to come. */
function restOfTimeMilliseconds({ leftMilliseconds }: RefusedRequest): number {
  return leftMilliseconds;
}

/** Time until room for a refused caller is expected, in milliseconds. */
function returnDelay(
  { request, leftMilliseconds, shortage }: RefusedRequest,
  { clock, directory, ownPart, returns, workEstimates }: RefusalContext,
): number {
  const { service, fingerprint } = request;
  const slots = slotsOf(readyServers(service, directory));
  const room = shortage?.room ?? {
    perMillisecond: 0,
    available: 0,
    work: workEstimates.of(request).holdMilliseconds,
  };
  const caller = {
    roomClass: roomClassOf(request),
    fingerprint,
    leftMilliseconds,
    serviceRate: slots * ownPart(service.name),
  };
  return returns.assign(caller, room, clock.now()).delayMilliseconds;
}

/**
 * Wait until the servers' back-offs end, in milliseconds. Each caller gets a time
 * of its own, so that retries come no faster than the servers can serve them.
 */
function backOffWaitMilliseconds(
  { request: { service } }: RefusedRequest,
  { clock, directory, ownPart, backOffWaits, workEstimates }: RefusalContext,
): number {
  const now = clock.now();
  const ready = readyServers(service, directory);
  const ends = ready.map(({ backOff: rest }) => rest.returnsAt);
  backOffWaits.recordRefusal(
    service.name,
    Math.max(0, Math.min(...ends) - now),
    now,
  );
  const slots = slotsOf(ready);
  const perSecond =
    (1_000 * slots) / workEstimates.meanHoldMilliseconds(service.name);
  return backOffWaits.assignRetryDelay(
    service.name,
    { perSecond, part: ownPart(service.name) },
    now,
  );
}

/** Wait until a permit is free at the limited servers, in milliseconds. */
function permitWaitMilliseconds(
  { request: { service } }: RefusedRequest,
  { directory, permits }: RefusalContext,
): number {
  const limited = permits
    .limited(directory.of(service.name))
    .filter(({ isReady }) => isReady);
  return permits.assignRetryDelay(service.name, limited);
}

function readyServers(
  { name }: AdmittedRequest["service"],
  directory: RefusalContext["directory"],
): readonly ServerRecord[] {
  return directory.of(name).filter(({ isReady }) => isReady);
}

function slotsOf(servers: readonly ServerRecord[]): number {
  return servers.reduce((sum, { entry }) => sum + entry.slots, 0);
}
