// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * HTTP client for backend servers, with one connection pool for each incarnation
 * of a server and one request at a time on each connection.
 *
 * @module
 */
import type { Socket } from "node:net";
import {
  isInformationalStatus,
  isOpen,
  RESET_CODE,
  takesConnections,
  withBoundedReading,
  withCorrectEnds,
} from "rampswitch-utils";
import { buildConnector, errors, Pool, type Dispatcher } from "undici";
import type { RawHeaders } from "../model/request.ts";
import {
  type AnswerFraming,
  END_DOUBTS,
  type EndDoubt,
  framingOf,
} from "./answer_end.ts";
import {
  type ContactLoss,
  OpenConnections,
  type ServerContact,
} from "./open_connections.ts";

/** Why a send ended without a complete answer. */
export type SendFailure =
  /** No byte of the request was sent. */
  | "not_written"
  /** The connection ended, or the data received on it is not HTTP. */
  | "lost";

/** Receives the events of a send. */
export interface SendListener {
  /** The request is being written to a connection. */
  written(): void;
  head(status: number, rawHeaders: RawHeaders): void;
  data(chunk: Buffer): void;
  /** The answer has ended; one without framing may have been cut short. */
  ended(framing: AnswerFraming): void;
  failed(failure: SendFailure, detail: string): void;
}

/** A backend server as sends name it. */
export interface ServerAddress {
  readonly id: string;
  /** IP address and port. */
  readonly address: string;
  /** Start of its incarnation, in milliseconds since 1970, if it is known. */
  readonly born?: number | undefined;
}

/** A request to send to a server. */
export interface OutgoingRequest {
  /** Id of the caller's attempt, for log lines. */
  readonly attemptId?: string | undefined;
  readonly method: string;
  readonly target: string;
  readonly headers: RawHeaders;
  readonly body: Buffer | undefined;
  /**
   * Whether only the server's listed incarnation may get it. A host that sends it for
   * another one asks the server first.
   */
  readonly needsConfirmation?: boolean;
}

/** A send in progress. */
export interface Send {
  /** Closes the connection; the listener is not called any more. */
  abort(): void;
  pause(): void;
  resume(): void;
}

/**
 * Connection timeout, in milliseconds. It allows for a few round trips within a
 * region and one lost packet; a server that takes longer is unreachable.
 */
const CONNECT_MILLISECONDS = 500;

/** Margin subtracted from the idle timeout that a server advertises, in milliseconds. */
const IDLE_MARGIN_MILLISECONDS = 700;

/** Idle timeout of connections whose server advertises none, in milliseconds. */
const IDLE_MILLISECONDS = 4_000;

/** The connection pool of one server, and the address that it connects to. */
interface AddressPool {
  readonly address: string;
  readonly pool: Pool;
  /** Connections of the pool that are not closed. */
  readonly connections: OpenConnections;
}

/**
 * Asks whether the process at a server's address is still the one that a request was
 * sent to. Resolves to `true` also if the answer is not known.
 */
export type IncarnationCheck = () => Promise<boolean>;

const NO_CHECK: IncarnationCheck = () => Promise.resolve(true);

/** Opens a connection to a backend server. */
export type ServerConnector = buildConnector.connector;

/** Is notified of what this host notices of the servers' connections. */
export interface ContactObserver {
  /** Bytes of a server arrived, or a connection to it came up. */
  heard(server: string): void;
  /** No connection to a server came up. */
  connectionFailed(server: string, detail: string): void;
  /** A connection to a server ended before it answered a request. */
  connectionLost(server: string): void;
}

const NO_OBSERVER: ContactObserver = {
  heard: () => undefined,
  connectionFailed: () => undefined,
  connectionLost: () => undefined,
};

/** Sends requests to backend servers through one connection pool per server. */
export class BackendClient implements AsyncDisposable {
  readonly #pools = new Map<string, AddressPool>();
  readonly #connect: ServerConnector;
  readonly #contacts: ContactObserver;
  readonly #localAddress: string | undefined;
  readonly #watchIncarnation: (server: ServerAddress) => IncarnationCheck;
  readonly #onLoss: (server: ServerAddress, loss: ContactLoss) => void;

