// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Queries of one host to others that wait for their replies.
 *
 * @module
 */
import type { Clock } from "rampswitch-utils";

/**
 * Time in which a late reply is still accepted, in milliseconds, so that what it
 * granted can be returned; longer than a congested link delays messages.
 */
const LATE_ANSWER_MILLISECONDS = 2_000;

/** Timeout of queries and the handler of late replies. */
export interface QueryTerms<Request, Reply> {
  /** Time after which a query counts as unanswered, in milliseconds. */
  readonly answerTimeoutMilliseconds: number;
  /** Called for a reply that arrived after the timeout. */
  onLate(request: Request, reply: Reply): void;
}

interface PendingQuery<Request, Reply> {
  readonly request: Request;
  resolve(reply: Reply | undefined): void;
  expired: boolean;
}

/** Matches replies to queries by id. */
export class PendingQueries<Request, Reply> {
  readonly #clock: Clock;
  readonly #terms: QueryTerms<Request, Reply>;
  readonly #pending = new Map<number, PendingQuery<Request, Reply>>();
  #newestId = 0;

  constructor(clock: Clock, terms: QueryTerms<Request, Reply>) {
    this.#clock = clock;
    this.#terms = terms;
  }

  /** Sends a query; resolves to `undefined` if no reply arrives in time. */
  query(
    request: Request,
    send: (id: number) => void,
  ): Promise<Reply | undefined> {
    this.#newestId += 1;
    const id = this.#newestId;
    return new Promise((resolve) => {
      const pending = { request, resolve, expired: false };
      this.#pending.set(id, pending);
      this.#clock.after(this.#terms.answerTimeoutMilliseconds, () => {
        pending.expired = true;
        resolve(undefined);
      });
      this.#clock.after(LATE_ANSWER_MILLISECONDS, () =>
        this.#pending.delete(id),
      );
      send(id);
    });
  }

  /** Resolves a query; further replies to the same query are ignored. */
  receiveReply(id: number, reply: Reply): void {
    const pending = this.#pending.get(id);
    if (pending === undefined) return;
    this.#pending.delete(id);
    if (pending.expired) this.#terms.onLate(pending.request, reply);
    else pending.resolve(reply);
  }
}
