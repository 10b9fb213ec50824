// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Callers that keep to no limits: each of their connections sends some bytes, and then
 * others again and again for as long as they are taken.
 *
 * @module
 */
import { connect, type Socket } from "node:net";

/** Time until a connection that was closed is opened again, in milliseconds. */
const RETURN_MILLISECONDS = 50;

/** Size of what is written at once, in bytes. */
const WRITE_BYTES = 64 * 1024;

/** What each connection of a crowd does. */
export interface Misbehaviour {
  readonly connections: number;
  /** What it sends once; nothing by default. */
  readonly first?: string;
  /** What it sends afterwards, again and again; nothing by default. */
  readonly again?: string;
  /** Whether it reads what it is sent. */
  readonly reads?: boolean;
}

/** A crowd of connections; those that are closed come back until it is disposed of. */
export class MisbehavingCallers implements Disposable {
  readonly #address: string;
  readonly #play: Misbehaviour;
  readonly #again: Buffer;
  readonly #open = new Set<Socket>();
  #isOver = false;

  constructor(address: string, play: Misbehaviour) {
    this.#address = address;
    this.#play = play;
    const again = Buffer.from(play.again ?? "", "latin1");
    const times = Math.ceil(WRITE_BYTES / Math.max(1, again.length));
    this.#again = Buffer.concat(Array.from({ length: times }, () => again));
    for (let index = 0; index < play.connections; index += 1) this.#connect();
  }

  [Symbol.dispose](): void {
    this.#isOver = true;
    this.#open.forEach((socket) => socket.destroy());
  }

  #connect(): void {
    if (this.#isOver) return;
    const [ip, port] = this.#address.split(":");
    const socket = connect(Number(port), ip);
    this.#open.add(socket);
    socket.on("error", () => undefined);
    socket.once("close", () => {
      this.#open.delete(socket);
      setTimeout(() => this.#connect(), RETURN_MILLISECONDS);
    });
    if (this.#play.reads === true) socket.resume();
    socket.write(this.#play.first ?? "", "latin1");
    if (this.#again.length > 0) {
      socket.on("drain", () => this.#write(socket));
      this.#write(socket);
    }
  }

  #write(socket: Socket): void {
    // Others get their turn in this process after each write.
    if (socket.write(this.#again)) setImmediate(() => this.#write(socket));
  }
}
