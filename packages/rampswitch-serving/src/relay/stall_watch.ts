// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Detects a send that stalls before its first event or between two events of
 * its stream.
 *
 * @module
 */
import type { Clock } from "rampswitch-utils";
import type { Route } from "../model/configuration.ts";
import type { LoopDelay } from "../observation/mod.ts";

/** Longest pause between two events that is not a stall, in milliseconds. */
const MAXIMUM_PAUSE_MILLISECONDS = 1_500;

/**
 * A repeatable plain request is sent to another server after this multiple of
 * the route's target time without an answer. Twice the target allows for time
 * in a queue.
 */
const PLAIN_STALL_TARGET_MULTIPLE = 2;

/** The same multiple for the first event of a resumable stream. */
const STREAM_STALL_TARGET_MULTIPLE = 2.5;

/** Time after which a stall that could not be handled is told again, in milliseconds. */
const LOOK_AGAIN_MILLISECONDS = 50;

/** Time without a first event or an answer that counts as a stall, in milliseconds. */
export function firstStallMilliseconds(
  route: Pick<Route, "streaming" | "targetMilliseconds">,
): number {
  return (
    route.targetMilliseconds *
    (route.streaming
      ? STREAM_STALL_TARGET_MULTIPLE
      : PLAIN_STALL_TARGET_MULTIPLE)
  );
}

/** For how long a send has been silent. */
export interface Silence {
  /** Time since its last event, or since its start. */
  readonly milliseconds: number;
  /** Part of that time for which this host's event loop stood still. */
  readonly stoodStillMilliseconds: number;
}

/** What a watch depends on. */
export interface StallWatchParts {
  readonly clock: Clock;
  readonly loopDelay: LoopDelay;
}

/** Watches one send at a time for stalls. */
export class StallWatch {
  readonly #parts: StallWatchParts;
  readonly #onStall: () => void;
  #cancel: () => void = () => undefined;
  /** Longest silence that is not a stall, in milliseconds. */
  #limit = 0;
  #silentSince = 0;
  /** Time for which the loop had stood still when the silence began, in milliseconds. */
  #stoodStillBefore = 0;

  constructor(parts: StallWatchParts, onStall: () => void) {
    this.#parts = parts;
    this.#onStall = onStall;
  }

  /** The present silence of the send. */
  get silence(): Silence {
    const { clock, loopDelay } = this.#parts;
    return {
      milliseconds: clock.now() - this.#silentSince,
      stoodStillMilliseconds:
        loopDelay.totalMilliseconds - this.#stoodStillBefore,
    };
  }

  /** Starts to watch a send; its next event is due within the given time. */
  start(milliseconds = MAXIMUM_PAUSE_MILLISECONDS): void {
    this.stop();
    this.#beginSilence(milliseconds);
    this.#schedule(milliseconds);
  }

  /** Watches on after a stall, for some more time of the same silence. */
  extend(milliseconds: number): void {
    this.#limit = this.#attentiveSilence + milliseconds;
    this.#schedule(milliseconds);
  }

  /** Tells the same stall again soon, unless an event comes. */
  lookAgain(): void {
    this.extend(LOOK_AGAIN_MILLISECONDS);
  }

  /** Records an event. One timer covers all pauses of the stream. */
  eventReceived(): void {
    const wasFirst = this.#limit !== MAXIMUM_PAUSE_MILLISECONDS;
    this.#beginSilence(MAXIMUM_PAUSE_MILLISECONDS);
    if (wasFirst) this.#schedule(MAXIMUM_PAUSE_MILLISECONDS);
  }

  /** Stops watching the send. */
  stop(): void {
    this.#cancel();
    this.#limit = 0;
  }

  /**
   * The silence without the time for which this host stood still: what it has not sent or
   * read meanwhile says nothing of the server.
   */
  get #attentiveSilence(): number {
    const { milliseconds, stoodStillMilliseconds } = this.silence;
    return milliseconds - stoodStillMilliseconds;
  }

  #beginSilence(limit: number): void {
    const { clock, loopDelay } = this.#parts;
    this.#limit = limit;
    this.#silentSince = clock.now();
    this.#stoodStillBefore = loopDelay.totalMilliseconds;
  }

  #schedule(milliseconds: number): void {
    this.#cancel();
    this.#cancel = this.#parts.clock.after(milliseconds, () => this.#check());
  }

  #check(): void {
    const left = this.#limit - this.#attentiveSilence;
    if (left > 0) this.#schedule(left);
    else this.#onStall();
  }
}
