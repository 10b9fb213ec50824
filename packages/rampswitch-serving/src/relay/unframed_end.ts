// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * What the end of an answer without a length or chunks shows. A server that breaks
 * such an answer off may end its connection in the same way as after a whole one, so
 * the end counts only where nothing speaks against it.
 *
 * @module
 */
import type { EndDoubt } from "../attempt/mod.ts";

/**
 * Time before a request's time limit in which an end may be due to it, in milliseconds:
 * a server is handed the time in whole milliseconds, and its timers may be early.
 */
const LIMIT_MARGIN_MILLISECONDS = 5;

/** A success without a length or chunks whose connection has ended regularly. */
export interface UnframedAnswer {
  /**
   * Whether nothing has to come before the end: the caller has an event, or the answer is
   * no stream and may have no body. A run that goes on from its memory after the last
   * event ends without a further one.
   */
  readonly hasContent: boolean;
  /** Time until the request's time limit, at which servers stop work. */
  readonly remainingMilliseconds: number;
  /** Whether the server may have stopped the run because this host asked it to. */
  readonly mayHaveBeenStopped: boolean;
}

/** What speaks against an end; the first that holds is told. */
const DOUBTS: readonly (readonly [
  EndDoubt,
  (answer: UnframedAnswer) => boolean,
])[] = [
  ["empty", ({ hasContent }) => !hasContent],
  [
    "time_limit",
    ({ remainingMilliseconds }) =>
      remainingMilliseconds <= LIMIT_MARGIN_MILLISECONDS,
  ],
  ["stopped", ({ mayHaveBeenStopped }) => mayHaveBeenStopped],
];

/** Why the end of an answer does not show that it is complete, if anything does. */
export function doubtAbout(answer: UnframedAnswer): EndDoubt | undefined {
  return DOUBTS.find(([, holds]) => holds(answer))?.[0];
}
