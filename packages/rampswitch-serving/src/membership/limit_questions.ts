// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Questions of one host to its relay whether requests fit into the limits of
 * workspaces, and the answers that are awaited.
 *
 * @module
 */
import type { Clock } from "rampswitch-utils";
import type { LimitDecision } from "../admission/mod.ts";
import type { LimitAnswer, LimitQuestion } from "./peer_news.ts";

/** What is asked of a relay. */
export type LimitRequest = Pick<
  LimitQuestion,
  "workspace" | "tokens" | "priority"
>;

/**
 * Time for an answer, in milliseconds: some turns of the loop of a busy relay in
 * the same data hall, and well below the shortest targets of requests.
 */
const ANSWER_MILLISECONDS = 60;

/**
 * Time in which a late answer is still taken in, in milliseconds, so that what
 * it admitted is given back; longer than messages wait on a crowded link.
 */
const LATE_MILLISECONDS = 2_000;

interface Pending {
  readonly request: LimitRequest;
  resolve(decision: LimitDecision | undefined): void;
  expired: boolean;
}

/** Questions that are not answered yet. */
export class LimitQuestions {
  readonly #clock: Clock;
  readonly #onUnused: (request: LimitRequest) => void;
  readonly #pending = new Map<number, Pending>();
  #newest = 0;

  /** `onUnused` hears of admissions that came too late to be used. */
  constructor(clock: Clock, onUnused: (request: LimitRequest) => void) {
    this.#clock = clock;
    this.#onUnused = onUnused;
  }

  /** Sends a question; resolves to `undefined` where no answer comes in time. */
  ask(
    request: LimitRequest,
    send: (id: number) => void,
  ): Promise<LimitDecision | undefined> {
    this.#newest += 1;
    const id = this.#newest;
    return new Promise((resolve) => {
      const pending = { request, resolve, expired: false };
      this.#pending.set(id, pending);
      this.#clock.after(ANSWER_MILLISECONDS, () => {
        pending.expired = true;
        resolve(undefined);
      });
      this.#clock.after(LATE_MILLISECONDS, () => this.#pending.delete(id));
      send(id);
    });
  }

  /** Takes in an answer; each question takes one. */
  answered({ id, decision }: LimitAnswer): void {
    const pending = this.#pending.get(id);
    if (pending === undefined) return;
    this.#pending.delete(id);
    if (!pending.expired) pending.resolve(decision);
    else if (decision.kind === "admitted") this.#onUnused(pending.request);
  }
}
