// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The membership of the entry hosts, and the platform's reports on hosts.
 *
 * @module
 */
export * from "./entry_updates.ts";
export * from "./membership_service.ts";
export * from "./platform_clients.ts";
export * from "./platform_watch.ts";
