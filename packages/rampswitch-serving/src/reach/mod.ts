// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Which backend servers this host and its peers reach over their own links, and which
 * ones they lost.
 *
 * @module
 */
export * from "./lost_servers.ts";
export * from "./peer_reach.ts";
export * from "./server_contacts.ts";
