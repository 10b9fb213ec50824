// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Backend servers that advertise that they are brittle.
 *
 * @module
 */
export * from "./brittle_servers.ts";
export * from "./share_waits.ts";
export * from "./slot_share.ts";
