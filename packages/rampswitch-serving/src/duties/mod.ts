// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Duties: work that one host does for all, under a lease in the store.
 *
 * @module
 */
export * from "./capacity_duty.ts";
export * from "./capacity_plan.ts";
export * from "./duty_keeper.ts";
export * from "./duty_lease.ts";
export * from "./final_usage.ts";
export * from "./host_duties.ts";
export { PeerLeases } from "./peer_leases.ts";
export * from "./usage_duty.ts";
export * from "./usage_counter.ts";
