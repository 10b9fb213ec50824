// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The hosts of the system and what they tell each other.
 *
 * @module
 */
export type { LimitRequest } from "./limit_questions.ts";
export type { HostRole } from "./fleet_hosts.ts";
export { newsLagMilliseconds, PACE_BY_ROLE } from "./fleet_hosts.ts";
export * from "./membership.ts";
export * from "./peer_codec.ts";
export * from "./peer_news.ts";
export * from "./peer_transport.ts";
export * from "./prompt_news.ts";
export * from "./relay_plan.ts";
