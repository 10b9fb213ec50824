// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Encoding of learned slowdowns of backend servers in messages between hosts.
 *
 * @module
 */
import type { SlowdownUpdate } from "../choice/mod.ts";
import {
  isName,
  isNumber,
  listOf,
  nullable,
  optional,
  tupleOf,
} from "./checks.ts";

/**
 * Server id, start time of its incarnation, slowdown in percent, number of hosts that
 * learned one.
 */
type EncodedSlowdown = [string, number | null, number, number];

/**
 * Checks encoded slowdowns. The list has a message key of its own, which hosts of an
 * earlier version ignore.
 */
export const isSlowdowns = optional(
  listOf(
    tupleOf<EncodedSlowdown>(isName, nullable(isNumber), isNumber, isNumber),
  ),
);

/** Encodes slowdowns; `undefined` when there are none. */
export function encodedSlowdowns(
  slowdowns: readonly SlowdownUpdate[],
): EncodedSlowdown[] | undefined {
  if (slowdowns.length === 0) return undefined;
  return slowdowns.map(({ id, born, slowdown, hosts }) => [
    id,
    born ?? null,
    Math.round(100 * slowdown),
    hosts,
  ]);
}

/** Decodes slowdowns. */
export function slowdownsOf(
  encoded: readonly EncodedSlowdown[] | undefined,
): readonly SlowdownUpdate[] {
  return (encoded ?? []).map(([id, born, percent, hosts]) => ({
    id,
    born: born ?? undefined,
    slowdown: percent / 100,
    hosts,
  }));
}
