// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The operators' command line.
 *
 * @module
 */
export * from "./exit_codes.ts";
export * from "./main.ts";
