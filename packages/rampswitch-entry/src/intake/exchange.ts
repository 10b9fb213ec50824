// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * A caller's request and its response, and the steps that all requests share.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { AdmissionRequest, RoutingTable } from "rampswitch-policy";
import { refused, type Service } from "rampswitch-types";
import type { Result } from "true-myth";
import type { BodyError, Clock, Metrics } from "rampswitch-utils";
import {
  type CallerRequest,
  IDEMPOTENCY_KEY_HEADER,
} from "./caller_request.ts";
import {
  type ProblemOptions,
  type ProblemOutcome,
  sendProblem,
} from "./problem.ts";

/** Path prefix for reading the answer to an earlier request by its id. */
export const REQUESTS_PATH = "/v1/requests/";

/** An authenticated request and its response. */
export interface Exchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly url: URL;
  readonly caller: CallerRequest;
  /** Reads the body of the request within a limit, in bytes. */
  readBody(limit: number): Promise<Result<Buffer, BodyError>>;
}

/** Services of the process that handling a request uses. */
export interface ExchangeOptions {
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly routing: () => RoutingTable;
  readonly bodyBytes: number;
}

/** Answers a request with a problem document and counts the reason. */
export function refuse(
  response: ServerResponse,
  outcome: ProblemOutcome,
  options: ProblemOptions & { readonly metrics: Metrics },
): void {
  const counter =
    outcome.kind === "refused_not_run" ? "refusal" : "failure_told";
  options.metrics.count(counter, outcome.reason);
  sendProblem(response, outcome, options);
}

/** Whether an exchange reads the answer to an earlier request. */
export function readsEarlierAnswer({ url }: Pick<Exchange, "url">): boolean {
  return url.pathname.startsWith(REQUESTS_PATH);
}

/**
 * Refuses a request before its idempotency key or request id, if it has one,
 * was looked up. An earlier send with the same key or id may have run.
 */
export function refuseWithEarlierUnknown(
  exchange: Omit<Exchange, "caller" | "readBody">,
  outcome: ProblemOutcome,
  metrics: Metrics,
): void {
  refuse(exchange.response, outcome, {
    metrics,
    earlierUnknown:
      exchange.request.headers[IDEMPOTENCY_KEY_HEADER] !== undefined ||
      readsEarlierAnswer(exchange),
  });
}

/** Time after which memory for a body may be free again, in milliseconds. */
const MEMORY_RETRY_MILLISECONDS = 500;

/** Refusals by what is wrong with a body; one that is cut off gets no answer. */
const BODY_REFUSALS: Readonly<
  Record<Exclude<BodyError, "cut_off">, (limit: number) => ProblemOutcome>
> = {
  too_large: (limit) =>
    refused("body_too_large", `body, expected at most ${limit} bytes`),
  no_memory: () =>
    refused("no_memory", "no memory for the body", {
      retryAfterMilliseconds: MEMORY_RETRY_MILLISECONDS,
    }),
};

/**
 * Reads the body of a request. Returns `undefined` if the body is too large or no
 * memory is left for it, which is answered with a refusal, or if it can't be read.
 */
export async function readExchangeBody(
  exchange: Exchange,
  options: ExchangeOptions,
): Promise<Buffer | undefined> {
  const body = await exchange.readBody(options.bodyBytes);
  if (body.isOk) return body.value;
  if (body.error !== "cut_off") {
    exchange.response.setHeader("connection", "close");
    const refusal = BODY_REFUSALS[body.error](options.bodyBytes);
    refuseWithEarlierUnknown(exchange, refusal, options.metrics);
  }
  return undefined;
}

/**
 * Finds the service that a request names. Returns `undefined`, after answering
 * with a refusal, if there is no such service of the wanted type.
 */
export function findExchangeService(
  exchange: Exchange,
  wanted: Pick<Service, "name" | "type">,
  options: ExchangeOptions,
): Service | undefined {
  const service = options.routing().services.get(wanted.name);
  if (service?.type === wanted.type) return service;
  refuseWithEarlierUnknown(
    exchange,
    refused(
      "unknown_service",
      `service ${JSON.stringify(wanted.name)}, ` +
        `expected the name of a ${wanted.type} service`,
    ),
    options.metrics,
  );
  return undefined;
}

/** Latest time at which the answer is useful, in milliseconds since the epoch. */
export function exchangeDeadline(
  { caller }: Exchange,
  service: Service,
  now: number,
): number {
  return (
    caller.finishBy ??
    now + (caller.deadlineMilliseconds ?? service.timeoutMilliseconds)
  );
}

/** The description of a request that admission decides on. */
export function admissionRequest(
  { caller }: Exchange,
  work: Pick<
    AdmissionRequest,
    "id" | "tokens" | "runMilliseconds" | "deadline"
  >,
  now: number,
): AdmissionRequest {
  return {
    id: work.id,
    workspace: caller.workspace.name,
    weight: caller.workspace.weight,
    priority: caller.workspace.priority,
    tokens: work.tokens,
    arrivedAt: now,
    deadline: work.deadline,
    runMilliseconds: work.runMilliseconds,
    background: caller.finishBy !== undefined,
  };
}

/** Decodes a path segment; returns text with a malformed escape unchanged. */
export function decodePathSegment(text: string): string {
  try {
    return decodeURIComponent(text);
  } catch {
    return text;
  }
}
