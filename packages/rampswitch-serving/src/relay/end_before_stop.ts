// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Whether a request can end before its host does, by what is known of its length. One
 * that can't is better refused at once, so that its caller goes to another host, than
 * passed on and cut off.
 *
 * @module
 */
import {
  type AdmittedRequest,
  timeLimitMilliseconds,
} from "./admitted_request.ts";
import type { RequestContext } from "./request_context.ts";

/** Time that a request may take, as a multiple of what those like it take. */
const USUAL_TIME_MULTIPLE = 1.5;

/** A request that is to be sent. */
export interface RequestToSend {
  readonly request: AdmittedRequest;
  /** Whether its caller has a part of the answer, so that only the rest is to come. */
  readonly isContinued: boolean;
}

/** Whether a request can end before this host does; any can unless the host stops. */
export function canEndBeforeStop(
  { request, isContinued }: RequestToSend,
  context: Pick<RequestContext, "clock" | "endsAt" | "workEstimates">,
): boolean {
  const endsAt = context.endsAt();
  // Its caller has an answer by then in any case.
  if (request.arrivedAt + timeLimitMilliseconds(request) <= endsAt) return true;
  const { targetMilliseconds } = request.route;
  const usual = isContinued
    ? undefined
    : context.workEstimates.comparableHold(request);
  const needed = (usual ?? targetMilliseconds) * USUAL_TIME_MULTIPLE;
  return context.clock.now() + needed <= endsAt;
}
