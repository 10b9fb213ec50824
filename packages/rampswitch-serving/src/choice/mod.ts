// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Selects the backend server for each request.
 *
 * @module
 */
export * from "./server_back_off.ts";
export * from "./choose_server.ts";
export * from "./leaving_incarnations.ts";
export * from "./slot_admission.ts";
export * from "./prefix_cache_estimate.ts";
export * from "./server_directory.ts";
export * from "./server_record.ts";
export * from "./slowdown_updates.ts";
export * from "./work_without.ts";
