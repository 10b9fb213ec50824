// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Sends of requests through another host, where this host does not reach a backend
 * server and the other one does.
 *
 * @module
 */
export * from "./forwarding_client.ts";
export * from "./forwarding_hosts.ts";
export * from "./forwarding_server.ts";
export * from "./server_client.ts";
