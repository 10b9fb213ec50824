// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Writing kept answers to callers: as a stream of events, as one whole, or as
 * a plain service gave them.
 *
 * @module
 */
import type { ServerResponse } from "node:http";
import type { Outcome } from "rampswitch-types";
import { inDoubt, refused } from "rampswitch-types";
import type { Answer, AnswerReader } from "./answer_cache.ts";
import { callerEnd, callerEvent, wholeAnswer } from "../intake/chat_request.ts";
import { keptHead, keptPart } from "../attempt/plain_runner.ts";
import { sendProblem } from "../intake/problem.ts";

/** Bytes that may wait for a slow caller before its connection is closed. */
const MAXIMUM_WAITING_BYTES = 1024 * 1024;

/** Time after which another host knows what became of a request, in milliseconds. */
const SETTLED_MILLISECONDS = 500;

const RUNNER_LOST = refused(
  "slot_unavailable",
  "the host that ran the request was lost, and another one settles it",
  { retryAfterMilliseconds: SETTLED_MILLISECONDS },
);

/** Forms in which an answer is written. */
export type AnswerForm = "stream" | "whole" | "plain";

/** How an answer is written. */
export interface WriteOptions {
  readonly form: AnswerForm;
  /** Number of the last event that the caller has; -1 for none. */
  readonly after: number;
  /** Called once when the caller's connection ends before the answer. */
  readonly onGone: () => void;
}

type WriterFactory = (answer: Answer, response: ServerResponse) => AnswerReader;

const WRITERS: Readonly<Record<AnswerForm, WriterFactory>> = {
  stream: streamWriter,
  whole: wholeWriter,
  plain: plainWriter,
};

/** Writes an answer to a caller, from the next event on until its end. */
export function writeAnswer(
  answer: Answer,
  response: ServerResponse,
  options: WriteOptions,
): void {
  let ended = false;
  answer.callers += 1;
  const writer = WRITERS[options.form](answer, response);
  const stop = answer.read(options.after, {
    event: (index, text) => writer.event(index, text),
    ended: (outcome) => {
      ended = true;
      writer.ended(outcome);
    },
    lost: () => {
      ended = true;
      sendProblem(response, RUNNER_LOST, {
        requestId: answer.envelope.id,
        earlierNotJudged: true,
      });
    },
  });
  const gone = () => {
    stop();
    answer.callers -= 1;
    if (!ended) options.onGone();
  };
  if (response.destroyed) gone();
  else response.on("close", gone);
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
      response.write(callerEvent(id, service, { index, text }));
      if (response.writableLength > MAXIMUM_WAITING_BYTES) response.destroy();
    },
    ended: (outcome) => {
      if (outcome.kind === "completed") {
        begin();
        response.end(callerEnd(id, service));
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
      response.end(wholeAnswer(id, service, answer.events));
    },
  };
}

function plainWriter(answer: Answer, response: ServerResponse): AnswerReader {
  const { id } = answer.envelope;
  return {
    event: (index, text) => {
      if (index > 0) {
        response.write(keptPart(text));
        return;
      }
      const { status, headers } = keptHead(text);
      response.writeHead(status, { ...headers, "x-request-id": id });
    },
    ended: (outcome) => {
      if (outcome.kind === "completed") response.end();
      else sendProblem(response, partTold(outcome, answer), { requestId: id });
    },
  };
}

/** An answer of which the caller has a part is in doubt, whatever its end. */
function partTold(
  outcome: Exclude<Outcome, { readonly kind: "completed" }>,
  answer: Answer,
): Exclude<Outcome, { readonly kind: "completed" }> {
  return answer.events.length > 0 && outcome.kind === "refused_not_run"
    ? inDoubt("backend_lost", outcome.detail)
    : outcome;
}
