// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Hands the bytes of a server's connection to the HTTP parser a piece at a time. The
 * parser makes all requests that it is given at once, also after their connection was
 * destroyed, and a connection brings thousands in one read. Here it is given the bytes
 * of one request and of the head behind it, which shows whether the connection can be
 * trusted; the rest follows once the first is answered. And it is given no more of a head
 * or of a chunked body in one turn of the event loop than others can wait for.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { Allowance, MemoryBudget } from "./memory_budget.ts";
import type { Reading, ReadingTurns } from "./reading_turns.ts";

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/** Lines that the parser is given at once; usual heads have fewer. */
const LINES_PER_PIECE = 256;

/** Bytes without lines whose parsing takes as long as that of a line. */
const BYTES_PER_WORK = 4_096;

/** Work of a request beside its lines. */
const WORK_PER_REQUEST = 64;

/** Bytes that wait for the parser, from which on no more are read. */
const WAITING_BYTES = 16 * 1024;

/** Memory that a header line takes beside its bytes, in bytes. */
const LINE_MEMORY_BYTES = 256;

/** Maximum number of bytes that are read and discarded after a last answer. */
const DISCARDED_BYTES = 1024 * 1024;

/** Time for a caller to read a last answer, in milliseconds. */
const LINGER_MILLISECONDS = 1_000;

const NO_BYTES: Buffer = Buffer.alloc(0);

/** Why a request is not accepted, though it can be parsed. */
export type IntakeRefusal =
  /** Its head is longer than the limit. */
  | "head_too_large"
  /** This process has no memory for it now. */
  | "no_memory";

/** What the connections of a process share, and what each may send. */
export interface ReadingLimits {
  readonly turns: ReadingTurns;
  /** Memory of heads, parsed or not. */
  readonly heads: MemoryBudget;
  /** Memory of bodies, and of bytes that wait for the parser. */
  readonly bodies: MemoryBudget;
  /** Maximum size of a head, in bytes. */
  headerBytes(): number;
  /** Called when a head is over that size before its end. */
  onLongHead(socket: Socket): void;
}

/** What a connection does now. */
export type ReadingState = "idle" | "reading" | "answering";

/** A request that is not answered. */
interface OpenRequest {
  readonly incoming: IncomingMessage;
  readonly headMemory: Allowance;
  readonly bodyMemory: Allowance;
  readonly start: () => void;
  isStarted: boolean;
}

/** Requests of a connection that are parsed: one that is handled, and the next. */
const MAXIMUM_OPEN_REQUESTS = 2;

/** A piece of what was read. */
interface Piece {
  readonly length: number;
  /** Lines that it ends. */
  readonly lines: number;
}

/** Reads one connection. */
export class PacedReading implements Reading {
  readonly #socket: Socket;
  readonly #limits: ReadingLimits;
  readonly #push: Socket["push"];
  readonly #read: Socket["_read"];
  /** Bytes that were read and not parsed. */
  #waiting = NO_BYTES;
  readonly #waitingMemory: Allowance;
  /** Memory of a head that has not ended. */
  #headMemory: Allowance;
  /** Bytes and lines since the last request or the last part of a body. */
  #headBytes = 0;
  #headLines = 0;
  /** Bytes that are left of a body whose length was told. */
  #bodyBytesLeft = 0;
  /** Requests in their order; the first is handled. */
  #open: readonly OpenRequest[] = [];
  /** The request that was parsed last. */
  #latest: IncomingMessage | undefined;
  /** Bytes that were discarded after the last request; `undefined` before it. */
  #discarded: number | undefined;

