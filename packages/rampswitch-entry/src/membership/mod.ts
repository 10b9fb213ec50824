// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The other hosts, and what the platform tells of hosts.
 *
 * @module
 */
export * from "./entry_news.ts";
export * from "./membership_service.ts";
export * from "./platform_clients.ts";
export * from "./platform_watch.ts";
