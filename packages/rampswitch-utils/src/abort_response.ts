// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Aborting a response that can't be completed.
 *
 * @module
 */
import type { ServerResponse } from "node:http";

/**
 * Closes the connection of a response, so that the caller does not take it for
 * complete. Data written before is sent as far as the socket accepts it at once.
 */
export function abortResponse(response: ServerResponse): void {
  // Node corks the writes of one event loop turn, and destroy() would drop them:
  // the caller would never get events that are ready, however often it retries.
  response.socket?.uncork();
  // Without chunks, as with a caller of HTTP/1.0, the end of the connection would be
  // that of the answer.
  if (response.headersSent && !response.chunkedEncoding)
    response.socket?.resetAndDestroy();
  response.destroy();
}
