// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * One request of a caller on its way through this host.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { AdmissionRequest, RoutingTable } from "rampswitch-policy";
import { refused, type Service } from "rampswitch-types";
import { type Clock, type Metrics, readBody } from "rampswitch-utils";
import { type CallerRequest, KEY_HEADER } from "./caller_request.ts";
import {
  type ProblemOptions,
  type ProblemOutcome,
  sendProblem,
} from "./problem.ts";

/** Path below which answers are read again by the id of their request. */
export const REQUESTS_PATH = "/v1/requests/";

/** A request of a known caller. */
export interface Exchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly url: URL;
  readonly caller: CallerRequest;
}

/** What handling a request takes from the process. */
export interface ExchangeOptions {
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly routing: () => RoutingTable;
  readonly bodyBytes: number;
}

/** Answers a request with a problem and counts its reason. */
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

/** Whether an exchange reads the answer to an earlier request again. */
export function readsAgain({ url }: Pick<Exchange, "url">): boolean {
  return url.pathname.startsWith(REQUESTS_PATH);
}

/** Refuses a request whose key or id, if it has one, was not judged. */
export function refuseUnjudged(
  exchange: Omit<Exchange, "caller">,
  outcome: ProblemOutcome,
  metrics: Metrics,
): void {
  refuse(exchange.response, outcome, {
    metrics,
    earlierNotJudged:
      exchange.request.headers[KEY_HEADER] !== undefined ||
      readsAgain(exchange),
  });
}

/** Reads a request's body; a refusal was sent where there is none. */
export async function exchangeBody(
  exchange: Exchange,
  options: ExchangeOptions,
): Promise<Buffer | undefined> {
  const body = await readBody(exchange.request, options.bodyBytes);
  if (body.isOk) return body.value;
  if (body.error === "too_large") {
    exchange.response.setHeader("connection", "close");
    const detail = `body, expected at most ${options.bodyBytes} bytes`;
    refuseUnjudged(
      exchange,
      refused("body_too_large", detail),
      options.metrics,
    );
  }
  return undefined;
}

/** Finds the service that a request names; a refusal was sent without one. */
export function exchangeService(
  exchange: Exchange,
  wanted: Pick<Service, "name" | "type">,
  options: ExchangeOptions,
): Service | undefined {
  const service = options.routing().services.get(wanted.name);
  if (service?.type === wanted.type) return service;
  refuseUnjudged(
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

/** Latest time at which the answer helps, in milliseconds since the epoch. */
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

/** What admission needs to know of a request. */
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

/** A name within a path; text with a broken escape stays as it is. */
export function decodedName(text: string): string {
  try {
    return decodeURIComponent(text);
  } catch {
    return text;
  }
}
