// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Reads chat requests and calls of plain services and starts their runs.
 *
 * @module
 */
import type { IncomingMessage } from "node:http";
import { mintRequestId } from "rampswitch-protocol";
import { refused } from "rampswitch-types";
import { sha256 } from "rampswitch-utils";
import type { AdmissionGate } from "../admission/admission_gate.ts";
import type { BackendDirectory } from "../choice/backend_directory.ts";
import { ENTRY_HEADERS } from "./caller_request.ts";
import { parseChatRequest } from "./chat_request.ts";
import { chatRepeatable } from "../attempt/chat_run.ts";
import type { ChatRunner } from "../attempt/chat_runner.ts";
import {
  admissionRequest,
  decodePathSegment,
  type Exchange,
  exchangeDeadline,
  type ExchangeOptions,
  findExchangeService,
  readExchangeBody,
  refuse,
  refuseWithEarlierUnknown,
} from "./exchange.ts";
import { forwardedHeaders } from "../attempt/http_forward.ts";
import type { RetainedRequests } from "../outcome/retained_requests.ts";
import {
  type PlainCall,
  plainRepeatable,
  type PlainRunner,
} from "../attempt/plain_runner.ts";

/** Services that the handlers of requests use. */
export interface IntakeOptions extends ExchangeOptions {
  readonly gate: AdmissionGate;
  readonly chat: ChatRunner;
  readonly plain: PlainRunner;
  readonly directory: BackendDirectory;
  readonly retainedRequests: RetainedRequests;
}

const MAXIMUM_BUFFERED_BODY_BYTES = 64 * 1024;
const ASSUMED_PLAIN_TOKENS = 256;
const ASSUMED_PLAIN_RUN_MILLISECONDS = 1;
const NO_BODY = Buffer.alloc(0);

/** Handles a chat request. */
export async function handleChat(
  exchange: Exchange,
  options: IntakeOptions,
): Promise<void> {
  const body = await readExchangeBody(exchange, options);
  if (body === undefined) return;
  const parsed = parseChatRequest(body);
  if (parsed.isErr) {
    const malformed = refused("bad_request", parsed.error);
    refuseWithEarlierUnknown(exchange, malformed, options.metrics);
    return;
  }
  const chat = parsed.value;
  const wanted = { name: chat.model, type: "model" } as const;
  const service = findExchangeService(exchange, wanted, options);
  if (service === undefined) return;
  const { directory, routing } = options;
  const route = routing().route(service, exchange.caller.workspace);
  const speeds = directory.speeds(route);
  await options.retainedRequests.serve(exchange, {
    service,
    body,
    replicatedBody: body,
    guarded: !chatRepeatable(service),
    form: chat.streamed ? "stream" : "whole",
    tokens: chat.promptTokens + chat.maximumTokens,
    runMilliseconds:
      chat.promptTokens * speeds.promptTokenMilliseconds +
      chat.maximumTokens * speeds.tokenMilliseconds,
    fingerprint: sha256(body.toString("latin1")),
    start: (answer) => options.chat.start(answer, "new"),
  });
}

/** Handles a call of a plain service. */
export async function handlePlainCall(
  exchange: Exchange,
  options: IntakeOptions,
): Promise<void> {
  const { url, caller, request } = exchange;
  const [, , name = "", ...rest] = url.pathname.split("/");
  const wanted = { name: decodePathSegment(name), type: "plain" } as const;
  const service = findExchangeService(exchange, wanted, options);
  if (service === undefined) return;
  const method = request.method ?? "GET";
  const path = `/${rest.join("/")}`;
  const call = {
    service,
    route: options.routing().route(service, caller.workspace),
    method,
    path: `${path}${url.search}`,
    headers: forwardedHeaders(request.headers, { drop: ENTRY_HEADERS }),
    repeatable: plainRepeatable(service.calls, { method, path }),
    deadline: exchangeDeadline(exchange, service, options.clock.now()),
  };
  if (caller.key === undefined)
    await streamPlainAnswer(exchange, call, options);
  else await retainPlainAnswer(exchange, call, options);
}

type UnsentCall = Omit<PlainCall, "requestId" | "body">;

/** Runs a call with a key; its answer is retained for retries of the caller. */
async function retainPlainAnswer(
  exchange: Exchange,
  call: UnsentCall,
  options: IntakeOptions,
): Promise<void> {
  const body = await readExchangeBody(exchange, options);
  if (body === undefined) return;
  await options.retainedRequests.serve(exchange, {
    service: call.service,
    body,
    replicatedBody: NO_BODY,
    guarded: !call.repeatable,
    form: "plain",
    tokens: ASSUMED_PLAIN_TOKENS,
    runMilliseconds: ASSUMED_PLAIN_RUN_MILLISECONDS,
    fingerprint: sha256(
      `${call.method} ${call.path}\n${body.toString("latin1")}`,
    ),
    start: (answer) => {
      const sent = body.length === 0 ? undefined : body;
      const requestId = answer.envelope.id;
      options.plain.startRetained({ ...call, requestId, body: sent }, answer);
    },
  });
}

/** Runs a call without a key; its answer is streamed and not retained. */
async function streamPlainAnswer(
  exchange: Exchange,
  call: UnsentCall,
  options: IntakeOptions,
): Promise<void> {
  const { gate, plain, clock, metrics } = options;
  const { response } = exchange;
  const now = clock.now();
  const requestId = mintRequestId(0, now);
  const work = {
    id: requestId,
    tokens: ASSUMED_PLAIN_TOKENS,
    runMilliseconds: ASSUMED_PLAIN_RUN_MILLISECONDS,
    deadline: call.deadline,
  };
  const { name } = call.service;
  const refusal =
    gate.refusalBeforeStop(name, work) ??
    (await gate.admit(name, admissionRequest(exchange, work, now)));
  if (refusal !== undefined) {
    refuse(response, refusal, { metrics, requestId });
    return;
  }
  const body = await forwardedBody(exchange, options);
  const outcome =
    body === "refused"
      ? undefined
      : // The host may have begun to stop while the call waited or was read.
        (gate.refusalBeforeStop(name, work) ??
        (await plain.runStreamed({ ...call, requestId, body }, response)));
  gate.end(name, requestId);
  if (outcome !== undefined) refuse(response, outcome, { metrics, requestId });
}

/**
 * The body to send to a backend server: a small body whole, so that it can be
 * resent; a large one, or one of unknown length, as the caller's stream.
 * Returns `undefined` for a request without a body, and `"refused"` if the
 * request was refused or its body can't be read.
 */
async function forwardedBody(
  exchange: Exchange,
  options: IntakeOptions,
): Promise<Buffer | IncomingMessage | undefined | "refused"> {
  const { request } = exchange;
  const length = Number(request.headers["content-length"] ?? Number.NaN);
  const chunked = request.headers["transfer-encoding"] !== undefined;
  if (!chunked && !(length > 0)) return undefined;
  return length <= MAXIMUM_BUFFERED_BODY_BYTES
    ? ((await readExchangeBody(exchange, options)) ?? "refused")
    : request;
}
