// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The load that one send of a prompt adds to its service. Pure.
 *
 * @module
 */

/** One send of a request. */
export interface PromptSend {
  /** Estimated tokens that the engine has to read. */
  readonly unreadTokens: number;
  /** Number of the send, from 1. */
  readonly sends: number;
  /** Runs that the former sends began or may have begun. */
  readonly possibleRuns: number;
}

/**
 * Tokens that a send adds to the load. A prompt that no server has read yet counts
 * once, however many servers it was offered to: a host that reaches no server would
 * report many times its load, and servers would be ordered for it.
 */
export function addedLoadTokens(send: PromptSend): number {
  const isCounted = send.sends > 1 && send.possibleRuns === 0;
  return isCounted ? 0 : Math.max(0, send.unreadTokens);
}
