// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Gossip ahead of the next round, for changes that other hosts need at once.
 *
 * @module
 */
import type { Clock } from "rampswitch-utils";

/**
 * Minimum time between two broadcasts, in milliseconds. Changes within it share
 * one message.
 */
const MINIMUM_INTERVAL_MILLISECONDS = 50;

/** Broadcasts changes at once, at a limited rate. */
export class PromptBroadcast {
  readonly #clock: Clock;
  readonly #broadcast: () => void;
  #broadcastAt = -Infinity;

  constructor(clock: Clock, broadcast: () => void) {
    this.#clock = clock;
    this.#broadcast = broadcast;
  }

  /** Broadcasts a change; within the minimum interval it waits for the next round. */
  trigger(): void {
    const now = this.#clock.now();
    if (now - this.#broadcastAt < MINIMUM_INTERVAL_MILLISECONDS) return;
    this.#broadcastAt = now;
    this.#broadcast();
  }
}
