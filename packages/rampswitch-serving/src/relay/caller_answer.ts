// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Writes the answer to one caller: at most one head, the body in order with back
 * pressure, and a regular end only if the answer is complete.
 *
 * @module
 */
import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { abortResponse } from "rampswitch-utils";
import type { AnswerFraming } from "../attempt/mod.ts";
import type { RawHeaders } from "../model/request.ts";

/** The body of a whole answer. */
export interface WholeBody {
  readonly body: Buffer;
  readonly framing?: AnswerFraming | undefined;
}

/** The answer to one caller. */
export class CallerAnswer {
  readonly #response: ServerResponse;
  readonly #endsConnection: () => boolean;
  #finished = false;
  #status: number | undefined;

  constructor(response: ServerResponse, endsConnection: () => boolean) {
    this.#response = response;
    this.#endsConnection = endsConnection;
  }

  /** Whether the answer has ended, complete or not. */
  get finished(): boolean {
    return this.#finished;
  }

  /** Whether the answer goes out on a connection. */
  isOnConnection(connection: Socket): boolean {
    return this.#response.socket === connection;
  }

  /** Whether the head was sent. */
  get started(): boolean {
    return this.#response.headersSent;
  }

  /** The status that was sent to the caller, if any. */
  get status(): number | undefined {
    return this.#status;
  }

  /** Begins an answer; its head is sent with the first chunk, in one system call. */
  begin(status: number, headers: RawHeaders): void {
    if (this.#finished || this.started) return;
    this.#writeHead(status, headers);
  }

  /** Writes a chunk; `false` if the source should pause until the caller has read it. */
  write(bytes: Buffer): boolean {
    if (this.#finished) return true;
    return this.#response.write(bytes);
  }

  /** Calls back once when the caller has read what was buffered. */
  onceDrained(callback: () => void): void {
    this.#response.once("drain", callback);
  }

  /** Ends a complete answer. */
  end(): void {
    if (this.#finished) return;
    this.#finished = true;
    this.#response.end();
  }

  /**
   * Sends a complete answer at once. One whose server told no length gets none here
   * either: it ends with the connection, and claims no more than its server did.
   */
  sendWhole(
    status: number,
    headers: RawHeaders,
    { body, framing = "framed" }: WholeBody,
  ): void {
    if (this.#finished) return;
    this.#finished = true;
    if (framing === "unframed") {
      this.#response.shouldKeepAlive = false;
      this.#response.useChunkedEncodingByDefault = false;
      this.#writeHead(status, [...withoutContentLength(headers)]);
      this.#response.end(body);
      return;
    }
    this.#writeHead(status, [
      ...withoutContentLength(headers),
      "Content-Length",
      String(body.length),
    ]);
    // Text is written together with the head, as one string in one system call.
    if (body.length > MAXIMUM_TEXT_BYTES) this.#response.end(body);
    else this.#response.end(body.toString("latin1"), "latin1");
  }

  /** Aborts the answer so that it can't be mistaken for a complete one. */
  abort(): void {
    if (this.#finished) return;
    this.#finished = true;
    abortResponse(this.#response);
  }

  /** Records that the caller has disconnected. */
  markAbandoned(): void {
    this.#finished = true;
  }

  #writeHead(status: number, headers: RawHeaders): void {
    this.#status = status;
    const connection = this.#endsConnection() ? ["Connection", "close"] : [];
    this.#response.writeHead(status, [...headers, ...connection]);
  }
}

function withoutContentLength(headers: RawHeaders): RawHeaders {
  const kept: string[] = [];
  for (let index = 0; index < headers.length; index += 2) {
    const name = headers[index] ?? "";
    if (name.toLowerCase() === "content-length") continue;
    kept.push(name, headers[index + 1] ?? "");
  }
  return kept;
}

/** Maximum size of a body that is copied to text, in bytes. */
const MAXIMUM_TEXT_BYTES = 16 * 1024;
