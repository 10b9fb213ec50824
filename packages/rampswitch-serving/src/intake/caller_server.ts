// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The HTTP listener for callers: reads whole requests within the configured limits,
 * finds their route, workspace and service, and starts their runs.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { Result } from "true-myth";
import {
  BoundedServer,
  handleInBackground,
  type IntakeBudgets,
  invalidHeaderName,
  listen,
  type Listening,
  type LogFields,
} from "rampswitch-utils";
import type {
  CallerLimits,
  Route,
  Service,
  Workspace,
} from "../model/configuration.ts";
import { REFUSALS, type RefusalReason } from "../model/outcome.ts";
import type { RequestHead } from "../model/request.ts";
import { Fingerprint } from "../quarantine/mod.ts";
import type {
  ConfigurationView,
  RequestContext,
} from "../relay/request_context.ts";
import type { AdmittedRequest } from "../relay/admitted_request.ts";
import { RequestRun } from "../relay/request_run.ts";
import { shortened } from "../relay/run_record.ts";
import { isTakeUp } from "../relay/stream_version.ts";
import { chargeOf } from "./request_charge.ts";
import { LoopBacklog, pendingEventsHandled } from "./loop_backlog.ts";
import {
  REASON_BY_BODY_ERROR,
  type Refusal,
  refusal,
  refusalOf,
  UNREAD_REASONS,
} from "./refusal.ts";
import { drawTarget, type RouteIndex } from "./route_index.ts";

/** Rank of the requests that the limits of workspaces refuse last. */
const MOST_URGENT = 0;

/** Maximum header bytes of the parser; the configured limit is lower. */
const MAXIMUM_HEADER_BYTES = 64 * 1024;

/** The part of the process's descriptors that callers may take. */
const DESCRIPTOR_SHARE = 1 / 2;

/** Status lines of requests that can't be parsed, by the parser's code. */
const STATUS_LINE_BY_CODE: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: "431 Request Header Fields Too Large",
};
const BAD_REQUEST_LINE = "400 Bad Request";

/** Limits until a configuration is received. */
const INITIAL_LIMITS: CallerLimits = {
  headerBytes: 16 * 1024,
  bodyBytes: 4 * 1024 * 1024,
  headerMilliseconds: 3_000,
  idleMilliseconds: 15_000,
};

/** Maximum time to receive a whole request, in milliseconds. */
const MAXIMUM_REQUEST_MILLISECONDS = 30_000;

/** Route and service of a request, and the workspace that is charged. */
interface Destination {
  readonly route: Route;
  readonly service: Service;
  readonly workspace: Workspace | undefined;
}

/** The listener for callers, and the runs of their requests. */
export class CallerServer {
  readonly #context: RequestContext;
  readonly #server: BoundedServer;
  readonly #runs = new Set<RequestRun>();
  readonly #backlog = new LoopBacklog();
  #limits = INITIAL_LIMITS;
  /** Answers that are not yet handed to the system whole; requests that are read have one. */
  readonly #open = new Set<ServerResponse>();
  #idle = true;
  /** Connections that were answered with 400 because they could not be parsed. */
  readonly #malformedConnections = new WeakSet<Socket>();

