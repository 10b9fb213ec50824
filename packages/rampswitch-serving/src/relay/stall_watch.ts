// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Notices that a send has been silent for too long: before its first event, or
 * between two events of its stream.
 *
 * @module
 */
import type { Clock } from "rampswitch-utils";

/** Pause within a stream that counts as a stall, in milliseconds. */
const PAUSE_MILLISECONDS = 1_500;

/** Watches one send at a time. */
export class StallWatch {
  readonly #clock: Clock;
  readonly #onStall: () => void;
  #cancel: () => void = () => undefined;
  #lastEventAt: number | undefined;

  constructor(clock: Clock, onStall: () => void) {
    this.#clock = clock;
    this.#onStall = onStall;
  }

  /** Begins to watch a send whose first event should come within a time. */
  start(milliseconds: number): void {
    this.stop();
    this.#cancel = this.#clock.after(milliseconds, this.#onStall);
  }

  /** An event came; one timer serves all pauses of the stream. */
  eventCame(): void {
    const first = this.#lastEventAt === undefined;
    this.#lastEventAt = this.#clock.now();
    if (first) this.#watchPause(PAUSE_MILLISECONDS);
  }

  /** Ends the watch of a send. */
  stop(): void {
    this.#cancel();
    this.#lastEventAt = undefined;
  }

  #watchPause(milliseconds: number): void {
    this.#cancel();
    this.#cancel = this.#clock.after(milliseconds, () => {
      const silence = this.#clock.now() - (this.#lastEventAt ?? 0);
      if (silence < PAUSE_MILLISECONDS) {
        this.#watchPause(PAUSE_MILLISECONDS - silence);
      } else this.#onStall();
    });
  }
}
