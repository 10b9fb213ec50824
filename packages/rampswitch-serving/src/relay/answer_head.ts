// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Reads the heads of servers' answers: what they report about the server, and whether the
 * answer can be used.
 *
 * @module
 */
import type { ServerRecord } from "../choice/mod.ts";
import type { AnswerHead } from "../model/request.ts";
import type { AdmittedRequest } from "./admitted_request.ts";
import {
  type ObservationContext,
  observeReportedLoad,
} from "./observed_answers.ts";
import type { RequestContext } from "./request_context.ts";
import type { RequestSend } from "./sends.ts";
import { isSuccess, unusableReason } from "./unusable_answer.ts";

/** Status of a server that is not the one that the request names. */
export const MISDIRECTED = 421;

/** The parts of the context that are used here. */
type HeadContext = ObservationContext & Pick<RequestContext, "advertisements">;

/** Reads a head; returns the reason if its answer can't be used. */
export function readHead(
  send: RequestSend,
  head: AnswerHead,
  {
    request,
    context,
  }: { readonly request: AdmittedRequest; readonly context: HeadContext },
): string | undefined {
  const { record } = send.choice;
  readAdvertisements(head, record, { request, context });
  const unusable = unusableReason(head, request);
  if (unusable !== undefined) return unusable;
  if (head.load !== undefined && head.status !== MISDIRECTED) {
    observeReportedLoad(head.load, send, context);
  }
  if (head.notExecuted) return undefined;
  send.work.requestAccepted();
  return isSuccess(head.status) && !head.signed ? "not signed" : undefined;
}

/**
 * Reads what a server advertises about itself, even if its answer is unusable.
 * It reads nothing from an answer that another server gave, or that has no
 * attempt id, since its values don't belong to the server of the send.
 */
function readAdvertisements(
  head: AnswerHead,
  record: ServerRecord,
  {
    request,
    context,
  }: {
    readonly request: AdmittedRequest;
    readonly context: Pick<RequestContext, "advertisements">;
  },
): void {
  if (head.status === MISDIRECTED || head.attemptId === undefined) return;
  const isLate = head.attemptId !== request.head.attemptId;
  context.advertisements.read(record, head.advertised, { isLate });
}
