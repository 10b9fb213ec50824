// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * What this host knows of the backend servers that it chooses from.
 *
 * @module
 */
export * from "./backend_directory.ts";
