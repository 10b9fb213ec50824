// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Encoding of work at backend servers in messages between hosts.
 *
 * @module
 */
import { isNumberPair, isNumbers, optional, recordOf } from "./checks.ts";
import type { DispatchUpdate, WorkByServer } from "./peer_messages.ts";

/** Running requests and pending prefill tokens, by server. */
export type EncodedWork = Readonly<Record<string, readonly [number, number]>>;

/** Start times of server incarnations, by server. */
export type EncodedIncarnations = Readonly<Record<string, number>>;

/** Checks encoded work. */
export const isWork = recordOf(isNumberPair);

/**
 * Checks the start times of the server incarnations that a message refers to. They
 * have a key of their own instead of a field in the work: hosts of an earlier
 * version accept a message with unknown keys, but reject one in which the value of
 * a known key has another structure.
 */
export const isIncarnations = optional(isNumbers);

/** Encodes work. */
export function encodedWork(byServer: WorkByServer): EncodedWork {
  const encoded: Record<string, [number, number]> = {};
  for (const [server, work] of Object.entries(byServer)) {
    encoded[server] = [work.running, work.pendingPrefillTokens];
  }
  return encoded;
}

/**
 * Encodes one incarnation of each server: the newest that the host knows;
 * `undefined` if none is known.
 */
export function encodedIncarnations(
  work: WorkByServer,
  dispatches: readonly DispatchUpdate[],
): EncodedIncarnations | undefined {
  const encoded: Record<string, number> = {};
  let isEmpty = true;
  const add = (server: string, born: number | undefined) => {
    if (born === undefined) return;
    encoded[server] = born;
    isEmpty = false;
  };
  Object.entries(work).forEach(([server, { born }]) => add(server, born));
  dispatches.forEach(({ server, born }) => add(server, born));
  return isEmpty ? undefined : encoded;
}

/** Decodes work and the incarnations of the servers. */
export function workOf(
  byServer: EncodedWork,
  born: EncodedIncarnations | undefined,
): WorkByServer {
  const work: Record<string, WorkByServer[string]> = {};
  for (const [server, [running, pendingPrefillTokens]] of Object.entries(
    byServer,
  )) {
    work[server] = { running, pendingPrefillTokens, born: born?.[server] };
  }
  return work;
}