  constructor(socket: Socket, limits: ReadingLimits) {
    this.#socket = socket;
    this.#limits = limits;
    this.#waitingMemory = limits.bodies.open();
    this.#headMemory = limits.heads.open();
    this.#push = socket.push.bind(socket);
    this.#read = socket._read.bind(socket);
    // The parser would otherwise read past the stream, from the system's handle.
    socket.on("data", () => undefined);
    socket.push = (chunk: unknown) => this.#receive(chunk as Buffer | null);
    socket._read = () => this.#readOn();
    socket.on("resume", () => this.#continueLater());
    socket.once("close", () => this.#release());
  }

  /** What the connection does. */
  get state(): ReadingState {
    const [present] = this.#open;
    if (present?.incoming.complete === true) return "answering";
    return present !== undefined || this.#headBytes > 0 ? "reading" : "idle";
  }

  /** Memory of the body of the request that is handled. */
  get bodyMemory(): Allowance | undefined {
    return this.#open[0]?.bodyMemory;
  }

  /** Has a request handled in its turn, or refused if it is not accepted. */
  begin(
    incoming: IncomingMessage,
    response: ServerResponse,
    handle: (refusal: IntakeRefusal | undefined) => void,
  ): void {
    const refusal = this.#refusalOf(incoming);
    const request: OpenRequest = {
      incoming,
      headMemory: this.#headMemory,
      bodyMemory: this.#limits.bodies.open(),
      start: () => handle(refusal),
      isStarted: false,
    };
    this.#headMemory = this.#limits.heads.open();
    this.#resetHead();
    this.#latest = incoming;
    this.#open = [...this.#open, request];
    this.#bodyBytesLeft = announcedLength(incoming) ?? 0;
    const push = incoming.push.bind(incoming);
    incoming.push = (chunk: unknown, encoding?: BufferEncoding) => {
      this.#resetHead();
      return push(chunk, encoding);
    };
    response.once("close", () => this.#answered(request));
    if (this.#open.length === 1) startRequest(request);
  }

  /** Charges a head; returns why its request is not accepted if it isn't. */
  #refusalOf({ rawHeaders }: IncomingMessage): IntakeRefusal | undefined {
    const memory = memoryOfHead(this.#headBytes, rawHeaders.length / 2);
    const more = Math.max(0, memory - this.#headMemory.held);
    const fits = this.#headMemory.take(more);
    if (this.#headBytes > this.#limits.headerBytes()) return "head_too_large";
    return fits ? undefined : "no_memory";
  }

  /**
   * Has the present request be the last one. What its caller still sends is discarded
   * for a moment: a connection that is closed with bytes unread is reset, which may
   * take the answer from its caller.
   */
  endAfterAnswer(): void {
    this.#discarded ??= 0;
    this.#drop();
    // The server would destroy the connection as soon as the answer is written.
    this.#socket.destroySoon = () => this.#linger();
  }

  goOn(): number {
    const work = this.#startNext() + this.#parse(1);
    if (this.#waiting.length === 0) this.#waitingMemory[Symbol.dispose]();
    this.#continueLater();
    this.#readOn();
    return work;
  }

  /** Starts the request whose turn it is, if there is one; returns the work. */
  #startNext(): number {
    const [present] = this.#open;
    if (present === undefined || !this.#mayStart) return 0;
    startRequest(present);
    return WORK_PER_REQUEST;
  }

  get #mayStart(): boolean {
    return (
      this.#open[0]?.isStarted === false &&
      this.#discarded === undefined &&
      !this.#socket.destroyed
    );
  }

  #receive(chunk: Buffer | null): boolean {
    if (chunk === null) {
      // A caller that ends its side has left, whatever it sent before.
      this.#drop();
      return this.#push(null);
    }
    if (this.#discarded !== undefined) return this.#discard(chunk.length);
    const isFirst = this.#waiting.length === 0;
    this.#waiting = isFirst ? chunk : Buffer.concat([this.#waiting, chunk]);
    if (isFirst) this.#parse(LINES_PER_PIECE);
    this.#accountWaiting();
    this.#continueLater();
    return this.#waiting.length < WAITING_BYTES;
  }

  /** Parses what waits until some work is done; returns the work. */
  #parse(most: number): number {
    let work = 0;
    while (work < most && this.#mayParse) {
      const { length, lines } = this.#nextPiece();
      const piece = this.#waiting.subarray(0, length);
      this.#waiting =
        length === this.#waiting.length
          ? NO_BYTES
          : this.#waiting.subarray(length);
      work += lines + Math.ceil(length / BYTES_PER_WORK);
      work += this.#handToParser(piece, lines);
    }
    return work;
  }

  get #mayParse(): boolean {
    return (
      this.#waiting.length > 0 &&
      this.#open.length < MAXIMUM_OPEN_REQUESTS &&
      !this.#socket.isPaused() &&
      !this.#socket.writableEnded &&
      !this.#socket.destroyed
    );
  }

  /** Gives the parser a piece; returns the work of a request that it ends. */
  #handToParser(piece: Buffer, lines: number): number {
    const before = this.#latest;
    if (this.#bodyBytesLeft > 0) {
      this.#bodyBytesLeft -= piece.length;
      this.#push(piece);
      return 0;
    }
    this.#headBytes += piece.length;
    this.#headLines += lines;
    this.#push(piece);
    if (this.#latest !== before) return WORK_PER_REQUEST;
    this.#checkHead();
    return 0;
  }

  /** Ends the connection if a head, or what follows a body, is too long. */
  #checkHead(): void {
    if (this.#headBytes === 0 || this.#socket.destroyed) return;
    const needed = memoryOfHead(0, this.#headLines) - this.#headMemory.held;
    const fits = needed <= 0 || this.#headMemory.take(needed);
    const isBody = this.#latest?.complete === false;
    const isLong = this.#headBytes > this.#limits.headerBytes();
    if (isLong && !isBody) {
      this.endAfterAnswer();
      this.#limits.onLongHead(this.#socket);
      this.#linger();
    } else if (!fits) this.#acceptNoMore();
  }

  /** Ends the connection, after the present answer if there is one. */
  #acceptNoMore(): void {
    if (this.#open.length === 0) this.#socket.destroy();
    else this.endAfterAnswer();
  }

  #nextPiece(): Piece {
    const { length } = this.#waiting;
    if (this.#bodyBytesLeft > 0) {
      return { length: Math.min(length, this.#bodyBytesLeft), lines: 0 };
    }
    return pieceOf(this.#waiting);
  }

  #continueLater(): void {
    if (this.#mayParse || this.#mayStart) this.#limits.turns.add(this);
  }

  /** Charges what waits. */
  #accountWaiting(): void {
    const more = this.#waiting.length - this.#waitingMemory.held;
    if (more > 0 && !this.#waitingMemory.take(more)) this.#acceptNoMore();
  }

  /** Reads more unless enough waits. */
  #readOn(): void {
    if (this.#waiting.length < WAITING_BYTES) this.#read(0);
  }

  #answered(request: OpenRequest): void {
    this.#open = this.#open.filter((other) => other !== request);
    releaseMemory(request);
    if (this.#discarded === undefined) this.#continueLater();
    else this.#linger();
  }

  #linger(): void {
    if (this.#socket.destroyed) return;
    this.#socket.setTimeout(LINGER_MILLISECONDS, () => this.#socket.destroy());
    this.#socket.end();
    this.#readOn();
  }

  #discard(length: number): boolean {
    this.#discarded = (this.#discarded ?? 0) + length;
    if (this.#discarded > DISCARDED_BYTES) this.#socket.destroy();
    return true;
  }

  #resetHead(): void {
    this.#headBytes = 0;
    this.#headLines = 0;
  }

  #drop(): void {
    this.#waiting = NO_BYTES;
    this.#waitingMemory[Symbol.dispose]();
    this.#limits.turns.remove(this);
  }

  #release(): void {
    this.#drop();
    this.#headMemory[Symbol.dispose]();
    // A request whose turn didn't come isn't told that its connection has closed.
    this.#open.filter(({ isStarted }) => !isStarted).forEach(releaseMemory);
  }
}

function startRequest(request: OpenRequest): void {
  request.isStarted = true;
  request.start();
}

function releaseMemory({ headMemory, bodyMemory }: OpenRequest): void {
  headMemory[Symbol.dispose]();
  bodyMemory[Symbol.dispose]();
}

const CONTENT_LENGTH = "content-length";

/** Length of a body as its head tells it; `undefined` without one. */
export function announcedLength({
  rawHeaders,
}: {
  readonly rawHeaders: readonly string[];
}): number | undefined {
  // The parser's table of headers would be made for this alone.
  const at = rawHeaders.findIndex(
    (name, index) =>
      index % 2 === 0 &&
      name.length === CONTENT_LENGTH.length &&
      name.toLowerCase() === CONTENT_LENGTH,
  );
  return at < 0 ? undefined : Number(rawHeaders[at + 1]);
}

/** Memory that a head of some size takes, in bytes. */
export function memoryOfHead(bytes: number, lines: number): number {
  return bytes + lines * LINE_MEMORY_BYTES;
}

/**
 * The first piece of some bytes: up to the first empty line, which may end a head, and
 * no more lines than are parsed at once. Where an empty line ends none, the piece is
 * just shorter.
 */
function pieceOf(bytes: Buffer): Piece {
  let lines = 0;
  let start = 0;
  while (lines < LINES_PER_PIECE) {
    const end = bytes.indexOf(LINE_FEED, start);
    if (end < 0) return { length: bytes.length, lines };
    lines += 1;
    const isEmpty =
      end === start || (end === start + 1 && bytes[start] === CARRIAGE_RETURN);
    start = end + 1;
    if (isEmpty) break;
  }
  return { length: start, lines };
}
