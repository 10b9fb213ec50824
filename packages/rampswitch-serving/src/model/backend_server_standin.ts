// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Entries of backend servers for tests.
 *
 * @module
 */
import type { BackendServer } from "./backend_server.ts";

/** Returns the entry of a ready server with 8 slots; tests state what they rely on. */
export function backendServerStandin(
  differences: Partial<BackendServer> = {},
): BackendServer {
  return {
    id: "s1",
    born: undefined,
    service: "models",
    address: "127.0.0.1:1",
    dataHall: "a",
    version: "v1",
    slots: 8,
    state: "ready",
    reclaimable: true,
    ...differences,
  };
}
