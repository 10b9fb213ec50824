// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Sends of one request and what is known of them.
 *
 * @module
 */
export * from "./attempt_machine.ts";
export * from "./backend_client.ts";
