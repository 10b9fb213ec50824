// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Handles the state that backend servers advertise in their answers.
 *
 * @module
 */
export * from "./server_advertisements.ts";
export * from "./leaving_advertisements.ts";
export * from "./engine_report.ts";
export * from "./back_off_advertisements.ts";
