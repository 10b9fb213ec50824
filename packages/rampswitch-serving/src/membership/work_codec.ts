// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Encoding of work at backend servers in messages between hosts.
 *
 * @module
 */
import {
  isNumber,
  isNumberPair,
  isNumbers,
  listOf,
  optional,
  recordOf,
} from "./checks.ts";
import type { DispatchUpdate, WorkByServer } from "./peer_messages.ts";

/** Running requests and pending prefill tokens, by server. */
export type EncodedWork = Readonly<Record<string, readonly [number, number]>>;

/** Start times of server incarnations, by server. */
export type EncodedIncarnations = Readonly<Record<string, number>>;

/**
 * Memory that requests will hold, in hundreds of tokens, by the position of the server
 * in the work. It has a message key of its own, as the start times below; a list without
 * names takes a third of the bytes of one with them.
 */
export type EncodedMemory = readonly number[];

/** Checks encoded memory. */
export const isMemory = optional(listOf(isNumber));

/** Unit of encoded memory, in tokens. */
const MEMORY_UNIT_TOKENS = 100;

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

/** Encodes the memory that requests will hold; `undefined` if none is counted. */
export function encodedMemory(
  byServer: WorkByServer,
): EncodedMemory | undefined {
  const works = Object.values(byServer);
  return works.some(({ memoryTokens }) => memoryTokens !== undefined)
    ? works.map(({ memoryTokens = 0 }) =>
        Math.ceil(memoryTokens / MEMORY_UNIT_TOKENS),
      )
    : undefined;
}

/** Decodes work, the incarnations of the servers and the memory that is held there. */
export function workOf(
  byServer: EncodedWork,
  born: EncodedIncarnations | undefined,
  memory: EncodedMemory | undefined,
): WorkByServer {
  const work: Record<string, WorkByServer[string]> = {};
  const servers = Object.entries(byServer);
  const counted = memory?.length === servers.length ? memory : undefined;
  servers.forEach(([server, [running, pendingPrefillTokens]], at) => {
    const units = counted?.[at] ?? 0;
    work[server] = {
      running,
      pendingPrefillTokens,
      ...(units === 0
        ? undefined
        : { memoryTokens: units * MEMORY_UNIT_TOKENS }),
      born: born?.[server],
    };
  });
  return work;
}
