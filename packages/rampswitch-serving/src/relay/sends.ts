// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Sends of a request: the one in progress, and one that is wanted.
 *
 * @module
 */
import type { AnswerFraming, Send } from "../attempt/mod.ts";
import type { ServerRecord, StartedWork } from "../choice/mod.ts";
import type { RefusalReason, ResendReason } from "../model/outcome.ts";
import type { AdmittedRequest } from "./admitted_request.ts";
import type { TimedSend } from "./observed_answers.ts";
import type { RequestContext } from "./request_context.ts";

/** A send in progress. */
export interface CurrentSend extends TimedSend {
  readonly send: Send;
  readonly work: StartedWork;
  /** Version of the server's software when the request was sent. */
  readonly version: string;
  /** First event of a request's first send, in milliseconds. */
  firstPartAt?: number;
  /** First event of this send, in milliseconds. */
  answeringSince?: number;
  /** How the end of its answer was told. */
  readonly framing?: AnswerFraming;
  /** Events of the answer so far. */
  events: number;
}

/** A further send that is wanted, but not granted yet. */
export interface WantedResend {
  readonly reason: ResendReason;
  /** Refusal that the caller gets if the send can't be made. */
  readonly fallback: RefusalReason;
}

/** Notes the prompt parts that a send brings to an engine; other servers keep none. */
export function recordDispatch(
  { head, service }: AdmittedRequest,
  record: ServerRecord,
  {
    context,
    ...dispatch
  }: {
    readonly unreadTokens: number;
    readonly sends: number;
    readonly possibleRuns: number;
    readonly context: Pick<RequestContext, "prefixes" | "dispatched">;
  },
): void {
  if (service.engine === undefined) return;
  const parts = head.promptParts;
  context.prefixes.stored(record.entry.id, parts, service.engine.memoryTokens);
  context.dispatched(record, {
    ...dispatch,
    service: service.name,
    parts: parts.slice(0, -1),
  });
}
