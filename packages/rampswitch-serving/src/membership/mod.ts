// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Fleet membership: discovery of the other hosts and the gossip between them.
 *
 * @module
 */
export type { HostRole } from "./fleet_hosts.ts";
export { gossipLagMilliseconds, GOSSIP_TIMING_BY_ROLE } from "./fleet_hosts.ts";
export * from "./membership.ts";
export * from "./peer_codec.ts";
export * from "./peer_messages.ts";
export * from "./peer_transport.ts";
export * from "./prompt_broadcast.ts";
export * from "./relay_plan.ts";
