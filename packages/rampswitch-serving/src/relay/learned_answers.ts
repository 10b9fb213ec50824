// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * What the times of an answer teach of its service: how fast engines read, and how long
 * a request holds its place.
 *
 * @module
 */
import type { Choice } from "../choice/mod.ts";
import { type AdmittedRequest, promptTokens } from "./admitted_request.ts";
import type { RequestContext } from "./request_context.ts";

/** One send whose answer teaches something. */
export interface TimedSend {
  readonly choice: Choice;
  readonly sentAt: number;
  /** Prompt tokens that waited to be read at the server before this request's. */
  readonly unreadBefore: number;
}

/** Learns from the first part of a request's only send; `now` is when it came. */
export function learnReadingRate(
  request: AdmittedRequest,
  send: TimedSend & { readonly now: number },
  { readingRates }: RequestContext,
): void {
  if (send.unreadBefore > 0) return;
  readingRates.measured(
    request.service.name,
    promptTokens(request.head) - send.choice.keptTokens,
    send.now - send.sentAt,
  );
}

/** Learns from a whole answer of a plain service, whose requests hold a place all along. */
export function learnPlainTime(
  request: AdmittedRequest,
  send: Pick<TimedSend, "sentAt"> & { readonly now: number },
  { holdTimes }: RequestContext,
): void {
  if (request.service.engine !== undefined) return;
  holdTimes.measured(request.service.name, send.now - send.sentAt);
}

/** Learns from the end of a stream; it held its place since its first part. */
export function learnHoldTime(
  request: AdmittedRequest,
  stream: { readonly firstPartAt: number | undefined; readonly now: number },
  { holdTimes }: RequestContext,
): void {
  if (stream.firstPartAt === undefined) return;
  holdTimes.measured(request.service.name, stream.now - stream.firstPartAt);
}
