// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Duties that one host performs for all hosts under leases.
 *
 * @module
 */
export * from "./capacity_service.ts";
export * from "./control_service.ts";
export * from "./lease_keeper.ts";