  constructor(context: RequestContext, budgets: IntakeBudgets) {
    this.#context = context;
    this.#server = new BoundedServer(
      {
        budgets,
        connectionShare: DESCRIPTOR_SHARE,
        headerBytes: () => this.#limits.headerBytes,
        maxHeaderSize: MAXIMUM_HEADER_BYTES,
        requestTimeout: MAXIMUM_REQUEST_MILLISECONDS,
        headersTimeout: INITIAL_LIMITS.headerMilliseconds,
        keepAliveTimeout: INITIAL_LIMITS.idleMilliseconds,
        noDelay: true,
        // Node.js would answer requests without a Host header itself and log nothing.
        requireHostHeader: false,
      },
      {
        request: (incoming, response) =>
          this.#supervise(response, () => this.#receive(incoming, response)),
        refused: (incoming, response, reason) =>
          this.#refuseUnread(incoming, response, reason),
      },
    );
    const { http } = this.#server;
    http.on("checkExpectation", (incoming, response) =>
      this.#server.begin(incoming, response, () =>
        this.#refuseUnread(incoming, response, "expectation_unknown"),
      ),
    );
    http.on("clientError", (error, socket) =>
      this.#rejectMalformed(error, socket as Socket),
    );
  }

  /** Number of requests that are being read or served, or whose answers are being sent. */
  get inProgress(): number {
    return this.#open.size;
  }

  /** Whether no request was received since the start. */
  get idle(): boolean {
    return this.#idle;
  }

  /** Runs in progress. */
  get runs(): readonly RequestRun[] {
    return [...this.#runs];
  }

  /** Starts to listen on an address. */
  listen(address: string): Promise<Listening> {
    return listen(this.#server.http, address);
  }

  /** Applies the limits of a configuration. */
  setLimits(limits: CallerLimits): void {
    this.#limits = limits;
    this.#server.limit(limits);
    this.#server.http.headersTimeout = limits.headerMilliseconds;
    this.#server.http.keepAliveTimeout = limits.idleMilliseconds;
  }

  /** Closes connections without a request in progress, unless answers are being sent. */
  closeIdleConnections(): void {
    // Node.js takes a connection for idle while the last bytes of its answer wait.
    const isSending = [...this.#open].some(
      ({ writableEnded }) => writableEnded,
    );
    if (!isSending) this.#server.http.closeIdleConnections();
  }

  /** Stops accepting connections. */
  stopListening(): void {
    this.#server.http.close();
  }

  #supervise(response: ServerResponse, handle: () => Promise<void>): void {
    this.#open.add(response);
    response.once("close", () => this.#open.delete(response));
    handleInBackground("request", this.#context, { response, handle });
  }

  #refuseUnread(
    incoming: IncomingMessage,
    response: ServerResponse,
    reason: RefusalReason,
  ): void {
    this.#supervise(response, () => {
      this.#refuse(response, this.#headOf(incoming), refusalOf(reason));
      return Promise.resolve();
    });
  }

  async #receive(
    incoming: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const arrivedAt = this.#context.clock.now();
    this.#idle = false;
    const head = this.#headOf(incoming);
    this.#context.metrics.input("request", head.attemptId);
    if (this.#rejectsHeaders(incoming)) {
      this.#logUnread(head, incoming);
      return;
    }
    const { bodyBytes } = this.#limits;
    const body = await this.#server.readBody(incoming, bodyBytes);
    const isMalformed = this.#answeredMalformed(incoming);
    if (body.isErr && body.error !== "cut_off" && !isMalformed) {
      this.#server.endAfterAnswer(incoming);
      this.#refuse(response, head, refusalOf(REASON_BY_BODY_ERROR[body.error]));
      return;
    }
    if (body.isErr || isMalformed) {
      this.#logUnread(head, incoming);
      return;
    }
    const view = this.#context.configuration();
    const destination = this.#destination(head, view);
    if (destination.isErr) {
      this.#refuse(response, head, destination.error);
      return;
    }
    const sentBody = body.value.length === 0 ? undefined : body.value;
    const fingerprint = new Fingerprint({
      ...head,
      workspace: destination.value.workspace?.name,
      body: sentBody,
      service: destination.value.service.name,
    });
    const quarantineRefusal = this.#quarantineRefusal(
      fingerprint,
      destination.value,
    );
    if (quarantineRefusal !== undefined) {
      this.#refuse(response, head, quarantineRefusal);
      return;
    }
    const charged = await this.#charge(head, destination.value);
    if (this.#backlog.isBehind()) await pendingEventsHandled();
    if (charged.isErr) {
      this.#refuse(response, head, charged.error);
      return;
    }
    if (hasLeft(response) || this.#answeredMalformed(incoming)) {
      this.#refund(destination.value, charged.value);
      this.#logUnread(head, incoming, {
        workspace: destination.value.workspace?.name,
        tokens: charged.value,
      });
      return;
    }
    this.#run(
      {
        head,
        ...destination.value,
        body: sentBody,
        fingerprint,
        chargedTokens: charged.value,
        arrivedAt,
        configurationVersion: view.routes?.configuration.version ?? 0,
      },
      response,
    );
  }

  #headOf(incoming: IncomingMessage): RequestHead {
    return this.#context.codec.decodeRequest({
      method: incoming.method ?? "",
      target: incoming.url ?? "",
      rawHeaders: incoming.rawHeaders,
    });
  }

  /** Whether a connection was answered with 400 because it could not be parsed. */
  #answeredMalformed({ socket }: IncomingMessage): boolean {
    return this.#malformedConnections.has(socket);
  }

  /** Logs a request that won't run: its connection could not be parsed or is closed. */
  #logUnread(
    head: RequestHead,
    incoming: IncomingMessage,
    charged: LogFields = {},
  ): void {
    if (this.#answeredMalformed(incoming)) {
      this.#logRefusal(head, refusalOf("bad_request"));
      return;
    }
    this.#context.metrics.outcome("caller_left");
    this.#context.logger.info("caller left before the run", {
      request: head.attemptId,
      ...charged,
    });
  }

  #run(request: AdmittedRequest, response: ServerResponse): void {
    const run = new RequestRun(
      request,
      {
        response,
        onFinished: (finished) => this.#finished(finished),
      },
      this.#context,
    );
    this.#runs.add(run);
    run.start();
  }

  #finished(run: RequestRun): void {
    this.#runs.delete(run);
    this.#context.brittle.waits.released();
  }

  #destination(
    head: RequestHead,
    view: ConfigurationView,
  ): Result<Destination, Refusal> {
    const { routes } = view;
    if (!this.#context.acceptsRequests()) return refusal("stopping");
    if (routes === undefined) return refusal("no_configuration");
    if (
      head.attemptId === undefined ||
      head.hostName === "" ||
      !head.target.startsWith("/")
    ) {
      return refusal("bad_request");
    }
    const route = routes.route(head.hostName, pathOf(head.target));
    if (route === undefined) {
      return view.keysTrusted
        ? refusal("no_route")
        : refusal("configuration_not_confirmed");
    }
    const service = this.#service(route, routes);
    if (service === undefined) return refusal("no_server");
    if (route.open || !routes.keysNeeded) {
      return Result.ok({ route, service, workspace: undefined });
    }
    return this.#authenticate(head, view, { route, service, routes });
  }

  #authenticate(
    head: RequestHead,
    view: ConfigurationView,
    found: {
      readonly route: Route;
      readonly service: Service;
      readonly routes: RouteIndex;
    },
  ): Result<Destination, Refusal> {
    if (!view.keysTrusted) return refusal("configuration_not_confirmed");
    const workspace =
      head.key === undefined ? undefined : found.routes.workspace(head.key);
    return workspace === undefined
      ? refusal("key_unknown")
      : Result.ok({ route: found.route, service: found.service, workspace });
  }

  #service(route: Route, routes: RouteIndex): Service | undefined {
    const name = drawTarget(route, this.#context.random.next());
    return name === undefined ? undefined : routes.service(name);
  }

  /** The refusal of a quarantined request, which may crash the servers that run it. */
  #quarantineRefusal(
    fingerprint: Fingerprint,
    { workspace }: Destination,
  ): Refusal | undefined {
    const decision = this.#context.quarantine.decide(fingerprint);
    return decision.kind === "held"
      ? {
          reason: "quarantined",
          retryAfterSeconds: decision.waitMilliseconds / 1_000,
          workspace: workspace?.name,
          fingerprint: fingerprint.text,
        }
      : undefined;
  }

  /** Refunds the charge of a request that does not run. */
  #refund({ workspace }: Destination, tokens: number): void {
    if (workspace === undefined) return;
    this.#context.admission.refund({ workspace: workspace.name, tokens });
  }

  /** Charges the request's tokens to the workspace's limit. */
  async #charge(
    head: RequestHead,
    destination: Destination,
  ): Promise<Result<number, Refusal>> {
    const { route, workspace } = destination;
    if (workspace === undefined) return Result.ok(0);
    const tokens = chargeOf(head, workspace);
    const { admission } = this.#context;
    const limited = { workspace: workspace.name, tokens };
    // Nothing is reserved before the rest of a stream that its caller has begun to get.
    const decision = isTakeUp({ head, route })
      ? await admission.admitSoon({ ...limited, priority: MOST_URGENT })
      : await admission.admit({ ...limited, priority: route.priority });
    return decision.kind === "admitted"
      ? Result.ok(tokens)
      : Result.err({
          reason: "workspace_limit",
          workspace: workspace.name,
          tokens,
          retryAfterSeconds: decision.retryAfterMilliseconds / 1_000,
        });
  }

  #refuse(response: ServerResponse, head: RequestHead, refused: Refusal): void {
    this.#logRefusal(head, refused);
    if (response.destroyed) return;
    const { reason } = refused;
    response.writeHead(REFUSALS[reason].status, [
      ...this.#context.codec.encodeOwnAnswer({
        attemptId: head.attemptId,
        retryAfterSeconds: refused.retryAfterSeconds,
      }),
      "Content-Length",
      "0",
      ...(this.#context.closesConnections() || UNREAD_REASONS.has(reason)
        ? ["Connection", "close"]
        : []),
    ]);
    response.end();
  }

  #logRefusal(head: RequestHead, refused: Refusal): void {
    const { reason } = refused;
    this.#context.metrics.outcome(reason);
    this.#context.logger.info("request refused", {
      request: head.attemptId,
      outcome: reason,
      status: REFUSALS[reason].status,
      path: head.target,
      resumes: shortened(head.resumes),
      workspace: refused.workspace,
      tokens: refused.tokens,
      fingerprint: refused.fingerprint,
      retryAfterSeconds: refused.retryAfterSeconds,
      configuration:
        this.#context.configuration().routes?.configuration.version,
      configurationAge: Math.round(
        this.#context.configuration().ageMilliseconds,
      ),
    });
  }

  /** Rejects a request that the parser accepts though a header's name is invalid. */
  #rejectsHeaders({ rawHeaders, socket }: IncomingMessage): boolean {
    const name = invalidHeaderName(rawHeaders);
    if (name === undefined) return false;
    const detail = `header ${JSON.stringify(name)}, expected a token as name`;
    this.#rejectMalformed(new Error(detail), socket);
    return true;
  }

  #rejectMalformed(error: NodeJS.ErrnoException, socket: Socket): void {
    this.#context.metrics.event("malformed_request");
    // The caller would take this answer for that of an earlier, running request.
    const carriesRun = this.runs.some((run) => run.isAnsweredOn(socket));
    if (!socket.writable || socket.bytesWritten > 0 || carriesRun) {
      socket.destroy();
      return;
    }
    this.#malformedConnections.add(socket);
    const line = STATUS_LINE_BY_CODE[error.code ?? ""] ?? BAD_REQUEST_LINE;
    this.#context.logger.info("malformed request", {
      detail: error.message,
      status: Number.parseInt(line, 10),
    });
    socket.end(`HTTP/1.1 ${line}\r\nConnection: close\r\n\r\n`);
  }
}

/** Whether the caller closed its connection. */
function hasLeft({ destroyed, socket }: ServerResponse): boolean {
  return destroyed || socket === null || socket.readableEnded;
}

function pathOf(target: string): string {
  const query = target.indexOf("?");
  return query < 0 ? target : target.slice(0, query);
}
