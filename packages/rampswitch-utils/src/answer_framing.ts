// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Whether an answer marks its end, or ends with its connection, so that a part of it
 * looks the same (RFC 9112, section 6.3).
 *
 * @module
 */

/** What of an answer's head tells how it ends. */
export interface FramingHead {
  /** Method of the request that it answers. */
  readonly method: string;
  readonly status: number;
  readonly transferEncoding: string | undefined;
  readonly contentLength: string | undefined;
}

/** Statuses of answers that have no body. */
const BODILESS: ReadonlySet<number> = new Set([204, 304]);

/** Whether an answer marks its end by a length or by chunks, or has no body. */
export function isFramed(head: FramingHead): boolean {
  if (head.method === "HEAD" || BODILESS.has(head.status)) return true;
  // A coding other than chunks marks no end, and overrides a length.
  return head.transferEncoding === undefined
    ? head.contentLength !== undefined
    : /(^|,)\s*chunked\s*$/i.test(head.transferEncoding);
}
