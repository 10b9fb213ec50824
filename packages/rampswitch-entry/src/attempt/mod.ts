// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Runs of requests and their attempts at backend servers.
 *
 * @module
 */
export * from "./backend_client.ts";
export * from "./chat_run.ts";
export * from "./chat_runner.ts";
export * from "./engine_attempt.ts";
export * from "./engine_calls.ts";
export * from "./event_stream.ts";
export * from "./http_forward.ts";
export * from "./plain_runner.ts";
