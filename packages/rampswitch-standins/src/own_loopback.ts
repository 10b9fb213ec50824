// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The loopback address of this process alone, on which its stand-ins listen. A client
 * that outlives the stand-in it calls reaches nobody there, although the system may give
 * the port to another process meanwhile.
 *
 * @module
 */

/** Values of the second byte; those below are the networks of host processes. */
const SECOND_BYTE = { first: 201, count: 54 };

/** Values of the third byte. */
const THIRD_BYTE = { first: 0, count: 256 };

/** Values of the fourth byte, without those that name a network or a broadcast. */
const FOURTH_BYTE = { first: 1, count: 254 };

/** Returns the loopback address of a process; ids that share one are millions apart. */
export function loopbackOf(processId: number): string {
  const fourth = FOURTH_BYTE.first + (processId % FOURTH_BYTE.count);
  const upper = Math.floor(processId / FOURTH_BYTE.count);
  const third = THIRD_BYTE.first + (upper % THIRD_BYTE.count);
  const top = Math.floor(upper / THIRD_BYTE.count);
  const second = SECOND_BYTE.first + (top % SECOND_BYTE.count);
  return `127.${second}.${third}.${fourth}`;
}

/** Address of this process without a port. */
export const OWN_LOOPBACK = loopbackOf(process.pid);

/** Address of this process on a port that the system chooses. */
export const OWN_ADDRESS = `${OWN_LOOPBACK}:0`;
