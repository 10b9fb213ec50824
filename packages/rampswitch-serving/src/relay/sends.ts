// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Sends of a request: those in progress, with what their servers have answered so far,
 * and one that is wanted.
 *
 * @module
 */
import { announcedLength } from "rampswitch-utils";
import type { AnswerFraming, Send, SendListener } from "../attempt/mod.ts";
import type { Choice, ServerRecord, StartedWork } from "../choice/mod.ts";
import { promptTokensOf } from "../estimates/mod.ts";
import type { ServerIncarnation } from "../model/backend_server.ts";
import type { RefusalReason, ResendReason } from "../model/outcome.ts";
import type { AnswerHead, MemorySource, WireCodec } from "../model/request.ts";
import type { AdmittedRequest } from "./admitted_request.ts";
import { BufferedBody } from "./buffered_body.ts";
import { EventFramer } from "./event_framer.ts";
import type { TimedSend } from "./observed_answers.ts";
import { outgoingRequest } from "./outgoing_request.ts";
import type { RequestContext } from "./request_context.ts";
import type { SendObserver } from "../rollout/mod.ts";
import type { RunRecord } from "./run_record.ts";
import { incarnationOf } from "./server_incarnation.ts";

/** A send in progress. */
export class RequestSend implements TimedSend {
  readonly choice: Choice;
  readonly sentAt: number;
  readonly unreadBefore: number;
  /** The server's incarnation when the request was sent. */
  readonly server: ServerIncarnation;
  /** Version of the server's software when the request was sent. */
  readonly version: string;
  readonly work: StartedWork;
  /** Whether the send names retained memory from which the run resumes. */
  readonly continues: boolean;
  /** Evaluates the server's version, where a roll-out asks for it. */
  readonly observer: SendObserver | undefined;
  /** Whether the request was written to a connection. */
  isWritten = false;
  head: AnswerHead | undefined;
  /** First event of a request's first send, in milliseconds. */
  firstPartAt: number | undefined;
  /** First event of this send, in milliseconds. */
  answeringSince: number | undefined;
  /** Events of the answer so far. */
  events = 0;
  readonly framer = new EventFramer();
  readonly body = new BufferedBody();
  readonly #dispatch: (listener: SendListener) => Send;
  #send: Send | undefined;
  #isAborted = false;

  constructor(
    timed: TimedSend,
    parts: {
      readonly work: StartedWork;
      readonly continues: boolean;
      readonly observer: SendObserver | undefined;
      /** Hands the request to a connection. */
      readonly dispatch: (listener: SendListener) => Send;
    },
  ) {
    const { record } = timed.choice;
    this.choice = timed.choice;
    this.sentAt = timed.sentAt;
    this.unreadBefore = timed.unreadBefore;
    this.server = incarnationOf(record);
    this.version = record.entry.version;
    this.work = parts.work;
    this.continues = parts.continues;
    this.observer = parts.observer;
    this.#dispatch = parts.dispatch;
  }

  /** Whether the server may run the request, or has run it. */
  get mayRun(): boolean {
    return this.isWritten && this.head?.notExecuted !== true;
  }

  /** Sends the request; the listener may be called before this returns. */
  open(listener: SendListener): void {
    this.#send = this.#dispatch(listener);
    if (this.#isAborted) this.#send.abort();
  }

  /** Closes the connection; the listener is not called any more. */
  abort(): void {
    this.#isAborted = true;
    this.#send?.abort();
  }

  pause(): void {
    this.#send?.pause();
  }

  resume(): void {
    this.#send?.resume();
  }

  /** Ends its counts, and drops its buffered data. */
  end(): void {
    this.work.ended();
    this.observer?.ended();
    this.framer.reset();
    this.body.clear();
  }
}

/** Handles what comes of a send. */
export interface SendHandlers {
  written(send: RequestSend): void;
  head(send: RequestSend, head: AnswerHead): void;
  data(send: RequestSend, chunk: Buffer): void;
  ended(send: RequestSend, framing: AnswerFraming): void;
  notWritten(send: RequestSend, detail: string): void;
  lost(send: RequestSend, detail: string): void;
}

/** Opens a send; its handlers may change while it is in progress, or be none any more. */
export function openSend(
  send: RequestSend,
  handlers: () => SendHandlers | undefined,
  codec: Pick<WireCodec, "decodeAnswer">,
): void {
  send.open({
    written: () => {
      send.isWritten = true;
      handlers()?.written(send);
    },
    head: (status, raw) => {
      send.body.expect(announcedLength({ rawHeaders: raw }));
      handlers()?.head(send, codec.decodeAnswer(status, raw));
    },
    data: (chunk) => handlers()?.data(send, chunk),
    ended: (framing) => handlers()?.ended(send, framing),
    failed: (failure, detail) => {
      if (failure === "not_written") {
        send.isWritten = false;
        handlers()?.notWritten(send, detail);
      } else handlers()?.lost(send, detail);
    },
  });
}

/** A further send that is wanted, but not granted yet. */
export interface WantedResend {
  readonly reason: ResendReason;
  /** Refusal that the caller gets if the send can't be made. */
  readonly fallback: RefusalReason;
}

/** State of the run at a send. */
export interface SendPosition {
  readonly remainingMilliseconds: number;
  /** Id of the last event that the caller has. */
  readonly lastEventId: string | undefined;
  /** Memory from which the run continues. */
  readonly memorySource?: MemorySource | undefined;
  /** Runs that began or may have begun. */
  readonly possibleRuns: number;
}

/** The sends of one request. */
export interface RequestSends {
  readonly context: RequestContext;
  readonly request: AdmittedRequest;
  readonly record: RunRecord;
  /** Server incarnations that the request was sent to. */
  readonly tried: Set<string>;
}

/** Records a send at all that count it; it is not opened yet. */
export function prepareSend(
  { context, request, record: runRecord, tried }: RequestSends,
  choice: Choice,
  position: SendPosition,
): RequestSend {
  const { record } = choice;
  const { memorySource, possibleRuns, lastEventId } = position;
  const sentAt = context.clock.now();
  const unreadBefore = record.pendingPrefillTokens(sentAt);
  tried.add(record.incarnation);
  const continues = memorySource !== undefined;
  const state = { continues, lastEventId, possibleRuns };
  const observer = runRecord.sentTo(record, state);
  const tokens = promptTokensOf(request.head);
  const unreadTokens = continues ? 0 : tokens - choice.cachedTokens;
  const work = record.started(Math.max(0, unreadTokens));
  const { sends } = runRecord;
  const dispatched = { unreadTokens, sends, possibleRuns, context };
  recordDispatch(request, record, dispatched);
  context.workEstimates.sent(request, sentAt);
  const { codec, client } = context;
  return new RequestSend(
    { choice, sentAt, unreadBefore },
    {
      work,
      continues,
      observer,
      dispatch: (listener) =>
        client.send(
          record.entry,
          outgoingRequest(request, choice, {
            codec,
            memorySource: undefined,
            ...position,
          }),
          listener,
        ),
    },
  );
}

/** Notes the prompt parts that a send brings to an engine; other servers keep none. */
function recordDispatch(
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
