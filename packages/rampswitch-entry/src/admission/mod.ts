// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Decides whether a request may start and whether it may be sent again.
 *
 * @module
 */
export * from "./admission_gate.ts";
export * from "./retry_decider.ts";
