// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * HTTP server for callers: chat requests, calls of plain services, answers to
 * earlier requests, and health checks of the load balancer.
 *
 * @module
 */
import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { inDoubt, refused, type RefusalReason } from "rampswitch-types";
import {
  answerIntakeRefusal,
  BoundedServer,
  type IntakeBudgets,
  type IntakeRefusal,
  listen,
  type Listening,
  type Logger,
} from "rampswitch-utils";
import type { Limits } from "rampswitch-validation";
import { readCallerRequest } from "./caller_request.ts";
import {
  decodePathSegment,
  type Exchange,
  readsEarlierAnswer,
  refuse,
  refuseWithEarlierUnknown,
  REQUESTS_PATH,
} from "./exchange.ts";
import type { ProblemOutcome } from "./problem.ts";
import {
  handleChat,
  handlePlainCall,
  type IntakeOptions,
} from "./work_intake.ts";

/** Settings and services that the server for callers uses. */
export interface CallerServerOptions extends IntakeOptions {
  readonly limits: Limits;
  readonly logger: Logger;
  readonly intake: IntakeBudgets;
  /** The refusal of new work; `undefined` while new work is accepted. */
  readonly refusal: () => ProblemOutcome | undefined;
  readonly ready: () => boolean;
}

/** A request of which nothing is known. */
type IncomingExchange = Omit<Exchange, "caller" | "url">;

interface Route {
  readonly method?: string;
  readonly path: RegExp;
  readonly handle: (exchange: Exchange) => Promise<void>;
}

const KEEP_ALIVE_MILLISECONDS = 65_000;
const MAXIMUM_CHECK_INTERVAL_MILLISECONDS = 5_000;
const BASE_URL = "http://entry";

/** The part of the process's descriptors that callers may take. */
const DESCRIPTOR_SHARE = 1 / 2;

const REASON_BY_REFUSAL: Readonly<Record<IntakeRefusal, RefusalReason>> = {
  head_too_large: "bad_request",
  no_memory: "no_memory",
};

const STATUS_BY_PARSER_ERROR: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: "431 Request Header Fields Too Large",
  ERR_HTTP_REQUEST_TIMEOUT: "408 Request Timeout",
};

/** Answer to requests that the host could not end; nothing is promised. */
const HOST_ENDED = inDoubt(
  "backend_timeout",
  "the host ended before its answer",
);

/** HTTP server for callers. */
export class CallerServer {
  readonly #options: CallerServerOptions;
  readonly #routes: readonly Route[];
  readonly #open = new Set<ServerResponse>();

