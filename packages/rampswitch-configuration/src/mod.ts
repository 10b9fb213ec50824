// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Configuration, membership, leaving marks and leases, as functions without
 * I/O.
 *
 * @module
 */
export * from "./configuration_state.ts";
export * from "./freshness.ts";
export * from "./leaving_marks.ts";
export * from "./lease.ts";
export * from "./membership.ts";
export * from "./order_plan.ts";
export * from "./reference_check.ts";
export * from "./revision_log.ts";