  constructor(
    options: {
      readonly contacts?: ContactObserver;
      readonly connector?: ServerConnector | undefined;
      /** Connection timeout of the usual connector, in milliseconds. */
      readonly connectMilliseconds?: number;
      /** IP address from which it connects; the system's choice by default. */
      readonly localAddress?: string;
      /** Called with each send; the check is made where the end of its answer is unsure. */
      readonly watchIncarnation?: (server: ServerAddress) => IncarnationCheck;
      /** Called when the process of a server may have ended. */
      readonly onLoss?: (server: ServerAddress, loss: ContactLoss) => void;
    } = {},
  ) {
    this.#contacts = options.contacts ?? NO_OBSERVER;
    this.#localAddress = options.localAddress;
    this.#watchIncarnation = options.watchIncarnation ?? (() => NO_CHECK);
    this.#onLoss = options.onLoss ?? (() => undefined);
    this.#connect = withBoundedReading(
      withCorrectEnds(
        options.connector ??
          buildConnector({
            timeout: options.connectMilliseconds ?? CONNECT_MILLISECONDS,
          }),
      ),
    );
  }

  /** Sends a request to a server. */
  send(
    server: ServerAddress,
    request: OutgoingRequest,
    listener: SendListener,
  ): Send {
    const { pool, connections } = this.#pool(server);
    const isSameIncarnation = this.#watchIncarnation(server);
    const handler = new SendHandler(listener, {
      method: request.method,
      contact: { server: server.id, contacts: this.#contacts, connections },
      doubtAboutServer: (openAtHead) =>
        this.#doubtAbout(server, { openAtHead, isSameIncarnation }),
    });
    pool.dispatch(
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

  /** The present contact with a server; `undefined` without an open connection. */
  contact(serverId: string): ServerContact | undefined {
    return this.#pools.get(serverId)?.connections.contact;
  }

  /** Closes the idle connections of a server that has ended or changed its address. */
  forget(serverId: string): void {
    const known = this.#pools.get(serverId);
    if (known === undefined) return;
    this.#pools.delete(serverId);
    closePool(known.pool);
  }

  /**
   * Uses the present connections of some servers for no further requests. Those in
   * progress go on.
   */
  renewPools(isRenewed: (serverId: string) => boolean): void {
    [...this.#pools.keys()]
      .filter(isRenewed)
      .forEach((serverId) => this.forget(serverId));
  }

  /** Whether a new connection to a server comes up; it is closed at once. */
  connects({ id, address }: ServerAddress): Promise<boolean> {
    return takesConnections(this.#connectTo(id), address);
  }

  /**
   * Whether the process has ended that gave an answer without a length. The end of a
   * process ends its connections in the same way as the end of an answer. One that is
   * open since the answer began shows that the process lives on, while a later one may be
   * with the next process; without any, it is asked.
   */
  async #doubtAbout(
    server: ServerAddress,
    {
      openAtHead,
      isSameIncarnation,
    }: {
      readonly openAtHead: readonly Socket[];
      readonly isSameIncarnation: IncarnationCheck;
    },
  ): Promise<EndDoubt | undefined> {
    if (!(await this.connects(server))) return "server_gone";
    if (openAtHead.some(isOpen)) return undefined;
    return (await isSameIncarnation()) ? undefined : "server_started_again";
  }

  async [Symbol.asyncDispose](): Promise<void> {
    const pools = [...this.#pools.values()];
    this.#pools.clear();
    await Promise.all(pools.map(({ pool }) => pool.destroy()));
  }

  #pool(server: ServerAddress): AddressPool {
    const { id, address } = server;
    const known = this.#pools.get(id);
    if (known?.address === address) return known;
    this.forget(id);
    const connections = new OpenConnections((loss) =>
      this.#onLoss(server, loss),
    );
    const pool = new Pool(`http://${address}`, {
      connections: null,
      pipelining: 1,
      connect: this.#connectTo(id, connections),
      ...(this.#localAddress && { localAddress: this.#localAddress }),
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: IDLE_MILLISECONDS,
      keepAliveTimeoutThreshold: IDLE_MARGIN_MILLISECONDS,
    });
    const addressPool = { address, pool, connections };
    this.#pools.set(id, addressPool);
    return addressPool;
  }

  /** Opens connections to a server, and reports that they came up. */
  #connectTo(server: string, connections?: OpenConnections): ServerConnector {
    return (options, callback) =>
      this.#connect(options, (...result) => {
        // undici calls back without a socket on an error, although its types say null.
        if (result[0] === null) {
          this.#contacts.heard(server);
          connections?.add(result[1]);
        } else connections?.failed(result[0]);
        callback(...result);
      });
  }
}

/** Closes a pool; one that is destroyed already has nothing left to close. */
function closePool(pool: Pool): void {
  pool.close().catch(() => undefined);
}

/**
 * Why a server may have ended within an answer, judged by the connections that were open
 * when the answer began.
 */
type DoubtCheck = (
  openAtHead: readonly Socket[],
) => Promise<EndDoubt | undefined>;

/** Forwards undici's callbacks to a listener until the send is aborted. */
class SendHandler implements Dispatcher.DispatchHandler, Send {
  readonly #listener: SendListener;
  readonly #method: string;
  readonly #contact: Contact;
  readonly #doubtAboutServer: DoubtCheck;
  #controller: Dispatcher.DispatchController | undefined;
  #aborted = false;
  #answered = false;
  /** How the answer marks its end, by its head. */
  #framing: AnswerFraming = "framed";
  /** Connections to the server that were open when an unframed answer began. */
  #openAtHead: readonly Socket[] = [];
  #informationalHeads = 0;
  #pieces = 0;
  /** Whether the listener takes no data for now. */
  #isPaused = false;
  /** Whether other events come first. */
  #yields = false;

  constructor(
    listener: SendListener,
    {
      method,
      contact,
      doubtAboutServer,
    }: {
      readonly method: string;
      readonly contact: Contact;
      readonly doubtAboutServer: DoubtCheck;
    },
  ) {
    this.#listener = listener;
    this.#method = method;
    this.#contact = contact;
    this.#doubtAboutServer = doubtAboutServer;
  }

  abort(): void {
    this.#aborted = true;
    this.#controller?.abort(
      new errors.RequestAbortedError("the send is not needed any more"),
    );
  }

  pause(): void {
    this.#isPaused = true;
    this.#controller?.pause();
  }

  resume(): void {
    this.#isPaused = false;
    if (!this.#yields) this.#controller?.resume();
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.#controller = controller;
    if (this.#aborted) controller.abort(new errors.RequestAbortedError());
    else this.#listener.written();
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    statusCode: number,
  ): void {
    this.#answered = true;
    this.#heard();
    if (this.#aborted) return;
    if (isInformationalStatus(statusCode)) {
      this.#countInformationalHead(controller);
      return;
    }
    const rawHeaders = decodeHeaders(controller.rawHeaders);
    const head = { method: this.#method, status: statusCode, rawHeaders };
    this.#framing = framingOf(head);
    const { connections } = this.#contact;
    if (this.#framing === "unframed") this.#openAtHead = connections.open;
    connections.answered(rawHeaders, this.#framing);
    this.#listener.head(statusCode, rawHeaders);
  }

  #countInformationalHead(controller: Dispatcher.DispatchController): void {
    this.#informationalHeads += 1;
    if (this.#informationalHeads <= MAXIMUM_INFORMATIONAL_HEADS) return;
    controller.abort(new Error("too many informational heads"));
  }

  onResponseData(
    _controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    // After a pause undici gives an empty chunk, for which nothing may pause again.
    if (chunk.length === 0) return;
    this.#heard();
    if (this.#aborted) return;
    this.#listener.data(chunk);
    this.#pieces += 1;
    if (this.#pieces % PIECES_PER_TURN === 0) this.#yield();
  }

  /** Lets other events be handled before further pieces of this answer. */
  #yield(): void {
    this.#yields = true;
    this.#controller?.pause();
    setImmediate(() => {
      this.#yields = false;
      if (!this.#isPaused && !this.#aborted) this.#controller?.resume();
    });
  }

  onResponseEnd(): void {
    if (this.#aborted) return;
    if (this.#framing === "framed") this.#listener.ended("framed");
    else this.#endUnframed();
  }

  /** Ends an answer without a length, unless its server may have ended within it. */
  #endUnframed(): void {
    const ended = (doubt: EndDoubt | undefined) => {
      if (this.#aborted) return;
      if (doubt === undefined) this.#listener.ended("unframed");
      else this.#listener.failed("lost", END_DOUBTS[doubt]);
    };
    this.#doubtAboutServer(this.#openAtHead).then(ended, () =>
      ended("server_gone"),
    );
  }

  onResponseError(
    _controller: Dispatcher.DispatchController,
    error: Error,
  ): void {
    const written = this.#controller !== undefined;
    this.#reportFailure(written, error);
    if (this.#aborted) return;
    this.#aborted = true;
    const wasReset = (error as NodeJS.ErrnoException).code === RESET_CODE;
    const detail =
      wasReset && this.#framing === "unframed"
        ? END_DOUBTS.reset
        : error.message;
    this.#listener.failed(written ? "lost" : "not_written", detail);
  }

  #heard(): void {
    const { server, contacts } = this.#contact;
    contacts.heard(server);
  }

  #reportFailure(written: boolean, error: Error): void {
    const { server, contacts } = this.#contact;
    if (!written) contacts.connectionFailed(server, error.message);
    else if (!this.#answered && !this.#aborted && !isNoAnswer(error))
      contacts.connectionLost(server);
  }
}

/** Whether bytes came that are no answer: the way to their server is not lost. */
function isNoAnswer(error: Error): boolean {
  return error instanceof errors.HTTPParserError;
}

/** A server, its connections, and the observer of these. */
interface Contact {
  readonly server: string;
  readonly contacts: ContactObserver;
  readonly connections: OpenConnections;
}

/**
 * Number of pieces of an answer that are handled before other events. A piece may have
 * a single byte, and a server may send them as fast as the link allows.
 */
const PIECES_PER_TURN = 500;

/** Maximum number of such heads before an answer; a server needs one or two. */
const MAXIMUM_INFORMATIONAL_HEADS = 16;

/** Decodes undici's raw headers to text. */
function decodeHeaders(headers: unknown): RawHeaders {
  return Array.isArray(headers)
    ? headers.map((part) =>
        Buffer.isBuffer(part) ? part.toString("latin1") : String(part),
      )
    : [];
}
