// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Confirms that a list of stored objects is current, with one call of the store for all
 * requests that need it at about the same time.
 *
 * @module
 */
import { type Clock, sleep } from "rampswitch-utils";

/** Minimum time between two calls, in milliseconds. */
const CALL_INTERVAL_MILLISECONDS = 100;

/**
 * Longest wait of a request, in milliseconds: the interval, and many times the usual
 * answer time of a store.
 */
const CONFIRMATION_WAIT_MILLISECONDS = 250;

/** What the confirmations depend on. */
export interface ListConfirmationsParts {
  readonly clock: Clock;
  /** Calls the store; resolves to whether the list has all changes up to this call. */
  confirm(): Promise<boolean>;
}

/** Confirms a list for several requests at once. */
export class ListConfirmations {
  readonly #parts: ListConfirmationsParts;
  /** When the last call was sent, on the monotonic clock. */
  #calledAt = -Infinity;
  /** The next call, which has not been sent. */
  #next: Promise<boolean> | undefined;

  constructor(parts: ListConfirmationsParts) {
    this.#parts = parts;
  }

  /**
   * Resolves to whether the list has all changes that the store had before this call;
   * `false` if the store does not answer in time.
   */
  confirm(): Promise<boolean> {
    this.#next ??= this.#call();
    const timeout = sleep(this.#parts.clock, CONFIRMATION_WAIT_MILLISECONDS);
    return Promise.race([this.#next, timeout.then(() => false)]);
  }

  async #call(): Promise<boolean> {
    const { clock } = this.#parts;
    const elapsed = clock.now() - this.#calledAt;
    await sleep(clock, Math.max(0, CALL_INTERVAL_MILLISECONDS - elapsed));
    this.#next = undefined;
    this.#calledAt = clock.now();
    return this.#parts.confirm();
  }
}
