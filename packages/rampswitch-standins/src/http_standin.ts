// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * What all HTTP stand-ins share: routing by method and path, JSON bodies and a
 * control path over which faults are set.
 *
 * @module
 */
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import { listen, type Listening, parseJson, readBody } from "rampswitch-utils";

const MAXIMUM_BODY = 64 * 1024 * 1024;

/** One call to a stand-in. */
export interface StandinCall {
  readonly method: string;
  readonly url: URL;
  readonly headers: IncomingMessage["headers"];
  /** The body as JSON; `undefined` where there is none. */
  readonly body: unknown;
  readonly text: string;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
}

/** Answers one call. */
export type StandinHandler = (call: StandinCall) => Promise<void> | void;

/** A handler with the method and path that it answers. */
export interface StandinRoute {
  /** Absent means every method. */
  readonly method?: string;
  readonly path: RegExp;
  /** Absent means always. */
  readonly when?: () => boolean;
  readonly handle: StandinHandler;
}

/** Sends JSON. */
export function sendJson(
  response: ServerResponse,
  status: number,
  value: unknown,
): void {
  if (response.destroyed) return;
  response.writeHead(status, { "content-type": "application/json" });
  response.end(value === undefined ? "" : JSON.stringify(value));
}

/** Starts an HTTP server that answers by the first matching route. */
export function startStandin(
  routes: readonly StandinRoute[],
  address = "127.0.0.1:0",
): Promise<Listening> {
  const server = createServer((request, response) => {
    response.on("error", () => undefined);
    void answer(routes, request, response);
  });
  server.keepAliveTimeout = 60_000;
  return listen(server, address);
}

async function answer(
  routes: readonly StandinRoute[],
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const url = new URL(request.url ?? "/", "http://standin");
  const route = routes.find(
    (candidate) =>
      (candidate.method ?? request.method) === request.method &&
      candidate.path.test(url.pathname) &&
      (candidate.when?.() ?? true),
  );
  if (route === undefined) {
    sendJson(response, 404, { error: `no such path: ${url.pathname}` });
    return;
  }
  const body = await readBody(request, MAXIMUM_BODY);
  if (body.isErr) return;
  const text = body.value.toString("utf8");
  await route.handle({
    method: request.method ?? "GET",
    url,
    headers: request.headers,
    body: text === "" ? undefined : parseJson(text).unwrapOr(undefined),
    text,
    request,
    response,
  });
}
