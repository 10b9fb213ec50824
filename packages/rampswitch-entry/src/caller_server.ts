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
import { type AdmissionRequest, type RoutingTable } from "rampswitch-policy";
import {
  type KeyVerdict,
  mintRequestId,
  slotOfKey,
  slotOfRequestId,
  timeOfKey,
} from "rampswitch-protocol";
import { type HostId, inDoubt, refused, type Service } from "rampswitch-types";
import {
  type Clock,
  listen,
  type Listening,
  type Logger,
  type Metrics,
  type Random,
  readBody,
  sha256,
  sleep,
} from "rampswitch-utils";
import type { Limits } from "rampswitch-validation";
import type { AdmissionGate } from "./admission_gate.ts";
import {
  type Answer,
  type AnswerBook,
  forgottenOutcome,
  type RequestEnvelope,
} from "./answer_book.ts";
import { type AnswerForm, writeAnswer } from "./answer_writer.ts";
import type { BackendClient } from "./backend_client.ts";
import type { BackendDirectory } from "./backend_directory.ts";
import {
  type CallerRequest,
  HOP_HEADER,
  OWN_HEADERS,
  readCallerRequest,
} from "./caller_request.ts";
import { type ChatRequest, parseChatRequest } from "./chat_request.ts";
import { chatRepeatable, type ChatRunner } from "./chat_runner.ts";
import { passAnswer, passedHeaders } from "./http_forward.ts";
import {
  type PlainCall,
  plainRepeatable,
  type PlainRunner,
} from "./plain_runner.ts";
import { type ProblemOutcome, sendProblem } from "./problem.ts";
import type { RequestReplication } from "./request_replication.ts";
import type { SlotService } from "./slot_service.ts";

/** How the server is made. */
export interface CallerServerOptions {
  readonly self: HostId;
  readonly limits: Limits;
  readonly clock: Clock;
  readonly random: Random;
  readonly metrics: Metrics;
  readonly logger: Logger;
  readonly book: AnswerBook;
  readonly slots: SlotService;
  readonly gate: AdmissionGate;
  readonly chat: ChatRunner;
  readonly plain: PlainRunner;
  readonly client: BackendClient;
  readonly directory: BackendDirectory;
  readonly replication: RequestReplication;
  readonly routing: () => RoutingTable;
  /** Why no new work is taken; `undefined` where it is. */
  readonly refusal: () => ProblemOutcome | undefined;
  readonly ready: () => boolean;
  readonly callerAddressOf: (host: HostId) => string | undefined;
  readonly trusts: (host: HostId) => boolean;
}

/** A request on its way through this host. */
interface Exchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly url: URL;
  readonly caller: CallerRequest;
}

/** A body that was read, and what the request is about. */
interface Work {
  readonly service: Service;
  readonly body: Buffer;
  readonly guarded: boolean;
  readonly form: AnswerForm;
  readonly tokens: number;
  readonly runMilliseconds: number;
  readonly fingerprint: string;
  /** Starts the work once it is admitted, claimed and recorded. */
  readonly start: (answer: Answer) => void;
}

const RETRY_AFTER = { retryAfterMilliseconds: 500 };
const MAXIMUM_HOPS = 2;
const FORWARD_ATTEMPTS = 20;
const FORWARD_WAIT_MILLISECONDS = 200;
const CLAIM_MILLISECONDS = 2_000;
const RESUME_GRACE_MILLISECONDS = 15_000;
const SMALL_BODY_BYTES = 64 * 1024;
const ASSUMED_TOKENS = 256;
const ASSUMED_RUN_MILLISECONDS = 1;
const KEEP_ALIVE_MILLISECONDS = 65_000;

/** Paths that need no key, by path. */
type OpenHandler = (response: ServerResponse) => void;

/** The server for callers. */
export class CallerServer {
  readonly #options: CallerServerOptions;

  constructor(options: CallerServerOptions) {
    this.#options = options;
  }

