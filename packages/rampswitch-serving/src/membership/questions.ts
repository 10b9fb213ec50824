// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Questions of one host to others, and the answers that are awaited.
 *
 * @module
 */
import type { Clock } from "rampswitch-utils";

/**
 * Time in which a late answer is still taken in, in milliseconds, so that what
 * it granted is given back; longer than messages wait on a crowded link.
 */
const LATE_MILLISECONDS = 2_000;

/** How long to wait, and who hears of what came too late. */
export interface QuestionTerms<Request, Reply> {
  /** Time for an answer, in milliseconds. */
  readonly answerMilliseconds: number;
  onLate(request: Request, reply: Reply): void;
}

interface Pending<Request, Reply> {
  readonly request: Request;
  resolve(reply: Reply | undefined): void;
  expired: boolean;
}

/** Questions that are not answered yet. */
export class Questions<Request, Reply> {
  readonly #clock: Clock;
  readonly #terms: QuestionTerms<Request, Reply>;
  readonly #pending = new Map<number, Pending<Request, Reply>>();
  #newest = 0;

  constructor(clock: Clock, terms: QuestionTerms<Request, Reply>) {
    this.#clock = clock;
    this.#terms = terms;
  }

  /** Sends a question; resolves to `undefined` where no answer comes in time. */
  ask(
    request: Request,
    send: (id: number) => void,
  ): Promise<Reply | undefined> {
    this.#newest += 1;
    const id = this.#newest;
    return new Promise((resolve) => {
      const pending = { request, resolve, expired: false };
      this.#pending.set(id, pending);
      this.#clock.after(this.#terms.answerMilliseconds, () => {
        pending.expired = true;
        resolve(undefined);
      });
      this.#clock.after(LATE_MILLISECONDS, () => this.#pending.delete(id));
      send(id);
    });
  }

  /** Takes in an answer; each question takes one. */
  replied(id: number, reply: Reply): void {
    const pending = this.#pending.get(id);
    if (pending === undefined) return;
    this.#pending.delete(id);
    if (pending.expired) this.#terms.onLate(pending.request, reply);
    else pending.resolve(reply);
  }
}
