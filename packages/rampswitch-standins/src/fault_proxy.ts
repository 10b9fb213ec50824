// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * A loopback proxy of TCP connections whose link can be delayed, reset, silenced
 * or cut one way.
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
import { OWN_LOOPBACK } from "./own_loopback.ts";

/** How the link behaves. */
export type LinkMode =
  | "open"
  /** Bytes take longer. */
  | "delayed"
  /** Connections are reset, and so are new ones. */
  | "reset"
  /** Nothing passes, and nobody is told. */
  | "silent"
  /** Calls arrive, answers do not. */
  | "answers_lost";

/** Delay of a slow link, in milliseconds; below the calls' time limits. */
const DELAY_MILLISECONDS = 300;

/** Passes connections on as its mode says. */
export class FaultProxy implements AsyncDisposable {
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  readonly #silenced = new WeakSet<Socket>();
  #mode: LinkMode = "open";
  /** Where connections go, as `127.0.0.1:8000`. */
  target: string;

  private constructor(target: string) {
    this.target = target;
    this.#server = createServer((inbound) => this.#pass(inbound));
  }

  /** Starts a proxy to an address on a port that the system chooses. */
  static async start(target = ""): Promise<FaultProxy> {
    const proxy = new FaultProxy(target);
    await new Promise<void>((resolve) =>
      proxy.#server.listen(0, OWN_LOOPBACK, resolve),
    );
    return proxy;
  }

  /** Where the proxy listens. */
  get address(): string {
    return `${OWN_LOOPBACK}:${(this.#server.address() as AddressInfo).port}`;
  }

  /** Changes how the link behaves, for open connections too. */
  setMode(mode: LinkMode): void {
    // Bytes that were held up are lost with their connections.
    const lost = mode === "reset" || this.#mode !== "open";
    this.#mode = mode;
    if (lost) this.#sockets.forEach((socket) => socket.resetAndDestroy());
  }

  /**
   * Has the connections that are open now go silent for good: nothing passes, an
   * end neither. New ones work as the mode says.
   */
  silenceOpen(): void {
    this.#sockets.forEach((socket) => this.#silenced.add(socket));
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#sockets.forEach((socket) => socket.destroy());
    await new Promise<void>((resolve) => this.#server.close(() => resolve()));
  }

  #pass(inbound: Socket): void {
    if (this.#mode === "reset") {
      inbound.resetAndDestroy();
      return;
    }
    const { host, port } = splitAddress(this.target);
    const outbound = connect(port, host);
    [inbound, outbound].forEach((socket) => {
      this.#sockets.add(socket);
      socket.on("error", () => undefined);
      socket.on("close", () => {
        this.#sockets.delete(socket);
        if (this.#silenced.has(socket)) return;
        inbound.destroy();
        outbound.destroy();
      });
    });
    inbound.on("data", (bytes) => this.#forward(outbound, bytes, false));
    outbound.on("data", (bytes) => this.#forward(inbound, bytes, true));
  }

  #forward(to: Socket, bytes: Buffer, isAnswer: boolean): void {
    if (this.#silenced.has(to)) return;
    const mode = this.#mode;
    if (mode === "silent" || (mode === "answers_lost" && isAnswer)) return;
    const wait = mode === "delayed" ? DELAY_MILLISECONDS : 0;
    if (wait === 0) to.write(bytes);
    else setTimeout(() => to.destroyed || to.write(bytes), wait);
  }
}
