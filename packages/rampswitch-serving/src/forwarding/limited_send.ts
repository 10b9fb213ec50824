// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * A send that fails if its connection does not come up within a limit, although the
 * client would still wait for it.
 *
 * @module
 */
import type { Clock } from "rampswitch-utils";
import type {
  AnswerFraming,
  BackendClient,
  OutgoingRequest,
  Send,
  SendListener,
  ServerAddress,
} from "../attempt/mod.ts";

/** Failure of a connection that did not come up within the limit. */
const LATE_CONNECTION = "connection not up in time";

/** Parts of a limited send. */
export interface LimitedSendParts {
  readonly clock: Clock;
  readonly client: BackendClient;
  readonly listener: SendListener;
  readonly connectMilliseconds: number;
  /** Called when the request is written; returns a function for the end of the send. */
  watch(server: ServerAddress): () => void;
  /** Whether the limit still applies when it has passed. */
  mayFail(): boolean;
  /** Called when a connection is late. */
  onLate(server: string): void;
}

/** A send with a limit on the time until its request is written. */
export class LimitedSend implements Send, SendListener {
  readonly #parts: LimitedSendParts;
  readonly #server: ServerAddress;
  readonly #cancelLimit: () => void;
  readonly #send: Send;
  #isWritten = false;
  #unwatch: () => void = () => undefined;
  #ended = false;

  constructor(
    server: ServerAddress,
    request: OutgoingRequest,
    parts: LimitedSendParts,
  ) {
    this.#parts = parts;
    this.#server = server;
    this.#cancelLimit = parts.clock.after(parts.connectMilliseconds, () =>
      this.#checkLate(),
    );
    this.#send = parts.client.send(server, request, this);
  }

  abort(): void {
    this.#end();
    this.#send.abort();
  }

  pause(): void {
    this.#send.pause();
  }

  resume(): void {
    this.#send.resume();
  }

  written(): void {
    this.#isWritten = true;
    this.#cancelLimit();
    this.#unwatch = this.#parts.watch(this.#server);
    this.#parts.listener.written();
  }

  head(status: number, rawHeaders: readonly string[]): void {
    this.#parts.listener.head(status, rawHeaders);
  }

  data(chunk: Buffer): void {
    this.#parts.listener.data(chunk);
  }

  ended(framing: AnswerFraming): void {
    this.#end();
    this.#parts.listener.ended(framing);
  }

  failed(failure: "not_written" | "lost", detail: string): void {
    this.#end();
    this.#parts.listener.failed(failure, detail);
  }

  #end(): void {
    this.#ended = true;
    this.#cancelLimit();
    this.#unwatch();
  }

  #checkLate(): void {
    if (this.#isWritten || this.#ended || !this.#parts.mayFail()) return;
    this.abort();
    this.#parts.onLate(this.#server.id);
    this.#parts.listener.failed("not_written", LATE_CONNECTION);
  }
}
