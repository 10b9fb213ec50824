// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Reads chat requests and calls of plain services and hands them on.
 *
 * @module
 */
import type { IncomingMessage } from "node:http";
import { mintRequestId } from "rampswitch-protocol";
import { refused } from "rampswitch-types";
import { sha256 } from "rampswitch-utils";
import type { AdmissionGate } from "../admission/admission_gate.ts";
import type { BackendDirectory } from "../choice/backend_directory.ts";
import { OWN_HEADERS } from "./caller_request.ts";
import { parseChatRequest } from "./chat_request.ts";
import { chatRepeatable } from "../attempt/chat_run.ts";
import type { ChatRunner } from "../attempt/chat_runner.ts";
import {
  admissionRequest,
  decodedName,
  type Exchange,
  exchangeBody,
  exchangeDeadline,
  type ExchangeOptions,
  exchangeService,
  refuse,
  refuseUnjudged,
} from "./exchange.ts";
import { passedHeaders } from "../attempt/http_forward.ts";
import type { KeptRequests } from "../outcome/kept_requests.ts";
import {
  type PlainCall,
  plainRepeatable,
  type PlainRunner,
} from "../attempt/plain_runner.ts";

/** How intake is made. */
export interface IntakeOptions extends ExchangeOptions {
  readonly gate: AdmissionGate;
  readonly chat: ChatRunner;
  readonly plain: PlainRunner;
  readonly directory: BackendDirectory;
  readonly kept: KeptRequests;
}

const SMALL_BODY_BYTES = 64 * 1024;
const PLAIN_TOKENS = 256;
const PLAIN_RUN_MILLISECONDS = 1;
const NO_BODY = Buffer.alloc(0);

/** Takes in a chat request. */
export async function takeChat(
  exchange: Exchange,
  options: IntakeOptions,
): Promise<void> {
  const body = await exchangeBody(exchange, options);
  if (body === undefined) return;
  const parsed = parseChatRequest(body);
  if (parsed.isErr) {
    const wrong = refused("bad_request", parsed.error);
    refuseUnjudged(exchange, wrong, options.metrics);
    return;
  }
  const chat = parsed.value;
  const wanted = { name: chat.model, type: "model" } as const;
  const service = exchangeService(exchange, wanted, options);
  if (service === undefined) return;
  const { directory, routing } = options;
  const route = routing().route(service, exchange.caller.workspace);
  const speeds = directory.speeds(route);
  await options.kept.serve(exchange, {
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
    start: (answer) => void options.chat.run(answer, "new"),
  });
}

/** Takes in a call of a plain service. */
export async function takePlain(
  exchange: Exchange,
  options: IntakeOptions,
): Promise<void> {
  const { url, caller, request } = exchange;
  const [, , name = "", ...rest] = url.pathname.split("/");
  const wanted = { name: decodedName(name), type: "plain" } as const;
  const service = exchangeService(exchange, wanted, options);
  if (service === undefined) return;
  const method = request.method ?? "GET";
  const path = `/${rest.join("/")}`;
  const call = {
    service,
    route: options.routing().route(service, caller.workspace),
    method,
    path: `${path}${url.search}`,
    headers: passedHeaders(request.headers, { drop: OWN_HEADERS }),
    repeatable: plainRepeatable(service.calls, { method, path }),
    deadline: exchangeDeadline(exchange, service, options.clock.now()),
  };
  if (caller.key === undefined) await passPlain(exchange, call, options);
  else await keepPlain(exchange, call, options);
}

type UnsentCall = Omit<PlainCall, "requestId" | "body">;

/** A call with a key: its answer is kept for callers who come back. */
async function keepPlain(
  exchange: Exchange,
  call: UnsentCall,
  options: IntakeOptions,
): Promise<void> {
  const body = await exchangeBody(exchange, options);
  if (body === undefined) return;
  await options.kept.serve(exchange, {
    service: call.service,
    body,
    replicatedBody: NO_BODY,
    guarded: !call.repeatable,
    form: "plain",
    tokens: PLAIN_TOKENS,
    runMilliseconds: PLAIN_RUN_MILLISECONDS,
    fingerprint: sha256(
      `${call.method} ${call.path}\n${body.toString("latin1")}`,
    ),
    start: (answer) => {
      const sent = body.length === 0 ? undefined : body;
      const requestId = answer.envelope.id;
      void options.plain.keep({ ...call, requestId, body: sent }, answer);
    },
  });
}

/** A call without a key: streamed through, nothing is kept. */
async function passPlain(
  exchange: Exchange,
  call: UnsentCall,
  options: IntakeOptions,
): Promise<void> {
  const { gate, plain, clock, metrics } = options;
  const { response } = exchange;
  const now = clock.now();
  const requestId = mintRequestId(0, now);
  const refusal = await gate.ask(
    call.service.name,
    admissionRequest(
      exchange,
      {
        id: requestId,
        tokens: PLAIN_TOKENS,
        runMilliseconds: PLAIN_RUN_MILLISECONDS,
        deadline: call.deadline,
      },
      now,
    ),
  );
  if (refusal !== undefined) {
    refuse(response, refusal, { metrics, requestId });
    return;
  }
  const body = await passedBody(exchange, options);
  const outcome =
    body === "refused"
      ? undefined
      : await plain.pass({ ...call, requestId, body }, response);
  gate.end(call.service.name, requestId);
  if (outcome !== undefined) refuse(response, outcome, { metrics, requestId });
}

/** A small body as a whole, so that it can be sent again; else the stream. */
async function passedBody(
  exchange: Exchange,
  options: IntakeOptions,
): Promise<Buffer | IncomingMessage | undefined | "refused"> {
  const { request } = exchange;
  const length = Number(request.headers["content-length"] ?? Number.NaN);
  const chunked = request.headers["transfer-encoding"] !== undefined;
  if (!chunked && !(length > 0)) return undefined;
  return length <= SMALL_BODY_BYTES
    ? ((await exchangeBody(exchange, options)) ?? "refused")
    : request;
}
