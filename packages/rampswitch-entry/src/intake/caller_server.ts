// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The address for callers: chat requests, calls of plain services, answers
 * read again, and health for the balancer.
 *
 * @module
 */
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import type { Socket } from "node:net";
import { inDoubt, refused } from "rampswitch-types";
import { listen, type Listening, type Logger } from "rampswitch-utils";
import type { Limits } from "rampswitch-validation";
import { readCallerRequest } from "./caller_request.ts";
import {
  decodedName,
  type Exchange,
  readsAgain,
  refuse,
  refuseUnjudged,
  REQUESTS_PATH,
} from "./exchange.ts";
import type { ProblemOutcome } from "./problem.ts";
import { type IntakeOptions, takeChat, takePlain } from "./work_intake.ts";

/** How the server is made. */
export interface CallerServerOptions extends IntakeOptions {
  readonly limits: Limits;
  readonly logger: Logger;
  /** Why no new work is taken; `undefined` where it is. */
  readonly refusal: () => ProblemOutcome | undefined;
  readonly ready: () => boolean;
}

interface Route {
  readonly method?: string;
  readonly path: RegExp;
  readonly handle: (exchange: Exchange) => Promise<void>;
}

const KEEP_ALIVE_MILLISECONDS = 65_000;
const LONGEST_CHECK_MILLISECONDS = 5_000;
const BASE_URL = "http://entry";

const CLIENT_ERRORS: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: "431 Request Header Fields Too Large",
  ERR_HTTP_REQUEST_TIMEOUT: "408 Request Timeout",
};

/** The server for callers. */
export class CallerServer {
  readonly #options: CallerServerOptions;
  readonly #routes: readonly Route[];

  constructor(options: CallerServerOptions) {
    this.#options = options;
    this.#routes = [
      {
        method: "POST",
        path: /^\/v1\/chat\/completions$/,
        handle: (exchange) => takeChat(exchange, options),
      },
      {
        method: "GET",
        path: /^\/v1\/requests\/[^/]+$/,
        handle: (exchange) => this.#again(exchange),
      },
      {
        path: /^\/services\/[^/]+\//,
        handle: (exchange) => takePlain(exchange, options),
      },
    ];
  }

  /** Starts to listen. */
  listen(address: string): Promise<Listening> {
    const { limits, logger, metrics } = this.#options;
    const server = createServer(
      {
        maxHeaderSize: limits.headerBytes,
        headersTimeout: limits.headerMilliseconds,
        requestTimeout: limits.bodyMilliseconds,
        connectionsCheckingInterval: Math.min(
          limits.headerMilliseconds / 2,
          LONGEST_CHECK_MILLISECONDS,
        ),
        keepAliveTimeout: KEEP_ALIVE_MILLISECONDS,
      },
      (request, response) => {
        response.on("error", () => undefined);
        this.#handle(request, response).catch((error: unknown) => {
          logger.error("request failed", { error: String(error) });
          const outcome = inDoubt("backend_lost", "internal error");
          refuse(response, outcome, { metrics });
        });
      },
    );
    server.on("clientError", (error: NodeJS.ErrnoException, socket) =>
      this.#clientError(error, socket as Socket),
    );
    return listen(server, address);
  }

  async #handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const { metrics, routing } = this.#options;
    const target = request.url ?? "/";
    if (!URL.canParse(target, BASE_URL)) {
      const wrong = refused("bad_request", "path, expected one that parses");
      refuse(response, wrong, { metrics });
      return;
    }
    const url = new URL(target, BASE_URL);
    const open = this.#openPaths[url.pathname];
    if (open !== undefined) {
      open(response);
      return;
    }
    const caller = readCallerRequest(request, routing());
    if (caller.isOk) {
      await this.#route({ request, response, url, caller: caller.value });
      return;
    }
    const refusal = this.#options.refusal() ?? caller.error;
    refuseUnjudged({ request, response, url }, refusal, metrics);
  }

  async #route(exchange: Exchange): Promise<void> {
    const { url, request } = exchange;
    const { metrics } = this.#options;
    const route = this.#routes.find(
      ({ method, path }) =>
        (method ?? request.method) === request.method &&
        path.test(url.pathname),
    );
    const refusal = readsAgain(exchange) ? undefined : this.#options.refusal();
    if (refusal !== undefined) refuseUnjudged(exchange, refusal, metrics);
    else if (route !== undefined) await route.handle(exchange);
    else {
      const detail =
        `${request.method} ${url.pathname}, expected ` +
        "POST /v1/chat/completions, GET /v1/requests/ID or /services/NAME/";
      refuse(exchange.response, refused("bad_request", detail), { metrics });
    }
  }

  async #again(exchange: Exchange): Promise<void> {
    const id = exchange.url.pathname.slice(REQUESTS_PATH.length);
    await this.#options.kept.again(exchange, decodedName(id));
  }

  readonly #openPaths: Readonly<
    Record<string, (response: ServerResponse) => void>
  > = {
    "/health": (response) => sendText(response, 200, "alive"),
    "/ready": (response) =>
      this.#options.ready()
        ? sendText(response, 200, "ready")
        : sendText(response, 503, "not ready"),
  };

  /** Answers what the HTTP parser could not read. */
  #clientError(error: NodeJS.ErrnoException, socket: Socket): void {
    this.#options.metrics.count("refusal", "bad_request");
    const status = CLIENT_ERRORS[error.code ?? ""] ?? "400 Bad Request";
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
