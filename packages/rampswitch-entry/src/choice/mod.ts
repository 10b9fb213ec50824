// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * State of the backend servers on this host, and the choice among them.
 *
 * @module
 */
export * from "./backend_directory.ts";
