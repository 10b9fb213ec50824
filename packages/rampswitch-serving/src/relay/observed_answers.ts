// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Estimates from the times of answers, by service: how fast engines read prompts, and
 * how long a request occupies its slot.
 *
 * @module
 */
import type { Choice } from "../choice/mod.ts";
import { type AdmittedRequest, promptTokens } from "./admitted_request.ts";
import type { RequestContext } from "./request_context.ts";

/** One send whose answer is measured. */
export interface TimedSend {
  readonly choice: Choice;
  readonly sentAt: number;
  /** Prompt tokens that the server had still to read before this request's. */
  readonly unreadBefore: number;
}

/** Measures the reading rate; a request's only send had its first part at `now`. */
export function observeReadingRate(
  request: AdmittedRequest,
  send: TimedSend & { readonly now: number },
  { readingRates }: RequestContext,
): void {
  if (send.unreadBefore > 0) return;
  readingRates.addMeasurement(
    request.service.name,
    promptTokens(request.head) - send.choice.cachedTokens,
    send.now - send.sentAt,
  );
}

/** Measures the hold time of a plain request, which occupies its slot from its send on. */
export function observePlainHoldTime(
  request: AdmittedRequest,
  send: Pick<TimedSend, "sentAt"> & { readonly now: number },
  { holdTimes }: RequestContext,
): void {
  if (request.service.engine !== undefined) return;
  holdTimes.addMeasurement(request.service.name, send.now - send.sentAt);
}

/** Measures the hold time of a stream, which occupies its slot from its first part on. */
export function observeStreamHoldTime(
  request: AdmittedRequest,
  stream: { readonly firstPartAt: number | undefined; readonly now: number },
  { holdTimes }: RequestContext,
): void {
  if (stream.firstPartAt === undefined) return;
  holdTimes.addMeasurement(
    request.service.name,
    stream.now - stream.firstPartAt,
  );
}
