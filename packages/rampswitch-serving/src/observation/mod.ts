// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The host's logs and metrics.
 *
 * @module
 */
export * from "./bounded_output.ts";
export * from "./loop_delay.ts";
export * from "./metrics.ts";
export * from "./winston_logger.ts";
export * from "./line_log.ts";
export * from "./line_sink.ts";
export * from "./return_counters.ts";