  /** Starts to listen. */
  listen(address: string): Promise<Listening> {
    const { limits, metrics, logger } = this.#options;
    const server = createServer(
      {
        maxHeaderSize: limits.headerBytes,
        headersTimeout: limits.headerMilliseconds,
        requestTimeout: limits.bodyMilliseconds,
        connectionsCheckingInterval: Math.min(
          limits.headerMilliseconds / 2,
          5_000,
        ),
        keepAliveTimeout: KEEP_ALIVE_MILLISECONDS,
      },
      (request, response) => {
        response.on("error", () => undefined);
        this.#handle(request, response).catch((error: unknown) => {
          logger.error("request failed", { error: String(error) });
          this.#refuse(response, inDoubt("backend_lost", "internal error"));
        });
      },
    );
    server.on("clientError", (error: NodeJS.ErrnoException, socket) => {
      metrics.count("refusal", "bad_request");
      const status = CLIENT_ERRORS[error.code ?? ""] ?? "400 Bad Request";
      if (socket.writable) {
        socket.end(`HTTP/1.1 ${status}\r\nconnection: close\r\n\r\n`);
      } else socket.destroy();
    });
    return listen(server, address);
  }

  readonly #open: Readonly<Record<string, OpenHandler>> = {
    "/health": (response) => sendText(response, 200, "alive"),
    "/ready": (response) =>
      this.#options.ready()
        ? sendText(response, 200, "ready")
        : sendText(response, 503, "not ready"),
  };

  async #handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const url = new URL(request.url ?? "/", "http://entry");
    const open = this.#open[url.pathname];
    if (open !== undefined) {
      open(response);
      return;
    }
    const caller = readCallerRequest(request, this.#options.routing());
    const refusal = this.#options.refusal();
    if (refusal !== undefined && url.pathname.startsWith("/v1/requests/")) {
      if (caller.isOk) {
        await this.#again({ request, response, url, caller: caller.value });
        return;
      }
    }
    if (refusal !== undefined) this.#refuse(response, refusal);
    else if (caller.isErr) this.#refuse(response, caller.error);
    else await this.#route({ request, response, url, caller: caller.value });
  }

  async #route(exchange: Exchange): Promise<void> {
    const { url, request, response } = exchange;
    const path = url.pathname;
    if (path === "/v1/chat/completions" && request.method === "POST") {
      await this.#chat(exchange);
    } else if (path.startsWith("/v1/requests/")) await this.#again(exchange);
    else if (path.startsWith("/services/")) await this.#plain(exchange);
    else {
      this.#refuse(
        response,
        refused(
          "bad_request",
          `${request.method} ${path}, expected POST /v1/chat/completions, ` +
            "GET /v1/requests/ID or /services/NAME/",
        ),
      );
    }
  }

  async #chat(exchange: Exchange): Promise<void> {
    const { request, response } = exchange;
    const body = await this.#body(exchange);
    if (body === undefined) return;
    const chat = parseChatRequest(body);
    if (chat.isErr) {
      this.#refuse(response, refused("bad_request", chat.error));
      return;
    }
    const service = this.#service(exchange, chat.value.model, "model");
    if (service === undefined) return;
    const { directory, routing } = this.#options;
    const route = routing().route(service, exchange.caller.workspace);
    const speeds = directory.speeds(route);
    await this.#serve(exchange, {
      service,
      body,
      guarded: !chatRepeatable(service),
      form: chat.value.streamed ? "stream" : "whole",
      tokens: chat.value.promptTokens + chat.value.maximumTokens,
      runMilliseconds: runMilliseconds(chat.value, speeds),
      fingerprint: sha256(`${request.url ?? ""}\n${body.toString("latin1")}`),
      start: (answer) => void this.#options.chat.run(answer),
    });
  }

  async #plain(exchange: Exchange): Promise<void> {
    const { request, response, url, caller } = exchange;
    const [, , name = "", ...rest] = url.pathname.split("/");
    const service = this.#service(exchange, decodeURIComponent(name), "plain");
    if (service === undefined) return;
    const path = `/${rest.join("/")}`;
    const method = request.method ?? "GET";
    const repeatable = plainRepeatable(service.calls, { method, path });
    const call = {
      service,
      route: this.#options.routing().route(service, caller.workspace),
      method,
      path: `${path}${url.search}`,
      headers: passedHeaders(request.headers, { drop: OWN_HEADERS }),
      repeatable,
      deadline: this.#deadline(exchange, service),
    };
    if (caller.key === undefined) {
      await this.#passPlain(exchange, call);
      return;
    }
    const body = await this.#body(exchange);
    if (body === undefined) return;
    await this.#serve(exchange, {
      service,
      body,
      guarded: !repeatable,
      form: "plain",
      tokens: ASSUMED_TOKENS,
      runMilliseconds: ASSUMED_RUN_MILLISECONDS,
      fingerprint: sha256(`${method} ${call.path}\n${body.toString("latin1")}`),
      start: (answer) =>
        void this.#options.plain.keep(
          {
            ...call,
            requestId: answer.envelope.id,
            body: body.length === 0 ? undefined : body,
          },
          answer,
        ),
    });
    if (response.destroyed) request.destroy();
  }

  /** A call without a key: streamed through, nothing is kept. */
  async #passPlain(
    exchange: Exchange,
    call: Omit<PlainCall, "requestId" | "body">,
  ): Promise<void> {
    const { request, response } = exchange;
    const { clock, gate, plain } = this.#options;
    const requestId = mintRequestId(0, clock.now());
    const refusal = await gate.ask(
      call.service.name,
      this.#admission(exchange, {
        id: requestId,
        tokens: ASSUMED_TOKENS,
        runMilliseconds: ASSUMED_RUN_MILLISECONDS,
        deadline: call.deadline,
      }),
    );
    if (refusal !== undefined) {
      this.#refuse(response, refusal, requestId);
      return;
    }
    const length = Number(request.headers["content-length"] ?? Number.NaN);
    const hasBody =
      request.headers["transfer-encoding"] !== undefined || length > 0;
    const small = length <= SMALL_BODY_BYTES;
    const body = !hasBody
      ? undefined
      : small
        ? await this.#body(exchange)
        : request;
    if (hasBody && body === undefined) {
      gate.end(call.service.name, requestId);
      return;
    }
    const outcome = await plain.pass({ ...call, requestId, body }, response);
    gate.end(call.service.name, requestId);
    if (outcome !== undefined) this.#refuse(response, outcome, requestId);
  }

  /** Serves a request whose answer is kept, here or at its slot's primary. */
  async #serve(exchange: Exchange, work: Work): Promise<void> {
    const { caller } = exchange;
    const { slots } = this.#options;
    if (caller.key !== undefined) {
      const key = `${caller.workspace.name}/${caller.key}`;
      const slot = slotOfKey(key, slots.count);
      await this.#atPrimary(exchange, slot, {
        body: work.body,
        here: () => this.#serveKey(exchange, work, { slot, key }),
      });
      return;
    }
    const own = slots.primarySlots;
    const slot = own[this.#options.random.below(Math.max(1, own.length))];
    if (slot !== undefined) {
      await this.#start(exchange, work, { slot, key: undefined });
      return;
    }
    const other = this.#options.random.below(slots.count);
    await this.#atPrimary(exchange, other, {
      body: work.body,
      here: () => this.#start(exchange, work, { slot: other, key: undefined }),
    });
  }

  async #serveKey(
    exchange: Exchange,
    work: Work,
    place: { readonly slot: number; readonly key: string },
  ): Promise<void> {
    const { caller } = exchange;
    const request = {
      key: place.key,
      keyTime: timeOfKey(caller.key ?? ""),
      guarded: work.guarded,
    };
    const verdict = this.#options.slots.judge(place.slot, request);
    if (verdict.kind === "new") {
      await this.#start(exchange, work, place);
      return;
    }
    const answer = this.#options.book.byKey(place.key);
    if (verdict.kind === "known" && answer !== undefined) {
      this.#attach(exchange, work, { answer, verdict });
      return;
    }
    this.#refuse(exchange.response, VERDICT_OUTCOMES[verdict.kind](verdict));
  }

  /** Lets a caller who came back read the answer to the same request. */
  #attach(
    exchange: Exchange,
    work: Work,
    found: {
      readonly answer: Answer;
      readonly verdict: Extract<KeyVerdict, { readonly kind: "known" }>;
    },
  ): void {
    const { answer, verdict } = found;
    const { response } = exchange;
    if (answer.envelope.fingerprint !== work.fingerprint) {
      this.#refuse(
        response,
        refused("key_reused", "key, expected a new one for another request"),
      );
      return;
    }
    const waiting =
      answer.outcome !== undefined ||
      answer.runner === this.#options.self ||
      this.#options.trusts(answer.runner);
    if (verdict.record.status === "in_doubt" && !waiting) {
      this.#refuse(response, IN_DOUBT, answer.envelope.id);
      return;
    }
    this.#options.metrics.count("answer_again");
    this.#write(exchange, answer, work.form);
  }

  /** Admits, claims and starts new work. */
  async #start(
    exchange: Exchange,
    work: Work,
    place: { readonly slot: number; readonly key: string | undefined },
  ): Promise<void> {
    const { clock, gate, self, book, replication, slots } = this.#options;
    const { response, caller } = exchange;
    const { slot } = place;
    const id = mintRequestId(slot, clock.now());
    const key = place.key ?? id;
    const deadline = this.#deadline(exchange, work.service);
    const envelope: RequestEnvelope = {
      id,
      slot,
      key,
      workspace: caller.workspace.name,
      service: work.service.name,
      body: work.form === "plain" ? Buffer.alloc(0) : work.body,
      deadline,
      streamed: work.form === "stream",
      fingerprint: work.fingerprint,
    };
    const answer = book.open(envelope, self);
    const claimed =
      place.key === undefined
        ? "execute"
        : await this.#claim(slot, {
            key,
            keyTime: timeOfKey(caller.key ?? ""),
            guarded: work.guarded,
          });
    const refusal =
      claimed === "execute"
        ? await gate.ask(
            work.service.name,
            this.#admission(exchange, { ...work, id, deadline }),
          )
        : CLAIM_OUTCOMES[claimed];
    if (refusal !== undefined) {
      answer.end(refusal);
      book.discard(answer);
      if (place.key !== undefined && claimed === "execute") {
        slots.finish(slot, key, "withdrawn");
      }
      this.#refuse(response, refusal, id);
      return;
    }
    if (place.key !== undefined || envelope.streamed)
      replication.opened(answer);
    answer.read(Number.MAX_SAFE_INTEGER, {
      event: () => undefined,
      ended: (outcome) => {
        gate.end(work.service.name, id);
        if (place.key === undefined) return;
        slots.finish(
          slot,
          key,
          outcome.kind === "refused_not_run" ? "withdrawn" : "done",
        );
        if (outcome.kind === "refused_not_run") book.discard(answer);
      },
    });
    this.#write(exchange, answer, work.form);
    work.start(answer);
  }

  async #claim(
    slot: number,
    request: {
      readonly key: string;
      readonly keyTime: number | undefined;
      readonly guarded: boolean;
    },
  ): Promise<"execute" | "in_doubt" | "withdrawn"> {
    const { clock, slots, metrics } = this.#options;
    const started = clock.now();
    const cancel = clock.after(CLAIM_MILLISECONDS, () =>
      slots.withdraw(slot, request.key),
    );
    const end = await slots.open(slot, request);
    cancel();
    metrics.count("claim", end);
    metrics.time("claim_milliseconds", clock.now() - started);
    return end;
  }

  /** Reads an answer again by the id of its request. */
  async #again(exchange: Exchange): Promise<void> {
    const { url, response } = exchange;
    const id = decodeURIComponent(url.pathname.slice("/v1/requests/".length));
    const slot = slotOfRequestId(id);
    if (slot === undefined) {
      this.#refuse(
        response,
        refused("unknown_request", `request id ${id}, expected a known one`),
      );
      return;
    }
    const here = () => this.#readAgain(exchange, id);
    if (this.#options.book.byId(id) !== undefined) here();
    else {
      await this.#atPrimary(exchange, slot, {
        body: undefined,
        here: () => {
          here();
          return Promise.resolve();
        },
      });
    }
  }

  #readAgain(exchange: Exchange, id: string): void {
    const { response, caller } = exchange;
    const { book, metrics } = this.#options;
    const answer = book.byId(id);
    const forgotten = book.forgotten(id);
    const own = caller.workspace.name;
    if (answer?.envelope.workspace === own) {
      metrics.count("answer_again");
      const form = answer.envelope.streamed ? "stream" : "whole";
      this.#write(exchange, answer, form);
    } else if (forgotten?.workspace === own) {
      const outcome = forgottenOutcome(forgotten.reason) as ProblemOutcome;
      this.#refuse(response, outcome, id);
    } else {
      this.#refuse(
        response,
        refused("unknown_request", `request id ${id}, expected a known one`),
      );
    }
  }

  #write(exchange: Exchange, answer: Answer, form: AnswerForm): void {
    const { caller, response } = exchange;
    const { certainEvents } = answer;
    if (certainEvents !== undefined && caller.lastEvent >= certainEvents) {
      this.#refuse(response, PROGRESS_LOST, answer.envelope.id);
      return;
    }
    writeAnswer(answer, response, {
      form,
      after: form === "stream" ? caller.lastEvent : -1,
      onGone: () => this.#callerGone(answer),
    });
  }

  /** Ends work that nobody can come back for. */
  #callerGone(answer: Answer): void {
    const { metrics, clock, chat } = this.#options;
    metrics.count("drop", "caller_gone");
    const { id, key, streamed } = answer.envelope;
    if (key !== id) return;
    clock.after(streamed ? RESUME_GRACE_MILLISECONDS : 0, () => {
      if (answer.callers === 0) chat.cancel(id);
    });
  }

  /** Runs something at a slot's primary: here, or by passing it on. */
  async #atPrimary(
    exchange: Exchange,
    slot: number,
    options: {
      readonly body: Buffer | undefined;
      readonly here: () => Promise<void>;
    },
  ): Promise<void> {
    const { slots, self, clock, metrics } = this.#options;
    const { response, caller } = exchange;
    for (let attempt = 0; attempt < FORWARD_ATTEMPTS; attempt += 1) {
      const primary = slots.primaryOf(slot);
      if (primary === self) {
        await options.here();
        return;
      }
      if (response.destroyed) return;
      const address =
        primary === undefined
          ? undefined
          : this.#options.callerAddressOf(primary);
      if (address !== undefined && caller.hops < MAXIMUM_HOPS) {
        const sent = await this.#forward(exchange, address, options.body);
        if (sent) return;
      }
      metrics.count("forward", "waiting");
      await sleep(clock, FORWARD_WAIT_MILLISECONDS);
    }
    this.#refuse(
      response,
      refused(
        "slot_unavailable",
        `slot ${slot}: its primary cannot be reached`,
        RETRY_AFTER,
      ),
    );
  }

  /** Passes a request on; false where it surely was not taken. */
  async #forward(
    exchange: Exchange,
    address: string,
    body: Buffer | undefined,
  ): Promise<boolean> {
    const { request, response, caller, url } = exchange;
    const { client, metrics, limits } = this.#options;
    const reply = await client.call(address, {
      method: request.method ?? "GET",
      path: `${url.pathname}${url.search}`,
      headers: passedHeaders(request.headers, {
        drop: ["host", "content-length", "expect"],
        add: { [HOP_HEADER]: String(caller.hops + 1) },
      }),
      body,
      timeoutMilliseconds: Math.max(
        caller.deadlineMilliseconds ?? 0,
        limits.stopMilliseconds,
      ),
    });
    if (reply.isErr) {
      metrics.count("forward", reply.error.kind);
      if (reply.error.kind === "refused_not_run") return false;
      this.#refuse(response, reply.error);
      return true;
    }
    metrics.count("forward", "answered");
    await passAnswer(reply.value, response, {});
    return true;
  }

  async #body(exchange: Exchange): Promise<Buffer | undefined> {
    const { request, response } = exchange;
    const limit = this.#options.limits.bodyBytes;
    const body = await readBody(request, limit);
    if (body.isOk) return body.value;
    if (body.error === "too_large") {
      response.setHeader("connection", "close");
      this.#refuse(
        response,
        refused("body_too_large", `body, expected at most ${limit} bytes`),
      );
    }
    return undefined;
  }

  #service(
    { response }: Exchange,
    name: string,
    type: Service["type"],
  ): Service | undefined {
    const service = this.#options.routing().services.get(name);
    if (service?.type === type) return service;
    this.#refuse(
      response,
      refused(
        "unknown_service",
        `service ${JSON.stringify(name)}, expected the name of a ${type} ` +
          "service",
      ),
    );
    return undefined;
  }

  #deadline({ caller }: Exchange, service: Service): number {
    const now = this.#options.clock.now();
    return (
      caller.finishBy ??
      now + (caller.deadlineMilliseconds ?? service.timeoutMilliseconds)
    );
  }

  #admission(
    { caller }: Exchange,
    work: {
      readonly id: string;
      readonly tokens: number;
      readonly runMilliseconds: number;
      readonly deadline: number;
    },
  ): AdmissionRequest {
    return {
      id: work.id,
      workspace: caller.workspace.name,
      weight: caller.workspace.weight,
      priority: caller.workspace.priority,
      tokens: work.tokens,
      arrivedAt: this.#options.clock.now(),
      deadline: work.deadline,
      runMilliseconds: work.runMilliseconds,
      background: caller.finishBy !== undefined,
    };
  }

  #refuse(
    response: ServerResponse,
    outcome: ProblemOutcome,
    requestId?: string,
  ): void {
    this.#options.metrics.count("refusal", outcome.reason);
    sendProblem(response, outcome, requestId);
  }
}

