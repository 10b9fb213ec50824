// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The answer to one caller: at most one head, bytes in order with back
 * pressure, and an end that looks whole only when it is.
 *
 * @module
 */
import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { breakOff } from "rampswitch-utils";
import type { RawHeaders } from "../model/request.ts";

/** Writes one answer. */
export class CallerAnswer {
  readonly #response: ServerResponse;
  readonly #endsConnection: () => boolean;
  #finished = false;
  #status: number | undefined;

  constructor(response: ServerResponse, endsConnection: () => boolean) {
    this.#response = response;
    this.#endsConnection = endsConnection;
  }

  /** Whether the answer has ended, whole or not. */
  get finished(): boolean {
    return this.#finished;
  }

  /** Whether the answer goes out on a connection. */
  isOn(connection: Socket): boolean {
    return this.#response.socket === connection;
  }

  /** Whether the head went out. */
  get started(): boolean {
    return this.#response.headersSent;
  }

  /** The status that the caller was told, if any. */
  get status(): number | undefined {
    return this.#status;
  }

  /** Writes the head of an answer whose body follows in pieces. */
  begin(status: number, headers: RawHeaders): void {
    if (this.#finished || this.started) return;
    this.#writeHead(status, headers);
    this.#response.flushHeaders();
  }

  /** Writes a piece; tells whether the caller keeps up. */
  write(bytes: Buffer): boolean {
    if (this.#finished) return true;
    return this.#response.write(bytes);
  }

  /** Calls back once when a caller that fell behind has caught up. */
  onceDrained(callback: () => void): void {
    this.#response.once("drain", callback);
  }

  /** Ends an answer that is whole. */
  end(): void {
    if (this.#finished) return;
    this.#finished = true;
    this.#response.end();
  }

  /** Answers whole at once. */
  whole(status: number, headers: RawHeaders, body: Buffer): void {
    if (this.#finished) return;
    this.#finished = true;
    this.#writeHead(status, [
      ...withoutLength(headers),
      "Content-Length",
      String(body.length),
    ]);
    this.#response.end(body);
  }

  /** Breaks an answer off so that it can't be taken for a whole one. */
  breakOff(): void {
    if (this.#finished) return;
    this.#finished = true;
    breakOff(this.#response);
  }

  /** Notes that the caller is gone. */
  abandoned(): void {
    this.#finished = true;
  }

  #writeHead(status: number, headers: RawHeaders): void {
    this.#status = status;
    const connection = this.#endsConnection() ? ["Connection", "close"] : [];
    this.#response.writeHead(status, [...headers, ...connection]);
  }
}

function withoutLength(headers: RawHeaders): RawHeaders {
  return headers.filter((_, index) => {
    const name = headers[index - (index % 2)];
    return name?.toLowerCase() !== "content-length";
  });
}
