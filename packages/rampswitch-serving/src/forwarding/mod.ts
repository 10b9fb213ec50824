// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Sends of requests through another host, where this host does not reach a backend
 * server and the other one does.
 *
 * @module
 */
export { ServerAccess } from "./server_access.ts";
export { ServerClient } from "./server_client.ts";
