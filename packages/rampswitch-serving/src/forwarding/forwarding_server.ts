// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The listener for requests that other hosts forward: sends each of them to the
 * backend server that it names, over this host's own links, and never on to a third
 * host.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import {
  abortResponse,
  BoundedServer,
  type Clock,
  handleInBackground,
  type IntakeBudgets,
  isFinalStatus,
  listen,
  type Listening,
  type Logger,
} from "rampswitch-utils";
import {
  framingOf,
  type Send,
  type SendListener,
  type ServerAddress,
} from "../attempt/mod.ts";
import { headerValue } from "../model/request.ts";
import type { ServingMetrics } from "../observation/mod.ts";
import {
  FORWARDING_HEADERS,
  type NotSentReason,
  withoutHopHeaders,
} from "./forwarding_protocol.ts";
import { LoopLoad } from "./loop_load.ts";
import type { DirectClient } from "./server_client.ts";

/** Maximum header bytes of the parser; callers' headers and those of the hop. */
const MAXIMUM_HEADER_BYTES = 66 * 1024;

/** The part of the process's descriptors that other hosts may take. */
const DESCRIPTOR_SHARE = 1 / 8;

/** Maximum number of forwarded requests in progress. */
const MAXIMUM_REQUESTS = 256;

/** The same while the event loop of this host is saturated. */
const MAXIMUM_REQUESTS_WHILE_SATURATED = 16;

/** Maximum bytes of the bodies of forwarded requests in progress. */
const MAXIMUM_BODY_BYTES = 16 * 1024 * 1024;

/**
 * Time within which a connection to the server comes up, in milliseconds. The host that
 * forwards the request has waited as long itself.
 */
const CONNECT_MILLISECONDS = 150;

/** Time after which a connection without any bytes is closed, in milliseconds. */
const IDLE_MILLISECONDS = 60_000;

/** Time of silence before the first keep-alive probe of a connection, in milliseconds. */
const PROBE_MILLISECONDS = 1_000;

const NOT_SENT_STATUS = 503;

/** Dependencies of the listener. */
export interface ForwardingServerParts {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: ServingMetrics;
  readonly client: DirectClient;
  readonly intake: IntakeBudgets;
  /** Whether an IP address belongs to a host of the fleet. */
  isHostAddress(ip: string): boolean;
  /** A listed backend server. */
  serverOf(id: string): ServerAddress | undefined;
  /** Whether a listed server may be taken for its listed incarnation. */
  confirms(id: string): Promise<boolean>;
  /** Has a run stopped that the host which forwarded it has given up. */
  stopRun(run: ForwardedRun): void;
  /** Whether this host starts no more requests. */
  stopping(): boolean;
}

/** A run that this host has sent to a server for another host. */
export interface ForwardedRun {
  readonly attemptId: string;
  readonly server: string;
  /** Whether the request may still wait at the server, since nothing of it was heard. */
  readonly mayWait: boolean;
  /** The server at which this host has the request now, if any. */
  present(): string | undefined;
}

/** A request that another host forwards. */
interface Forwarded {
  readonly server: ServerAddress;
  readonly attemptId: string;
  readonly from: string;
  /** Whether only the listed incarnation of the server may get it. */
  readonly needsConfirmation: boolean;
}

/** The listener for forwarded requests. */
export class ForwardingServer {
  readonly #parts: ForwardingServerParts;
  readonly #server: BoundedServer;
  readonly #load = new LoopLoad();
  /** Servers of the forwarded sends in progress, by attempt. */
  readonly #serversByAttempt = new Map<string, string>();
  /** Forwarded runs that the hosts which forwarded them stop themselves. */
  readonly #stoppedByHosts = new Set<string>();
  #inProgress = 0;
  #bodyBytes = 0;

