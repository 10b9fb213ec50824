// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Sends one request to backend servers and tracks the state of its attempt.
 *
 * @module
 */
export * from "./answer_end.ts";
export * from "./attempt_machine.ts";
export * from "./backend_client.ts";
export type { ContactLoss, ServerContact } from "./open_connections.ts";
