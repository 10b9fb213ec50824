// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Connect services between entry hosts.
 *
 * @module
 */
export * from "./generated/rampswitch/peer/v1/peer_pb.ts";
export * from "./peer_client.ts";
export * from "./peer_server.ts";
export * from "./peer_token.ts";
