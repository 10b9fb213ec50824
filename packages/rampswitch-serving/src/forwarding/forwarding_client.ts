// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Sends requests for backend servers through other hosts.
 *
 * @module
 */
import type { Clock } from "rampswitch-utils";
import {
  type AnswerFraming,
  BackendClient,
  type OutgoingRequest,
  type Send,
  type SendListener,
  type ServerAddress,
} from "../attempt/mod.ts";
import { headerValue } from "../model/request.ts";
import {
  FORWARDING_HEADERS,
  withoutHopHeaders,
} from "./forwarding_protocol.ts";
import { forwardedEvents } from "./forwarded_events.ts";

/**
 * Connection timeout to another host, in milliseconds: some round trips within a
 * region. A host that takes longer is replaced by another one.
 */
const CONNECT_MILLISECONDS = 150;

/** Maximum time for the answer to an announced stop, in milliseconds. */
const ANNOUNCEMENT_MILLISECONDS = 150;

/** Maximum length of a reason that another host gives, in bytes. */
const MAXIMUM_REASON_BYTES = 200;

/** Another host that may forward requests. */
export interface ForwardingHost {
  readonly name: string;
  /** IP address and port of its forwarding server. */
  readonly address: string;
  readonly dataHall: string;
}

/** One send through another host. */
export interface ForwardedSend {
  readonly through: ForwardingHost;
  readonly server: ServerAddress;
  readonly request: OutgoingRequest;
}

/** A run that this host orders to stop. */
export interface OwnStop {
  readonly attemptId: string;
  /** Address of the server that runs the request. */
  readonly address: string;
}

/** Sends requests through other hosts. */
export class ForwardingClient implements AsyncDisposable {
  readonly #host: string;
  readonly #clock: Clock;
  readonly #client: BackendClient;
  /** Sends in progress. */
  readonly #open = new Set<ForwardedSend>();

  /** Takes the name of this host, and the IP address by which the others know it. */
  constructor({
    host,
    ip,
    clock,
  }: {
    readonly host: string;
    readonly ip: string;
    readonly clock: Clock;
  }) {
    this.#host = host;
    this.#clock = clock;
    this.#client = new BackendClient({
      connectMilliseconds: CONNECT_MILLISECONDS,
      localAddress: ip,
    });
  }

  /**
   * Sends a request through another host. It is `not_written` also if the other host
   * has it and did not send it to the server.
   */
  send(forwarded: ForwardedSend, listener: SendListener): Send {
    const { through, server, request } = forwarded;
    const close = () => this.#open.delete(forwarded);
    const answer = new ForwardedAnswer(
      {
        ...forwardedEvents(listener),
        ended: (framing) => {
          close();
          listener.ended(framing);
        },
        failed: (failure, detail) => {
          close();
          listener.failed(failure, detail);
        },
      },
      () => send.abort(),
    );
    this.#open.add(forwarded);
    const send = this.#client.send(
      { id: through.name, address: through.address },
      {
        ...request,
        headers: [
          ...request.headers,
          request.needsConfirmation
            ? FORWARDING_HEADERS.confirmedServer
            : FORWARDING_HEADERS.server,
          server.id,
          FORWARDING_HEADERS.address,
          server.address,
          ...(server.born === undefined
            ? []
            : [FORWARDING_HEADERS.born, String(server.born)]),
          FORWARDING_HEADERS.request,
          request.attemptId ?? "",
          FORWARDING_HEADERS.host,
          this.#host,
        ],
      },
      answer,
    );
    return {
      abort: () => {
        close();
        send.abort();
      },
      pause: () => send.pause(),
      resume: () => send.resume(),
    };
  }

  /**
   * Announces the stop of a run to the hosts that its answer comes through. Resolves
   * when they know, or after a short time.
   */
  async announceStop({ attemptId, address }: OwnStop): Promise<void> {
    const sends = [...this.#open].filter(
      ({ server, request }) =>
        server.address === address && request.attemptId === attemptId,
    );
    await Promise.all(sends.map((send) => this.#announce(send)));
  }

  #announce({ through, server, request }: ForwardedSend): Promise<void> {
    return new Promise((resolve) => {
      const announcement: { send?: Send } = {};
      const cancelLimit = this.#clock.after(ANNOUNCEMENT_MILLISECONDS, () => {
        announcement.send?.abort();
        resolve();
      });
      const end = () => {
        cancelLimit();
        resolve();
      };
      // The listener may be called before the send returns.
      announcement.send = this.#client.send(
        { id: through.name, address: through.address },
        {
          method: "POST",
          target: "/",
          headers: [
            FORWARDING_HEADERS.ownStop,
            request.attemptId ?? "",
            FORWARDING_HEADERS.server,
            server.id,
          ],
          body: undefined,
        },
        {
          written: () => undefined,
          head: () => undefined,
          data: () => undefined,
          ended: end,
          // A host that does not learn of it stops the run too, as after a loss.
          failed: end,
        },
      );
    });
  }

  [Symbol.asyncDispose](): Promise<void> {
    return this.#client[Symbol.asyncDispose]();
  }
}

/** Distinguishes an answer of the server from one of the forwarding host itself. */
class ForwardedAnswer implements SendListener {
  readonly #listener: SendListener;
  readonly #abort: () => void;
  #reason: Buffer | undefined;
  /** How the server's own answer was framed. */
  #framing: AnswerFraming = "framed";

  constructor(listener: SendListener, abort: () => void) {
    this.#listener = listener;
    this.#abort = abort;
  }

  written(): void {
    this.#listener.written();
  }

  head(status: number, rawHeaders: readonly string[]): void {
    const outcome = headerValue(rawHeaders, FORWARDING_HEADERS.outcome);
    if (outcome === "answered") {
      const framing = headerValue(rawHeaders, FORWARDING_HEADERS.framing);
      if (framing === "unframed") this.#framing = framing;
      this.#listener.head(status, withoutHopHeaders(rawHeaders));
    } else if (outcome === "not_sent") {
      this.#reason = Buffer.alloc(0);
    } else {
      this.#abort();
      this.#listener.failed("lost", "answer of a host names no outcome");
    }
  }

  data(chunk: Buffer): void {
    if (this.#reason === undefined) {
      this.#listener.data(chunk);
      return;
    }
    const reason = Buffer.concat([this.#reason, chunk]);
    this.#reason = reason.subarray(0, MAXIMUM_REASON_BYTES);
    if (reason.length <= MAXIMUM_REASON_BYTES) return;
    // What follows is no reason, and may have no end.
    this.#abort();
    this.ended();
  }

  ended(): void {
    if (this.#reason === undefined) this.#listener.ended(this.#framing);
    else this.#listener.failed("not_written", this.#reason.toString("utf8"));
  }

  failed(failure: "not_written" | "lost", detail: string): void {
    // The head shows that the server got nothing, even if the body is missing.
    const notSent = this.#reason !== undefined;
    this.#listener.failed(notSent ? "not_written" : failure, detail);
  }
}
