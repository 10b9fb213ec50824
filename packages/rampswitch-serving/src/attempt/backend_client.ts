// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * HTTP client of backend servers: one pool of connections for each life of a
 * server, one request at a time on a connection.
 *
 * @module
 */
import { buildConnector, errors, Pool, type Dispatcher } from "undici";
import type { RawHeaders } from "../model/request.ts";

/** Why a send ended without a whole answer. */
export type SendFailure =
  /** No byte of the request left this host. */
  | "not_written"
  /** The connection ended, or what came on it is not HTTP. */
  | "lost";

/** What happens to a send. */
export interface SendListener {
  /** The request is being written to a connection. */
  written(): void;
  head(status: number, rawHeaders: RawHeaders): void;
  data(chunk: Buffer): void;
  /** The answer is whole. */
  ended(): void;
  failed(failure: SendFailure, detail: string): void;
}

/** A request to write. */
export interface OutgoingRequest {
  readonly method: string;
  readonly target: string;
  readonly headers: RawHeaders;
  readonly body: Buffer | undefined;
}

/** A send under way. */
export interface Send {
  /** Closes the connection; the listener hears nothing more. */
  abort(): void;
  pause(): void;
  resume(): void;
}

/**
 * Time for a connection to come up, in milliseconds. A few round trips within
 * a region and one lost packet; longer means that the server is out of reach.
 */
const CONNECT_MILLISECONDS = 500;

/** Safety margin below the idle time that a server tells, in milliseconds. */
const IDLE_MARGIN_MILLISECONDS = 700;

/** Idle time of connections whose server tells none, in milliseconds. */
const IDLE_MILLISECONDS = 4_000;

/** Connections to one server at its address. */
interface AddressPool {
  readonly address: string;
  readonly pool: Pool;
}

/** Pools of connections to all backend servers. */
export class BackendClient implements AsyncDisposable {
  readonly #pools = new Map<string, AddressPool>();
  readonly #ends = new ConnectionEnds();

  /** Sends a request to a server. */
  send(
    server: { readonly id: string; readonly address: string },
    request: OutgoingRequest,
    listener: SendListener,
  ): Send {
    const handler = new SendHandler(listener, this.#ends);
    this.#pool(server).dispatch(
      {
        method: request.method,
        path: request.target,
        headers: [...request.headers],
        body: request.body ?? null,
      },
      handler,
    );
    return handler;
  }

  /** Closes idle connections of a server that is gone, or has another address. */
  forget(serverId: string): void {
    const known = this.#pools.get(serverId);
    if (known === undefined) return;
    this.#pools.delete(serverId);
    void known.pool.close();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await Promise.all(
      [...this.#pools.values()].map(({ pool }) => pool.destroy()),
    );
  }

  #pool({
    id,
    address,
  }: {
    readonly id: string;
    readonly address: string;
  }): Pool {
    const known = this.#pools.get(id);
    if (known?.address === address) return known.pool;
    this.forget(id);
    const pool = new Pool(`http://${address}`, {
      connections: null,
      pipelining: 1,
      connect: this.#ends.connector(),
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: IDLE_MILLISECONDS,
      keepAliveTimeoutThreshold: IDLE_MARGIN_MILLISECONDS,
    });
    this.#pools.set(id, { address, pool });
    return pool;
  }
}

/**
 * Tells whether the callback that runs now comes from the end of a connection.
 * undici takes that, a reset included, for the end of an answer without a
 * length. A server that is killed ends its connections in the same way, so such
 * an answer can't be told from half of one.
 */
class ConnectionEnds {
  #ending = false;

  /** Whether a connection's end is being handled. */
  get ending(): boolean {
    return this.#ending;
  }

  /** Opens connections whose ends are seen before undici sees them. */
  connector(): buildConnector.connector {
    const open = buildConnector({ timeout: CONNECT_MILLISECONDS });
    return (options, callback) =>
      open(options, (...result) => {
        const [, socket] = result;
        socket?.on("error", () => this.#note());
        socket?.on("end", () => this.#note());
        callback(...result);
      });
  }

  #note(): void {
    this.#ending = true;
    queueMicrotask(() => {
      this.#ending = false;
    });
  }
}

/** Passes undici's callbacks on until the send is aborted. */
class SendHandler implements Dispatcher.DispatchHandler, Send {
  readonly #listener: SendListener;
  readonly #ends: ConnectionEnds;
  #controller: Dispatcher.DispatchController | undefined;
  #silent = false;

  constructor(listener: SendListener, ends: ConnectionEnds) {
    this.#listener = listener;
    this.#ends = ends;
  }

  abort(): void {
    this.#silent = true;
    this.#controller?.abort(new errors.RequestAbortedError("not needed"));
  }

  pause(): void {
    this.#controller?.pause();
  }

  resume(): void {
    this.#controller?.resume();
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.#controller = controller;
    if (this.#silent) controller.abort(new errors.RequestAbortedError());
    else this.#listener.written();
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    statusCode: number,
  ): void {
    if (this.#silent || statusCode < FINAL_STATUS) return;
    this.#listener.head(statusCode, textOf(controller.rawHeaders));
  }

  onResponseData(
    _controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    if (!this.#silent) this.#listener.data(chunk);
  }

  onResponseEnd(): void {
    if (this.#silent) return;
    if (this.#ends.ending) this.#listener.failed("lost", "no length, no end");
    else this.#listener.ended();
  }

  onResponseError(
    _controller: Dispatcher.DispatchController,
    error: Error,
  ): void {
    if (this.#silent) return;
    this.#silent = true;
    const written = this.#controller !== undefined;
    this.#listener.failed(written ? "lost" : "not_written", error.message);
  }
}

const FINAL_STATUS = 200;

function textOf(headers: unknown): RawHeaders {
  return Array.isArray(headers)
    ? headers.map((part) =>
        Buffer.isBuffer(part) ? part.toString("latin1") : String(part),
      )
    : [];
}
