// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The hosts of the system and what they tell each other.
 *
 * @module
 */
export * from "./membership.ts";
export * from "./peer_news.ts";
export * from "./peer_transport.ts";
