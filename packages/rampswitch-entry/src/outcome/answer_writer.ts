// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Writes answers to callers: as a stream of events, as one JSON body, or in the
 * form in which a plain service sent them.
 *
 * @module
 */
import type { ServerResponse } from "node:http";
import type { Outcome } from "rampswitch-types";
import { inDoubt, refused } from "rampswitch-types";
import { abortResponse } from "rampswitch-utils";
import type { Answer, AnswerReader } from "./answer_cache.ts";
import {
  formatStreamEnd,
  formatTokenEvent,
  formatWholeAnswer,
} from "../intake/chat_request.ts";
import { readRetainedHead, readRetainedPart } from "../attempt/plain_runner.ts";
import { sendProblem } from "../intake/problem.ts";

/** Unsent bytes above which the connection to a slow caller is closed. */
const MAXIMUM_UNSENT_BYTES = 1024 * 1024;

/**
 * Time after which another host knows the state of a request whose host was
 * lost.
 */
const TAKEOVER_RETRY_MILLISECONDS = 500;

const RUNNER_LOST = refused(
  "slot_unavailable",
  "the host that ran the request was lost, and another one settles it",
  { retryAfterMilliseconds: TAKEOVER_RETRY_MILLISECONDS },
);

/** Form in which an answer is written. */
export type AnswerForm = "stream" | "whole" | "plain";

/** Options for writing an answer. */
export interface WriteOptions {
  readonly form: AnswerForm;
  /** Number of the last event that the caller received; -1 for none. */
  readonly after: number;
  /** Called once if the caller's connection closes before the answer ends. */
  readonly onCallerGone: () => void;
}

type WriterFactory = (answer: Answer, response: ServerResponse) => AnswerReader;

const WRITERS: Readonly<Record<AnswerForm, WriterFactory>> = {
  stream: streamWriter,
  whole: wholeWriter,
  plain: plainWriter,
};

/** Writes an answer to a caller, from the event after `after` until its end. */
export function writeAnswer(
  answer: Answer,
  response: ServerResponse,
  options: WriteOptions,
): void {
  let ended = false;
  answer.callers += 1;
  const writer = WRITERS[options.form](answer, response);
  const stop = answer.read(options.after, {
    // Its caller was given another end if the host ends first.
    event: (index, text) => {
      if (!response.writableEnded) writer.event(index, text);
    },
    ended: (outcome) => {
      ended = true;
      if (!response.writableEnded) writer.ended(outcome);
    },
    lost: () => {
      ended = true;
      sendProblem(response, RUNNER_LOST, {
        requestId: answer.envelope.id,
        earlierUnknown: true,
      });
    },
  });
  const onClose = () => {
    stop();
    answer.callers -= 1;
    if (!ended) options.onCallerGone();
  };
  if (response.destroyed) onClose();
  else response.on("close", onClose);
}

function streamWriter(answer: Answer, response: ServerResponse): AnswerReader {
  const { id, service } = answer.envelope;
  const begin = () => {
    if (response.headersSent) return;
    response.writeHead(200, {
      "content-type": "text/event-stream",
      "cache-control": "no-cache",
      "x-request-id": id,
    });
  };
  return {
    event: (index, text) => {
      begin();
      response.write(formatTokenEvent(id, service, { index, text }));
      if (response.writableLength > MAXIMUM_UNSENT_BYTES)
        abortResponse(response);
    },
    ended: (outcome) => {
      if (outcome.kind === "completed") {
        begin();
        response.end(formatStreamEnd(id, service));
      } else sendProblem(response, outcome, { requestId: id });
    },
  };
}

function wholeWriter(answer: Answer, response: ServerResponse): AnswerReader {
  const { id, service } = answer.envelope;
  return {
    event: () => undefined,
    ended: (outcome) => {
      if (outcome.kind !== "completed") {
        sendProblem(response, outcome, { requestId: id });
        return;
      }
      response.writeHead(200, {
        "content-type": "application/json",
        "x-request-id": id,
      });
      response.end(formatWholeAnswer(id, service, answer.events));
    },
  };
}

function plainWriter(answer: Answer, response: ServerResponse): AnswerReader {
  const { id } = answer.envelope;
  return {
    event: (index, text) => {
      if (index > 0) {
        response.write(readRetainedPart(text));
        return;
      }
      const { status, headers } = readRetainedHead(text);
      response.writeHead(status, { ...headers, "x-request-id": id });
    },
    ended: (outcome) => {
      if (outcome.kind === "completed") response.end();
      else
        sendProblem(response, outcomeAfterPart(outcome, answer), {
          requestId: id,
        });
    },
  };
}

/**
 * Turns "not run" into "in doubt" if the caller may have received a part of
 * the answer.
 */
function outcomeAfterPart(
  outcome: Exclude<Outcome, { readonly kind: "completed" }>,
  answer: Answer,
): Exclude<Outcome, { readonly kind: "completed" }> {
  return answer.events.length > 0 && outcome.kind === "refused_not_run"
    ? inDoubt("backend_lost", outcome.detail)
    : outcome;
}