  constructor(parts: ForwardingServerParts) {
    this.#parts = parts;
    this.#server = new BoundedServer(
      {
        budgets: parts.intake,
        connectionShare: DESCRIPTOR_SHARE,
        headerBytes: () => MAXIMUM_HEADER_BYTES,
        maxHeaderSize: MAXIMUM_HEADER_BYTES,
        noDelay: true,
      },
      {
        request: (incoming, response) =>
          handleInBackground("forwarded request", parts, {
            response,
            handle: () => this.#receive(incoming, response),
          }),
        refused: (incoming, response) =>
          this.#refuse(response, forwardedOf(incoming), "busy"),
      },
    );
    const { http } = this.#server;
    http.on("connection", (socket) => {
      // A host that was lost must not hold a run of its request for ever.
      socket.setKeepAlive(true, PROBE_MILLISECONDS);
      socket.setTimeout(IDLE_MILLISECONDS, () => socket.destroy());
    });
    http.on("clientError", (_error, socket) => socket.destroy());
  }

  /** Number of forwarded requests that are being read or served. */
  get inProgress(): number {
    return this.#inProgress;
  }

  /** Starts to listen on an address. */
  listen(address: string): Promise<Listening> {
    return listen(this.#server.http, address);
  }

  async #receive(
    incoming: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    response.sendDate = false;
    const forwarded = forwardedOf(incoming);
    if (headerValue(incoming.rawHeaders, FORWARDING_HEADERS.ownStop)) {
      this.#noteOwnStop(incoming, response);
      return;
    }
    const refusal = this.#refusal(incoming, forwarded);
    if (refusal !== undefined) {
      this.#refuse(response, forwarded, refusal);
      return;
    }
    this.#inProgress += 1;
    response.once("close", () => {
      this.#inProgress -= 1;
    });
    const bytesLeft = MAXIMUM_BODY_BYTES - this.#bodyBytes;
    const body = await this.#server.readBody(incoming, bytesLeft);
    if (body.isErr) {
      if (body.error === "cut_off") return;
      this.#server.endAfterAnswer(incoming);
      this.#refuse(response, forwarded, "body_too_large");
      return;
    }
    if (!(await this.#isConfirmed(forwarded))) {
      this.#refuse(response, forwarded, "unconfirmed_server");
      return;
    }
    if (response.destroyed) return;
    // The stop may have begun while the request was read or its server was asked.
    if (this.#parts.stopping()) {
      this.#refuse(response, forwarded, "stopping");
      return;
    }
    const { length } = body.value;
    this.#bodyBytes += length;
    response.once("close", () => {
      this.#bodyBytes -= length;
    });
    this.#send(incoming, { response, forwarded, body: body.value });
  }

  /** Leaves the stop of a run that is in progress here to the host that forwarded it. */
  #noteOwnStop(
    { socket, rawHeaders }: IncomingMessage,
    response: ServerResponse,
  ): void {
    const value = (name: string) => headerValue(rawHeaders, name) ?? "";
    const attemptId = value(FORWARDING_HEADERS.ownStop);
    const server = value(FORWARDING_HEADERS.server);
    const isKnown =
      this.#parts.isHostAddress(socket.remoteAddress ?? "") &&
      this.#serversByAttempt.get(attemptId) === server;
    if (isKnown) this.#stoppedByHosts.add(runKey(attemptId, server));
    response.writeHead(isKnown ? 204 : NOT_SENT_STATUS).end();
  }

  #refusal(
    { socket }: IncomingMessage,
    { server }: Forwarded,
  ): NotSentReason | undefined {
    const parts = this.#parts;
    if (!parts.isHostAddress(socket.remoteAddress ?? "")) return "unknown_host";
    const listed = parts.serverOf(server.id);
    if (listed?.address !== server.address) return "unknown_server";
    // The later incarnation may be of another version.
    if (isLater(listed, server)) return "unknown_server";
    if (parts.stopping()) return "stopping";
    if (parts.client.isOutOfReach(server.id)) return "out_of_reach";
    const isBusy =
      this.#inProgress >= MAXIMUM_REQUESTS ||
      this.#bodyBytes >= MAXIMUM_BODY_BYTES ||
      (this.#load.isSaturated() &&
        this.#inProgress >= MAXIMUM_REQUESTS_WHILE_SATURATED);
    return isBusy ? "busy" : undefined;
  }

  /** Whether a server is still the incarnation that is meant, if that matters. */
  async #isConfirmed({
    server,
    needsConfirmation,
  }: Forwarded): Promise<boolean> {
    if (!needsConfirmation) return true;
    const isSame = await this.#parts.confirms(server.id);
    const listed = this.#parts.serverOf(server.id);
    return isSame && listed !== undefined && !isLater(listed, server);
  }

  #refuse(
    response: ServerResponse,
    { attemptId, from, server }: Forwarded,
    reason: NotSentReason,
  ): void {
    this.#parts.metrics.event(`forwarding_refused_${reason}`);
    this.#parts.logger.info("forwarded request not sent", {
      request: attemptId,
      from,
      server: server.id,
      reason,
    });
    if (response.destroyed) return;
    response.writeHead(NOT_SENT_STATUS, {
      [FORWARDING_HEADERS.outcome]: "not_sent",
      "Content-Length": reason.length,
    });
    response.end(reason);
  }

  #send(
    incoming: IncomingMessage,
    exchange: {
      readonly response: ServerResponse;
      readonly forwarded: Forwarded;
      readonly body: Buffer;
    },
  ): void {
    const { response, forwarded, body } = exchange;
    const { clock, client, metrics, logger } = this.#parts;
    const { server, attemptId, from } = forwarded;
    const sentAt = clock.now();
    const relay = new AnswerRelay(response, {
      notSent: () => this.#refuse(response, forwarded, "out_of_reach"),
    });
    const send = client.sendDirect(
      server,
      {
        attemptId,
        method: incoming.method ?? "",
        target: incoming.url ?? "",
        headers: withoutHopHeaders(incoming.rawHeaders, ["content-length"]),
        body: body.length === 0 ? undefined : body,
      },
      { listener: relay, connectMilliseconds: CONNECT_MILLISECONDS },
    );
    relay.start(send);
    metrics.event("forwarded_for_host");
    this.#serversByAttempt.set(attemptId, server.id);
    response.once("close", () => {
      this.#ended(forwarded, relay);
      logger.info("forwarded request ended", {
        request: attemptId,
        from,
        server: server.id,
        status: relay.status,
        whole: response.writableFinished,
        milliseconds: Math.round(clock.now() - sentAt),
      });
    });
  }

  /**
   * Has the run stopped if its answer was lost, or the other host has left, unless that
   * host stops it itself.
   */
  #ended({ attemptId, server }: Forwarded, relay: AnswerRelay): void {
    if (this.#serversByAttempt.get(attemptId) === server.id) {
      this.#serversByAttempt.delete(attemptId);
    }
    const isOthers = this.#stoppedByHosts.delete(runKey(attemptId, server.id));
    if (!relay.isWritten || relay.isComplete || isOthers) return;
    this.#parts.stopRun({
      attemptId,
      server: server.id,
      mayWait: relay.status === undefined,
      present: () => this.#serversByAttempt.get(attemptId),
    });
  }
}

