// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Encoding of leaving backend servers in messages between hosts.
 *
 * @module
 */
import type { LeavingUpdate } from "../choice/mod.ts";
import {
  isName,
  isNonnegative,
  isNumber,
  listOf,
  nullable,
  optional,
  tupleOf,
} from "./checks.ts";

/** Server id, start time of its incarnation, age in milliseconds. */
type EncodedLeaving = [string, number | null, number];

/**
 * Checks encoded leaving servers. The list has a message key of its own, which hosts
 * of an earlier version ignore.
 */
export const isLeaving = optional(
  listOf(tupleOf<EncodedLeaving>(isName, nullable(isNumber), isNonnegative)),
);

/** Encodes leaving incarnations; `undefined` when there are none. */
export function encodedLeaving(
  incarnations: readonly LeavingUpdate[],
): EncodedLeaving[] | undefined {
  if (incarnations.length === 0) return undefined;
  return incarnations.map(({ id, born, age }) => [
    id,
    born ?? null,
    Math.round(age),
  ]);
}

/** Decodes leaving incarnations. */
export function leavingOf(
  encoded: readonly EncodedLeaving[] | undefined,
): readonly LeavingUpdate[] {
  return (encoded ?? []).map(([id, born, age]) => ({
    id,
    born: born ?? undefined,
    age,
  }));
}
