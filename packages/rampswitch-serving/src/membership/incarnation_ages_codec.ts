// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Encoding of incarnations of backend servers that leave or are lost, each with the age
 * of that news, in messages between hosts.
 *
 * @module
 */
import type { ServerIncarnation } from "../model/backend_server.ts";
import {
  isName,
  isNonnegative,
  isNumber,
  listOf,
  nullable,
  optional,
  tupleOf,
} from "./checks.ts";

/** An incarnation and an age, in milliseconds. */
interface AgedIncarnation extends ServerIncarnation {
  readonly age: number;
}

/** Server id, start time of its incarnation, age in milliseconds. */
type EncodedAge = [string, number | null, number];

/**
 * Checks encoded incarnations. Each list has a message key of its own, which hosts of an
 * earlier version ignore.
 */
export const isIncarnationAges = optional(
  listOf(tupleOf<EncodedAge>(isName, nullable(isNumber), isNonnegative)),
);

/** Encodes incarnations; `undefined` when there are none. */
export function encodedIncarnationAges(
  incarnations: readonly AgedIncarnation[],
): EncodedAge[] | undefined {
  if (incarnations.length === 0) return undefined;
  return incarnations.map(({ id, born, age }) => [
    id,
    born ?? null,
    Math.round(age),
  ]);
}

/** Decodes incarnations. */
export function incarnationAgesOf(
  encoded: readonly EncodedAge[] | undefined,
): readonly AgedIncarnation[] {
  return (encoded ?? []).map(([id, born, age]) => ({
    id,
    born: born ?? undefined,
    age,
  }));
}
