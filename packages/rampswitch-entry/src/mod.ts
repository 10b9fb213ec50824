// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The entry process.
 *
 * @module
 */
export * from "./entry_process.ts";
export * from "./main.ts";
