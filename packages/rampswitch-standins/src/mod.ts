// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Small stand-ins of the outside systems.
 *
 * @module
 */
export * from "./asked_rests.ts";
export * from "./chat.ts";
export * from "./endless_bytes.ts";
export * from "./endless_server.ts";
export * from "./engine.ts";
export * from "./engine_model.ts";
export * from "./fault_proxy.ts";
export * from "./http_standin.ts";
export * from "./live_buffers.ts";
export * from "./named_limits.ts";
export * from "./object_api.ts";
export * from "./order_book.ts";
export * from "./own_loopback.ts";
export * from "./plain_service.ts";
export * from "./platform_lists.ts";
export * from "./process_use.ts";
export * from "./raw_server.ts";
export * from "./misbehaving_callers.ts";
export * from "./stopped_heads.ts";
