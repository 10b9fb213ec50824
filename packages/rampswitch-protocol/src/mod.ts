// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The slot protocol as pure functions and state machines.
 *
 * @module
 */
export * from "./exploration.ts";
export * from "./request_id.ts";
export * from "./slot_placement.ts";
export * from "./slot_replica.ts";
export * from "./slot_rules.ts";
export * from "./slot_types.ts";
