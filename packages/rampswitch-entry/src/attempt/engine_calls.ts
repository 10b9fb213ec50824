// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Calls to engines other than attempts: cache migration and abandonment.
 *
 * @module
 */
import { MAXIMUM_CACHE_MIGRATION_MILLISECONDS } from "rampswitch-policy";
import type { BackendServer } from "rampswitch-types";
import { type Clock, sleep } from "rampswitch-utils";
import type { BackendClient } from "./backend_client.ts";

/** A migration of KV cache between two engines. */
export interface CacheMigration {
  readonly from: BackendServer;
  readonly to: BackendServer;
  /** Attempt at `from` whose cache is migrated. */
  readonly attempt: string;
}

/** Makes an engine import an attempt's cache; returns whether it succeeded. */
export async function migrateCache(
  client: BackendClient,
  migration: CacheMigration,
): Promise<boolean> {
  const { from, to, attempt } = migration;
  const reply = await client.call(to.address, {
    method: "POST",
    path: "/v1/kv",
    headers: { "content-type": "application/json" },
    body: Buffer.from(JSON.stringify({ from: from.address, attempt })),
    timeoutMilliseconds: MAXIMUM_CACHE_MIGRATION_MILLISECONDS,
    signal: AbortSignal.timeout(MAXIMUM_CACHE_MIGRATION_MILLISECONDS),
  });
  if (reply.isErr) return false;
  await reply.value.body.dump().catch(() => undefined);
  return reply.value.statusCode === 200;
}

/** An attempt that this host has left. */
export interface AbandonedAttempt {
  readonly server: BackendServer;
  readonly attempt: string;
  readonly clock: Clock;
}

/** Pauses before further calls, in milliseconds. */
const ABANDON_PAUSES_MILLISECONDS: readonly number[] = [50, 100, 200, 400];

const UNKNOWN_ATTEMPT_STATUS = 404;

/**
 * Has an engine end an attempt. A call without a clear answer is made again: the engine
 * may run on, since it need not notice that its stream was closed.
 */
export async function abandonAttempt(
  client: BackendClient,
  abandoned: AbandonedAttempt,
  [pause, ...later]: readonly number[] = ABANDON_PAUSES_MILLISECONDS,
): Promise<void> {
  if (await endAttempt(client, abandoned)) return;
  if (pause === undefined) return;
  await sleep(abandoned.clock, pause);
  await abandonAttempt(client, abandoned, later);
}

/** One call to end an attempt; returns whether the attempt surely doesn't run. */
async function endAttempt(
  client: BackendClient,
  { server, attempt }: AbandonedAttempt,
): Promise<boolean> {
  const reply = await client.call(server.address, {
    method: "DELETE",
    path: `/v1/attempts/${encodeURIComponent(attempt)}`,
    headers: {},
    body: undefined,
    timeoutMilliseconds: MAXIMUM_CACHE_MIGRATION_MILLISECONDS,
  });
  if (reply.isErr) return false;
  await reply.value.body.dump().catch(() => undefined);
  const { statusCode: status } = reply.value;
  return (status >= 200 && status < 300) || status === UNKNOWN_ATTEMPT_STATUS;
}
