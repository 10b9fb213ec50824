// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The open connections to one server. They end with its process, so without a moment
 * in which none is open it is the same process.
 *
 * @module
 */
import type { Socket } from "node:net";
import { isOpen, RESET_CODE } from "rampswitch-utils";

/** A time in which connections to a server were open without a gap. */
export interface ServerContact {
  /** Whether one has been open up to now. */
  readonly isUnbroken: boolean;
  /**
   * Whether the server had ended the last connection before, or had refused one: its
   * process may have ended in between.
   */
  readonly followsLoss: boolean;
}

/** The open connections to one server. */
export class OpenConnections {
  readonly #sockets = new Set<Socket>();
  #contact = { isUnbroken: false, followsLoss: false };
  /** Whether the next contact follows a loss. */
  #isLost = false;

  /** Adds a connection that came up, until it closes. */
  add(socket: Socket): void {
    if (this.open.length === 0) {
      this.#contact.isUnbroken = false;
      this.#contact = { isUnbroken: true, followsLoss: this.#isLost };
      this.#isLost = false;
    }
    const contact = this.#contact;
    this.#sockets.add(socket);
    socket.once("close", () => {
      this.#sockets.delete(socket);
      if (this.#sockets.size > 0) return;
      contact.isUnbroken = false;
      this.#isLost ||= wasEndedByPeer(socket);
    });
  }

  /** Notes that no connection came up. */
  failed(): void {
    this.#isLost = true;
  }

  /** Connections that are open at both ends, as far as their bytes are read. */
  get open(): readonly Socket[] {
    return [...this.#sockets].filter(isOpen);
  }

  /** The present contact; `undefined` without an open connection. */
  get contact(): ServerContact | undefined {
    return this.#contact.isUnbroken ? this.#contact : undefined;
  }
}

/** Whether the peer ended a connection that has closed. */
function wasEndedByPeer({ readableEnded, errored }: Socket): boolean {
  const { code }: NodeJS.ErrnoException = errored ?? new Error();
  return readableEnded || code === RESET_CODE;
}
