// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * A server that answers each request with bytes without an end.
 *
 * @module
 */
import type { Socket } from "node:net";
import type { Listening } from "rampswitch-utils";
import { type EndlessBytes, sendEndless } from "./endless_bytes.ts";
import { startRawServer } from "./raw_server.ts";

/** A server of endless answers, and what its readers took. */
export class EndlessServer implements AsyncDisposable {
  /** What it sends next. */
  bytes: EndlessBytes;
  readonly #sockets: Socket[] = [];
  #listening: Listening | undefined;

  private constructor(bytes: EndlessBytes) {
    this.bytes = bytes;
  }

  /** Starts a server that sends some bytes again and again. */
  static async start(bytes: EndlessBytes): Promise<EndlessServer> {
    const server = new EndlessServer(bytes);
    server.#listening = await startRawServer((socket) => {
      server.#sockets.push(socket);
      sendEndless(socket, server.bytes);
    });
    return server;
  }

  /** IP address and port. */
  get address(): string {
    return this.#listening?.address ?? "";
  }

  /** Number of connections that got bytes. */
  get answers(): number {
    return this.#sockets.length;
  }

  /** Number of connections that are still open. */
  get open(): number {
    return this.#sockets.filter(({ destroyed }) => !destroyed).length;
  }

  /** Most bytes that one connection took; some megabytes of it wait in the system. */
  get mostTaken(): number {
    const taken = this.#sockets.map(
      ({ bytesWritten, writableLength }) => bytesWritten - writableLength,
    );
    return Math.max(0, ...taken);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#listening?.[Symbol.asyncDispose]();
  }
}
