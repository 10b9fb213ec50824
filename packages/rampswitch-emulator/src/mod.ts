// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Fleets of serving hosts and engines in simulated time.
 *
 * @module
 */
export * from "./emulated_engine.ts";
export * from "./emulated_fleet.ts";
export * from "./fleet_shape.ts";
export * from "./run_emulator.ts";
export * from "./run_limits.ts";
export * from "./emulated_limits.ts";
export * from "./emulated_rests.ts";
export * from "./emulated_rollout.ts";
export * from "./limits_shape.ts";
export * from "./rollout_shape.ts";
export * from "./run_rests.ts";
export * from "./run_rollouts.ts";