/** Relays a server's answer to the host that forwarded the request. */
class AnswerRelay implements SendListener {
  readonly #response: ServerResponse;
  readonly #notSent: () => void;
  #send: Send | undefined;
  /** Status of the server's answer. */
  status: number | undefined;
  /** Whether the request was written to the server's connection. */
  isWritten = false;
  /** Whether the server's whole answer was received. */
  isComplete = false;

  constructor(
    response: ServerResponse,
    { notSent }: { readonly notSent: () => void },
  ) {
    this.#response = response;
    this.#notSent = notSent;
  }

  /** Ends the send when the other host leaves. */
  start(send: Send): void {
    this.#send = send;
    this.#response.once("close", () => {
      if (!this.#response.writableFinished) send.abort();
    });
    this.#response.on("drain", () => send.resume());
  }

  written(): void {
    // The host that forwards the request counts it as written from its own send on.
    this.isWritten = true;
  }

  head(status: number, rawHeaders: readonly string[]): void {
    this.status = status;
    if (!isFinalStatus(status)) {
      this.#send?.abort();
      abortResponse(this.#response);
      return;
    }
    const { method = "" } = this.#response.req;
    const framing = framingOf({ method, status, rawHeaders });
    this.#response.writeHead(status, [
      ...withoutHopHeaders(rawHeaders),
      FORWARDING_HEADERS.outcome,
      "answered",
      ...(framing === "framed" ? [] : [FORWARDING_HEADERS.framing, framing]),
    ]);
    this.#response.flushHeaders();
  }

  data(chunk: Buffer): void {
    if (!this.#response.write(chunk)) this.#send?.pause();
  }

  ended(): void {
    this.isComplete = true;
    this.#response.end();
  }

  failed(failure: "not_written" | "lost"): void {
    if (failure === "not_written") this.#notSent();
    // A connection that ends early is a lost send for the other host.
    else abortResponse(this.#response);
  }
}

/** Key of an attempt's run at a server. */
function runKey(attemptId: string, server: string): string {
  return JSON.stringify([attemptId, server]);
}

/** Whether a server is known to be a later incarnation than the one that is meant. */
function isLater(listed: ServerAddress, meant: ServerAddress): boolean {
  const { born = -Infinity } = listed;
  return born > (meant.born ?? Infinity);
}

/** Start of an incarnation; `undefined` if the host that forwards names none. */
function startOf(value: string): number | undefined {
  const born = Number(value);
  return value !== "" && Number.isFinite(born) ? born : undefined;
}

function forwardedOf({ rawHeaders }: IncomingMessage): Forwarded {
  const value = (name: string) => headerValue(rawHeaders, name) ?? "";
  const confirmedServer = value(FORWARDING_HEADERS.confirmedServer);
  return {
    server: {
      id: confirmedServer || value(FORWARDING_HEADERS.server),
      address: value(FORWARDING_HEADERS.address),
      born: startOf(value(FORWARDING_HEADERS.born)),
    },
    attemptId: value(FORWARDING_HEADERS.request),
    from: value(FORWARDING_HEADERS.host),
    needsConfirmation: confirmedServer !== "",
  };
}
