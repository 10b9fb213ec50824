// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * An HTTP server whose callers may send whatever they want: what it holds for one
 * connection, and for all connections of the process together, is bounded.
 *
 * @module
 */
import {
  createServer,
  type IncomingMessage,
  type RequestListener,
  type Server,
  type ServerOptions,
  type ServerResponse,
} from "node:http";
import type { Socket } from "node:net";
import type { Result } from "true-myth";
import { type BodyError, memoryOfBody, readBody } from "./body.ts";
import type { IntakeBudgets } from "./machine_limits.ts";
import type { Allowance } from "./memory_budget.ts";
import {
  announcedLength,
  type IntakeRefusal,
  memoryOfHead,
  PacedReading,
  type ReadingState,
} from "./paced_reading.ts";

/** Shortest header line, in bytes: a name of one character and no value. */
const SHORTEST_LINE_BYTES = 4;

/** Bytes of an ended answer that may wait for its caller without a charge. */
const UNREAD_BYTES = 16 * 1024;

const STATUS_BY_REFUSAL: Readonly<Record<IntakeRefusal, number>> = {
  head_too_large: 431,
  no_memory: 503,
};

/** How a server is run. */
export interface BoundedServerOptions extends ServerOptions {
  readonly budgets: IntakeBudgets;
  /** The part of the process's descriptors that its connections may take. */
  readonly connectionShare: number;
  /** Maximum size of a head, in bytes. */
  readonly headerBytes: () => number;
}

/** Limits of a single request. */
export interface RequestLimits {
  /** Maximum size of a head, in bytes. */
  readonly headerBytes: number;
  /** Maximum size of a body, in bytes. */
  readonly bodyBytes?: number;
}

/** What is done with requests. */
export interface BoundedServerHandlers {
  readonly request: RequestListener;
  /** Answers a request that is not accepted; by default with its status alone. */
  readonly refused?: (
    incoming: IncomingMessage,
    response: ServerResponse,
    refusal: IntakeRefusal,
  ) => void;
}

/** A server whose connections share the budgets of the process. */
export class BoundedServer {
  readonly http: Server;
  readonly #options: BoundedServerOptions;
  readonly #handlers: BoundedServerHandlers;
  /** Connections in the order in which they were opened or last answered. */
  readonly #readings = new Map<Socket, PacedReading>();
  /** Connections whose callers have answers to read, the oldest first. */
  readonly #unread = new Map<Socket, Allowance>();

  constructor(options: BoundedServerOptions, handlers: BoundedServerHandlers) {
    this.#options = options;
    this.#handlers = handlers;
    this.http = createServer(options, (incoming, response) =>
      this.begin(incoming, response),
    );
    this.limit({ headerBytes: options.headerBytes() });
    this.http.on("connection", (socket) => this.#connected(socket));
  }

  /**
   * Has single requests within limits fit, and applies that of heads to connections
   * that are opened from now on.
   */
  limit({ headerBytes, bodyBytes = 0 }: RequestLimits): void {
    const { heads, bodies } = this.#options.budgets;
    // Lines beyond it would be left out without a word, so no legal head has as many.
    const lines = Math.ceil(headerBytes / SHORTEST_LINE_BYTES);
    this.http.maxHeadersCount = lines;
    heads.fit(memoryOfHead(headerBytes, lines));
    bodies.fit(memoryOfBody(bodyBytes));
  }

  /** Reads a body within a limit and within the memory that is left for bodies. */
  readBody(
    incoming: IncomingMessage,
    limit: number,
  ): Promise<Result<Buffer, BodyError>> {
    return readBody(incoming, limit, {
      announced: announcedLength(incoming),
      memory: this.#readings.get(incoming.socket)?.bodyMemory,
    });
  }

  /** Has a request be the last one of its connection; its caller may still send. */
  endAfterAnswer({ socket }: IncomingMessage): void {
    this.#readings.get(socket)?.endAfterAnswer();
  }

  /** Has a request handled in its turn, or refused if it is not accepted. */
  begin(
    incoming: IncomingMessage,
    response: ServerResponse,
    handle: RequestListener = this.#handlers.request,
  ): void {
    const { socket } = incoming;
    response.once("prefinish", () => {
      // Until the next turn of the event loop the system has taken nothing of it.
      if (socket.writableLength > UNREAD_BYTES)
        setImmediate(() => this.#chargeUnread(socket));
    });
    response.once("close", () => this.#answered(socket));
    this.#readings.get(socket)?.begin(incoming, response, (refusal) => {
      if (refusal === undefined) handle(incoming, response);
      else this.#refuse(incoming, response, refusal);
    });
  }

  #refuse(
    incoming: IncomingMessage,
    response: ServerResponse,
    refusal: IntakeRefusal,
  ): void {
    this.endAfterAnswer(incoming);
    const refuse = this.#handlers.refused ?? answerIntakeRefusal;
    refuse(incoming, response, refusal);
  }

  #connected(socket: Socket): void {
    const { budgets, headerBytes, connectionShare } = this.#options;
    const maximum = budgets.descriptors * connectionShare;
    if (this.#readings.size >= maximum && !this.#makeRoom()) {
      socket.destroy();
      return;
    }
    const reading = new PacedReading(socket, {
      ...budgets,
      headerBytes,
      onLongHead: () => this.#rejectLongHead(socket),
    });
    this.#readings.set(socket, reading);
    socket.once("close", () => {
      this.#readings.delete(socket);
      this.#forgetUnread(socket);
    });
  }

  /** Closes the connection that can best be spared; `false` if none can be. */
  #makeRoom(): boolean {
    const spared = this.#oldest("idle") ?? this.#oldest("reading");
    spared?.destroy();
    if (spared !== undefined) this.#readings.delete(spared);
    return spared !== undefined;
  }

  #oldest(state: ReadingState): Socket | undefined {
    for (const [socket, reading] of this.#readings) {
      if (reading.state === state) return socket;
    }
    return undefined;
  }

  #rejectLongHead(socket: Socket): void {
    const error = Object.assign(new Error("head over its limit"), {
      code: "HPE_HEADER_OVERFLOW",
    });
    if (!this.http.emit("clientError", error, socket)) socket.destroy();
  }

  /** Charges what a caller hasn't read of its answer; the oldest such answers go. */
  #chargeUnread(socket: Socket): void {
    const { writableLength } = socket;
    if (writableLength <= UNREAD_BYTES || !this.#readings.has(socket)) return;
    const memory = this.#options.budgets.bodies.open();
    while (!memory.take(writableLength)) {
      const [oldest] = this.#unread.keys();
      if (oldest === undefined) break;
      // Without a length, its regular end would be that of the answer.
      oldest.resetAndDestroy();
      this.#forgetUnread(oldest);
    }
    this.#unread.set(socket, memory);
  }

  #answered(socket: Socket): void {
    this.#forgetUnread(socket);
    const reading = this.#readings.get(socket);
    if (reading === undefined) return;
    this.#readings.delete(socket);
    this.#readings.set(socket, reading);
  }

  #forgetUnread(socket: Socket): void {
    this.#unread.get(socket)?.[Symbol.dispose]();
    this.#unread.delete(socket);
  }
}

/** Answers a request that is not accepted with its status alone. */
export function answerIntakeRefusal(
  _incoming: IncomingMessage,
  response: ServerResponse,
  refusal: IntakeRefusal,
): void {
  response
    .writeHead(STATUS_BY_REFUSAL[refusal], {
      "content-length": 0,
      connection: "close",
    })
    .end();
}
