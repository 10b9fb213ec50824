// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Errors of calls of which surely nothing was sent. The system ends connections that are
 * open with the same codes, after which a call may have taken effect.
 *
 * @module
 */

/** Codes of the system where no connection came up. */
const CONNECT_CODES: ReadonlySet<string | undefined> = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "EADDRNOTAVAIL",
]);

/** Code of undici where none came up in time. */
const CONNECT_TIMEOUT_CODE = "UND_ERR_CONNECT_TIMEOUT";

/** Whether an error shows that no connection came up, so that nothing was sent. */
export function wasNeverConnected(error: unknown): boolean {
  if (typeof error !== "object" || error === null) return false;
  // An error of the system need not be an `Error` of the realm that reads it.
  const { code, syscall } = error as NodeJS.ErrnoException;
  return (
    code === CONNECT_TIMEOUT_CODE ||
    (syscall === "connect" && CONNECT_CODES.has(code))
  );
}
