// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * When it makes sense to ask for a turn again, and when callers are told to come back
 * that got none: each with a turn of its own. Pure.
 *
 * @module
 */

/** Share of a service's turns that one host may count on. */
export interface TurnShare {
  /** Requests a second that the service's limited servers take together. */
  readonly perSecond: number;
  /** Hosts whose callers come for them. */
  readonly hosts: number;
}

/** Longest time for which turns are not asked for, in milliseconds. */
const LONGEST_PAUSE_MILLISECONDS = 500;

/** The same after a question without an answer, in milliseconds. */
const UNANSWERED_MILLISECONDS = 100;

/** Longest wait that a caller is told, in milliseconds. */
const LONGEST_WAIT_MILLISECONDS = 60_000;

interface Wait {
  /** Before this, the holder has no turn. */
  readonly freeAt: number;
  readonly askAt: number;
  /** When the last caller that was sent away may come back. */
  readonly toldUntil: number;
}

const NONE: Wait = { freeAt: 0, askAt: 0, toldUntil: -Infinity };

/** Waits for turns by service. */
export class TurnWaits {
  readonly #waits = new Map<string, Wait>();

  /** Whether a turn may be there to be asked for. */
  mayAsk(service: string, now: number): boolean {
    return now >= this.#of(service).askAt;
  }

  /** There was no turn; another one is free after some time. */
  refused(service: string, milliseconds: number, now: number): void {
    this.#waits.set(service, {
      ...this.#of(service),
      freeAt: now + milliseconds,
      askAt: now + Math.min(milliseconds, LONGEST_PAUSE_MILLISECONDS),
    });
  }

  /** No answer came. */
  unanswered(service: string, now: number): void {
    this.refused(service, UNANSWERED_MILLISECONDS, now);
  }

  /** Time after which a caller that is sent away now may come back, in ms. */
  tell(service: string, { perSecond, hosts }: TurnShare, now: number): number {
    const wait = this.#of(service);
    const spacing =
      perSecond > 0 ? (1_000 * hosts) / perSecond : LONGEST_WAIT_MILLISECONDS;
    const next = Math.max(now, wait.freeAt, wait.toldUntil + spacing);
    const told = Math.min(next, now + LONGEST_WAIT_MILLISECONDS);
    this.#waits.set(service, { ...wait, toldUntil: told });
    return told - now;
  }

  #of(service: string): Wait {
    return this.#waits.get(service) ?? NONE;
  }
}
