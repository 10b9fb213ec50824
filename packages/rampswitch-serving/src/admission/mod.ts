// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Limits that all hosts share: tokens of workspaces and the resend budget.
 *
 * @module
 */
export * from "./fleet_admission.ts";
export type * from "./limit_request.ts";
export type * from "./peer_consumption.ts";
export * from "./resend_budget.ts";
export type * from "./consumption_pacer.ts";
export * from "./workspace_limits.ts";
