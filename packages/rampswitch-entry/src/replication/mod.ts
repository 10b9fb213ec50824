// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Request slots, and the replication of request progress to other hosts.
 *
 * @module
 */
export * from "./message_queue.ts";
export * from "./peer_handlers.ts";
export * from "./peer_messages.ts";
export * from "./primary_forwarding.ts";
export * from "./replica_link.ts";
export * from "./request_recovery.ts";
export * from "./request_replication.ts";
export * from "./slot_service.ts";
export * from "./slot_table.ts";
