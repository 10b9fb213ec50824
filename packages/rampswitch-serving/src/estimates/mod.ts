// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Estimates that decisions use: how fast servers currently are, and what requests take.
 *
 * @module
 */
export * from "./reading_rates.ts";
export * from "./request_work.ts";
export * from "./server_speed.ts";