const IN_DOUBT = inDoubt(
  "taken_over",
  "another host had the request and its end is not known",
);

const PROGRESS_LOST = inDoubt(
  "progress_lost",
  "the caller has more of the answer than was kept",
);

const VERDICT_OUTCOMES: Readonly<
  Record<KeyVerdict["kind"], (verdict: KeyVerdict) => ProblemOutcome>
> = {
  new: () => IN_DOUBT,
  known: (verdict) =>
    verdict.kind === "known" && verdict.record.status === "done"
      ? (forgottenOutcome("answer_expired") as ProblemOutcome)
      : IN_DOUBT,
  not_primary: () =>
    refused("slot_unavailable", "the slot has moved", RETRY_AFTER),
  history_lost: () =>
    inDoubt("slot_history_lost", "both holders of the key were lost"),
  key_expired: () =>
    inDoubt("key_expired", "the key is older than keys are remembered"),
  key_time_ahead: () =>
    refused("key_time_ahead", "time of the key, expected not the future"),
};

const CLAIM_OUTCOMES: Readonly<
  Record<"in_doubt" | "withdrawn", ProblemOutcome>
> = {
  in_doubt: IN_DOUBT,
  withdrawn: refused(
    "backup_unreachable",
    "the claim could not be recorded at a second host",
    RETRY_AFTER,
  ),
};

const CLIENT_ERRORS: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: "431 Request Header Fields Too Large",
  ERR_HTTP_REQUEST_TIMEOUT: "408 Request Timeout",
};

function runMilliseconds(
  chat: ChatRequest,
  speeds: {
    readonly promptTokenMilliseconds: number;
    readonly tokenMilliseconds: number;
  },
): number {
  return (
    chat.promptTokens * speeds.promptTokenMilliseconds +
    chat.maximumTokens * speeds.tokenMilliseconds
  );
}

function sendText(
  response: ServerResponse,
  status: number,
  text: string,
): void {
  response.writeHead(status, { "content-type": "text/plain" });
  response.end(`${text}\n`);
}
