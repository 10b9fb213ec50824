// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Ending an answer that has begun and can't become whole.
 *
 * @module
 */
import type { ServerResponse } from "node:http";

/** Closes the connection of an answer, so that it can't be taken for whole. */
export function breakOff(response: ServerResponse): void {
  response.destroy();
}