  constructor(options: CallerServerOptions) {
    this.#options = options;
    this.#routes = [
      {
        method: "POST",
        path: /^\/v1\/chat\/completions$/,
        handle: (exchange) => handleChat(exchange, options),
      },
      {
        method: "GET",
        path: /^\/v1\/requests\/[^/]+$/,
        handle: (exchange) => this.#readAnswer(exchange),
      },
      {
        path: /^\/services\/[^/]+\//,
        handle: (exchange) => handlePlainCall(exchange, options),
      },
    ];
  }

  /** Number of requests that are being read or whose answers are being sent. */
  get inProgress(): number {
    return this.#open.size;
  }

  /** Answers callers that have nothing of their answers yet, since the host ends. */
  endUnanswered(): void {
    const { metrics } = this.#options;
    [...this.#open]
      .filter(({ headersSent }) => !headersSent)
      .forEach((response) => refuse(response, HOST_ENDED, { metrics }));
  }

  /** Starts to listen at an address. */
  listen(address: string): Promise<Listening> {
    const { limits, intake, metrics } = this.#options;
    const server: BoundedServer = new BoundedServer(
      {
        budgets: intake,
        connectionShare: DESCRIPTOR_SHARE,
        headerBytes: () => limits.headerBytes,
        maxHeaderSize: limits.headerBytes,
        headersTimeout: limits.headerMilliseconds,
        requestTimeout: limits.bodyMilliseconds,
        connectionsCheckingInterval: Math.min(
          limits.headerMilliseconds / 2,
          MAXIMUM_CHECK_INTERVAL_MILLISECONDS,
        ),
        keepAliveTimeout: KEEP_ALIVE_MILLISECONDS,
      },
      {
        request: (request, response) =>
          this.#supervise({
            request,
            response,
            readBody: (limit) => server.readBody(request, limit),
          }),
        refused: (request, response, refusal) => {
          metrics.count("refusal", REASON_BY_REFUSAL[refusal]);
          answerIntakeRefusal(request, response, refusal);
        },
      },
    );
    server.limit(limits);
    server.http.on("clientError", (error: NodeJS.ErrnoException, socket) =>
      this.#clientError(error, socket as Socket),
    );
    return listen(server.http, address);
  }

  #supervise(incoming: IncomingExchange): void {
    const { logger, metrics } = this.#options;
    const { response } = incoming;
    response.on("error", () => undefined);
    this.#open.add(response);
    response.once("close", () => this.#open.delete(response));
    this.#handle(incoming).catch((error: unknown) => {
      logger.error("request failed", { error: String(error) });
      const outcome = inDoubt("backend_lost", "internal error");
      refuse(response, outcome, { metrics });
    });
  }

  async #handle({
    request,
    response,
    readBody,
  }: IncomingExchange): Promise<void> {
    const { metrics, routing } = this.#options;
    const target = request.url ?? "/";
    if (!URL.canParse(target, BASE_URL)) {
      const malformed = refused(
        "bad_request",
        "path, expected one that parses",
      );
      refuse(response, malformed, { metrics });
      return;
    }
    const url = new URL(target, BASE_URL);
    const handler = this.#unauthenticatedPaths[url.pathname];
    if (handler !== undefined) {
      handler(response);
      return;
    }
    const caller = readCallerRequest(request, routing());
    if (caller.isOk) {
      const exchange = { request, response, readBody, url };
      await this.#route({ ...exchange, caller: caller.value });
      return;
    }
    const refusal = this.#options.refusal() ?? caller.error;
    refuseWithEarlierUnknown({ request, response, url }, refusal, metrics);
  }

  async #route(exchange: Exchange): Promise<void> {
    const { url, request } = exchange;
    const { metrics } = this.#options;
    const route = this.#routes.find(
      ({ method, path }) =>
        (method ?? request.method) === request.method &&
        path.test(url.pathname),
    );
    const refusal = readsEarlierAnswer(exchange)
      ? undefined
      : this.#options.refusal();
    if (refusal !== undefined)
      refuseWithEarlierUnknown(exchange, refusal, metrics);
    else if (route !== undefined) await route.handle(exchange);
    else {
      const detail =
        `${request.method} ${url.pathname}, expected ` +
        "POST /v1/chat/completions, GET /v1/requests/ID or /services/NAME/";
      refuse(exchange.response, refused("bad_request", detail), { metrics });
    }
  }

  async #readAnswer(exchange: Exchange): Promise<void> {
    const id = exchange.url.pathname.slice(REQUESTS_PATH.length);
    await this.#options.retainedRequests.readAnswer(
      exchange,
      decodePathSegment(id),
    );
  }

  readonly #unauthenticatedPaths: Readonly<
    Record<string, (response: ServerResponse) => void>
  > = {
    "/health": (response) => sendText(response, 200, "alive"),
    "/ready": (response) =>
      this.#options.ready()
        ? sendText(response, 200, "ready")
        : sendText(response, 503, "not ready"),
  };

  /** Answers a request that the HTTP parser can't read. */
  #clientError(error: NodeJS.ErrnoException, socket: Socket): void {
    this.#options.metrics.count("refusal", "bad_request");
    const status =
      STATUS_BY_PARSER_ERROR[error.code ?? ""] ?? "400 Bad Request";
    if (socket.writable) {
      socket.end(`HTTP/1.1 ${status}\r\nconnection: close\r\n\r\n`);
    } else socket.destroy();
  }
}

function sendText(
  response: ServerResponse,
  status: number,
  text: string,
): void {
  response.writeHead(status, { "content-type": "text/plain" });
  response.end(`${text}\n`);
}
