// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * A relay of TCP connections that can be cut, to sever links between hosts.
 *
 * @module
 */
import {
  type AddressInfo,
  connect,
  createServer,
  type Server,
  type Socket,
} from "node:net";
import { splitAddress } from "rampswitch-utils";

/** Passes connections on to a target until it is cut. */
export class Relay implements AsyncDisposable {
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  #cut = false;
  /** Where connections go, as `127.0.0.1:8000`. */
  target = "";

  private constructor() {
    this.#server = createServer((inbound) => this.#pass(inbound));
  }

  /** Starts a relay on a port that the system chooses. */
  static async start(): Promise<Relay> {
    const relay = new Relay();
    await new Promise<void>((resolve) =>
      relay.#server.listen(0, "127.0.0.1", resolve),
    );
    return relay;
  }

  /** Where the relay listens. */
  get address(): string {
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  /** Cuts all connections and takes no new ones, or mends the link. */
  setCut(cut: boolean): void {
    this.#cut = cut;
    if (cut) this.#sockets.forEach((socket) => socket.destroy());
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.setCut(true);
    await new Promise<void>((resolve) => this.#server.close(() => resolve()));
  }

  #pass(inbound: Socket): void {
    if (this.#cut) {
      inbound.destroy();
      return;
    }
    const { host, port } = splitAddress(this.target);
    const outbound = connect(port, host);
    [inbound, outbound].forEach((socket) => {
      this.#sockets.add(socket);
      socket.on("error", () => undefined);
      socket.on("close", () => {
        this.#sockets.delete(socket);
        inbound.destroy();
        outbound.destroy();
      });
    });
    inbound.pipe(outbound);
    outbound.pipe(inbound);
  }
}
