// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Quarantine of requests and prompt parts that are suspected to crash backend servers.
 *
 * @module
 */
export * from "./crash_quarantine.ts";
export * from "./fingerprint.ts";
export * from "./part_quarantine.ts";
export * from "./quarantine.ts";
export * from "./quarantine_store.ts";
export * from "./quarantine_update.ts";
export * from "./recent_answers.ts";
export * from "./shared_parts.ts";
