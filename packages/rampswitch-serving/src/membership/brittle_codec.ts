// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Encoding of brittle backend servers in messages between hosts.
 *
 * @module
 */
import type { BrittleUpdate } from "../brittle/mod.ts";
import {
  isCount,
  isName,
  isNonnegative,
  isNumber,
  listOf,
  nullable,
  optional,
  tupleOf,
} from "./checks.ts";

/** Server id, start of its incarnation, bound, age in milliseconds, rejections. */
type EncodedBrittle = [string, number | null, number, number, number];

/** Checks encoded brittle servers; hosts of an earlier version ignore their key. */
export const isBrittle = optional(
  listOf(
    tupleOf<EncodedBrittle>(
      isName,
      nullable(isNumber),
      isNonnegative,
      isNonnegative,
      isCount,
    ),
  ),
);

/** Encodes brittle servers; `undefined` when there are none. */
export function encodedBrittle(
  updates: readonly BrittleUpdate[],
): EncodedBrittle[] | undefined {
  if (updates.length === 0) return undefined;
  return updates.map(({ id, born, bound, age, rejections }) => [
    id,
    born ?? null,
    bound,
    Math.round(age),
    rejections,
  ]);
}

/** Decodes brittle servers. */
export function brittleOf(
  encoded: readonly EncodedBrittle[] | undefined,
): readonly BrittleUpdate[] {
  return (encoded ?? []).map(([id, born, bound, age, rejections]) => ({
    id,
    born: born ?? undefined,
    bound,
    age,
    rejections,
  }));
}
