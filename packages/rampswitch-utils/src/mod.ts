// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Utilities shared by all packages.
 *
 * @module
 */
export * from "./body.ts";
export * from "./abort_response.ts";
export * from "./answer_framing.ts";
export * from "./suspend_aware_clock.ts";
export * from "./bounded_reading.ts";
export * from "./bounded_server.ts";
export * from "./buffer_sweeping.ts";
export * from "./clock.ts";
export * from "./collected_bytes.ts";
export * from "./connect_errors.ts";
export * from "./connection_check.ts";
export * from "./connection_ends.ts";
export * from "./disposal.ts";
export * from "./hash.ts";
export * from "./header_names.ts";
export * from "./hop_headers.ts";
export * from "./http_status.ts";
export * from "./json.ts";
export * from "./listen.ts";
export * from "./log.ts";
export * from "./machine_limits.ts";
export * from "./memory_budget.ts";
export * from "./metrics.ts";
export * from "./paced_reading.ts";
export * from "./prompt_blocks.ts";
export * from "./random.ts";
export * from "./reading_turns.ts";
export * from "./supervision.ts";
export * from "./time_limit.ts";
