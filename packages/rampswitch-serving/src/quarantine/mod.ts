// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Quarantine of requests that are suspected to crash backend servers.
 *
 * @module
 */
export * from "./fingerprint.ts";
export * from "./quarantine.ts";
export * from "./quarantine_store.ts";
