// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Ending an answer that has begun and can't become whole.
 *
 * @module
 */
import type { ServerResponse } from "node:http";

/**
 * Closes the connection of an answer, so that it can't be taken for whole. What
 * was written before goes out as far as the system takes it at once.
 */
export function breakOff(response: ServerResponse): void {
  // Node holds the bytes of one turn back, and would drop them here: the caller
  // would get nothing of events that are ready, however often it comes back.
  response.socket?.uncork();
  response.destroy();
}
