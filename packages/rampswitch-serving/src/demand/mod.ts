// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Demand for the services, of this host and of the fleet.
 *
 * @module
 */
export * from "./fleet_arrivals.ts";
