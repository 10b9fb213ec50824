// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Headers that a host must not forward.
 *
 * @module
 */

/**
 * Hop-by-hop headers, which concern one connection only (RFC 9110, section
 * 7.6.1), in lower case.
 */
export const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
  "connection",
  "keep-alive",
  "proxy-connection",
  "proxy-authenticate",
  "proxy-authorization",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
]);
