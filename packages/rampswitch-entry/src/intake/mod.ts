// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Receives and reads the requests of callers and operators.
 *
 * @module
 */
export * from "./administration_server.ts";
export * from "./caller_request.ts";
export * from "./caller_server.ts";
export * from "./chat_request.ts";
export * from "./entry_listeners.ts";
export * from "./exchange.ts";
export * from "./problem.ts";
export * from "./work_intake.ts";
