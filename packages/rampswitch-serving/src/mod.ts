// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The serving host: the request pipeline, shared limits, membership and duties.
 *
 * @module
 */
export { framingOf, type ServerConnector } from "./attempt/mod.ts";
export * from "./choice/mod.ts";
export * from "./configuration/configuration_follower.ts";
export * from "./estimates/mod.ts";
export type * from "./model/backend_server.ts";
export type * from "./model/cloud.ts";
export type * from "./model/configuration.ts";
export type * from "./model/engine_control.ts";
export type * from "./model/request.ts";
export * from "./observation/mod.ts";
export * from "./quarantine/mod.ts";
export * from "./demand/arrival_rates.ts";
export * from "./rollout/mod.ts";
export * from "./server_limits/mod.ts";
export * from "./serving_host.ts";
export {
  type ReturnInputs,
  returnSpreadMilliseconds,
} from "./advertisements/mod.ts";
export type * from "./serving_settings.ts";
