// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Decisions without I/O: routing, choice of backend server, admission, retries,
 * health and capacity.
 *
 * @module
 */
export * from "./admission.ts";
export * from "./affinity_ring.ts";
export * from "./capacity_plan.ts";
export * from "./choice.ts";
export * from "./migration_plan.ts";
export * from "./prefix_index.ts";
export * from "./retry.ts";
export * from "./routing_table.ts";
export * from "./server_health.ts";
export * from "./server_load.ts";
