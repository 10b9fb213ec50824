// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Exit codes of the command line, for scripts.
 *
 * @module
 */

/** Exit codes by meaning. */
export const EXIT = {
  done: 0,
  failed: 1,
  usage: 2,
  conflict: 3,
  invalid: 4,
  unknown: 5,
  unreachable: 6,
  refused: 7,
} as const;

/** One exit code. */
export type ExitCode = (typeof EXIT)[keyof typeof EXIT];
