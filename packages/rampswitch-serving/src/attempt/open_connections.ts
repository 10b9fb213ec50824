// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The open connections to one server. They end with its process, so without a moment
 * in which none is open it is the same process.
 *
 * @module
 */
import type { Socket } from "node:net";
import { isOpen, RESET_CODE } from "rampswitch-utils";
import { headerValue, type RawHeaders } from "../model/request.ts";
import type { AnswerFraming } from "./answer_end.ts";

/** A time in which connections to a server were open without a gap. */
export interface ServerContact {
  /** Whether one has been open up to now. */
  readonly isUnbroken: boolean;
}

/** The end of a contact by the server, or a connection that did not come up. */
export interface ContactLoss {
  /**
   * Whether servers end no connections in this way while they run, so that the process
   * has probably ended. If not, it may have closed one that was idle, or be overloaded.
   */
  readonly isUnusual: boolean;
}

/** The open connections to one server. */
export class OpenConnections {
  readonly #sockets = new Set<Socket>();
  readonly #onLoss: (loss: ContactLoss) => void;
  #contact = { isUnbroken: false, isLost: false };
  /** Whether the last answer in this contact leaves its connection open. */
  #isKept = false;

  /** `onLoss` is called when the process may have ended. */
  constructor(onLoss: (loss: ContactLoss) => void) {
    this.#onLoss = onLoss;
  }

  /** Adds a connection that came up, until it closes. */
  add(socket: Socket): void {
    if (this.open.length === 0 || !this.#contact.isUnbroken) {
      this.#contact.isUnbroken = false;
      this.#contact = { isUnbroken: true, isLost: false };
      this.#isKept = false;
    }
    this.#sockets.add(socket);
    socket.once("close", () => {
      this.#sockets.delete(socket);
      // What a caller leaves unread may have the end of the same process behind it.
      if (this.open.length > 0) return;
      const contact = this.#contact;
      contact.isUnbroken = false;
      if (contact.isLost || !wasEndedByPeer(socket)) return;
      contact.isLost = true;
      this.#onLoss({ isUnusual: this.#isKept });
    });
  }

  /** Notes the head of an answer, which names how long its connection stays open. */
  answered(rawHeaders: RawHeaders, framing: AnswerFraming): void {
    this.#isKept = framing === "framed" && keepsConnection(rawHeaders);
  }

  /** Notes that no connection came up. */
  failed({ code }: NodeJS.ErrnoException): void {
    this.#onLoss({ isUnusual: code === REFUSED_CODE });
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

/** Code of the error of a connection that nobody listens for. */
const REFUSED_CODE = "ECONNREFUSED";

/**
 * Whether an answer names for how long its connection stays open. This host closes an
 * idle one before that time is over.
 */
function keepsConnection(rawHeaders: RawHeaders): boolean {
  return (
    headerValue(rawHeaders, "keep-alive") !== undefined &&
    headerValue(rawHeaders, "connection")?.toLowerCase() !== "close"
  );
}

/** Whether the peer ended a connection that has closed. */
function wasEndedByPeer({ readableEnded, errored }: Socket): boolean {
  const { code }: NodeJS.ErrnoException = errored ?? new Error();
  return readableEnded || code === RESET_CODE;
}
