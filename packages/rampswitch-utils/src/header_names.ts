// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Checks the names of a message's headers. Some versions of the HTTP parser accept an
 * empty name or one with spaces, which other parsers read differently.
 *
 * @module
 */

/** A name of a header: token characters (RFC 9110, section 5.6.2). */
const HEADER_NAME = /^[\w!#$%&'*+.^`|~-]+$/;

/**
 * Returns the first invalid name among raw headers, which alternate names and values;
 * `undefined` if all are valid.
 */
export function invalidHeaderName(
  rawHeaders: readonly string[],
): string | undefined {
  return rawHeaders.find(
    (text, index) => index % 2 === 0 && !HEADER_NAME.test(text),
  );
}
