// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Client of the platform's object API.
 *
 * @module
 */
export * from "./call_accounting.ts";
export * from "./http_object_store.ts";
export * from "./object_store.ts";
export * from "./conditional_change.ts";
export * from "./watcher.ts";
export * from "./store_position.ts";
