// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The entry process of rampswitch.
 *
 * @module
 */
export type { EntryAddresses } from "./intake/entry_listeners.ts";
export type { EntryEnvironment } from "./entry_parts.ts";
export * from "./entry_process.ts";
export * from "./main.ts";
