// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Requests under which backend servers end, and what is done about them.
 *
 * @module
 */
export * from "./fingerprint.ts";
export * from "./quarantine.ts";
export * from "./quarantine_store.ts";
