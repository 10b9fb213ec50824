// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Calls to engines beside the attempts themselves.
 *
 * @module
 */
import { CACHE_MOVE_MILLISECONDS } from "rampswitch-policy";
import type { BackendServer } from "rampswitch-types";
import type { BackendClient } from "./backend_client.ts";

/** A move of KV cache between two engines. */
export interface CacheMove {
  readonly from: BackendServer;
  readonly to: BackendServer;
  /** Attempt at `from` whose cache is moved. */
  readonly attempt: string;
}

/** Lets an engine import the cache of an attempt; tells whether it did. */
export async function moveCache(
  client: BackendClient,
  move: CacheMove,
): Promise<boolean> {
  const { from, to, attempt } = move;
  const reply = await client.call(to.address, {
    method: "POST",
    path: "/v1/kv",
    headers: { "content-type": "application/json" },
    body: Buffer.from(JSON.stringify({ from: from.address, attempt })),
    timeoutMilliseconds: CACHE_MOVE_MILLISECONDS,
    signal: AbortSignal.timeout(CACHE_MOVE_MILLISECONDS),
  });
  if (reply.isErr) return false;
  await reply.value.body.dump().catch(() => undefined);
  return reply.value.statusCode === 200;
}

/** Tells an engine that nobody reads an attempt any more. */
export async function abandonAttempt(
  client: BackendClient,
  server: BackendServer,
  attempt: string,
): Promise<void> {
  const reply = await client.call(server.address, {
    method: "DELETE",
    path: `/v1/attempts/${encodeURIComponent(attempt)}`,
    headers: {},
    body: undefined,
    timeoutMilliseconds: CACHE_MOVE_MILLISECONDS,
  });
  if (reply.isOk) await reply.value.body.dump().catch(() => undefined);
}
