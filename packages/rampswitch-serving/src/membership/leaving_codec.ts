// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Encoding of leaving backend servers in messages between hosts.
 *
 * @module
 */
import * as z from "zod";
import type { LeavingUpdate } from "../choice/mod.ts";
import { NAME_SCHEMA } from "./permit_codec.ts";

/**
 * Server id, start time of its incarnation, age in milliseconds. The list has a
 * message key of its own, which hosts of an earlier version ignore.
 */
export const LEAVING_SCHEMA = z
  .array(
    z.tuple([NAME_SCHEMA, z.number().nullable(), z.number().nonnegative()]),
  )
  .optional();

/** Encodes leaving incarnations; `undefined` when there are none. */
export function encodedLeaving(
  incarnations: readonly LeavingUpdate[],
): z.input<typeof LEAVING_SCHEMA> {
  if (incarnations.length === 0) return undefined;
  return incarnations.map(({ id, born, age }) => [
    id,
    born ?? null,
    Math.round(age),
  ]);
}

/** Decodes leaving incarnations. */
export function leavingOf(
  encoded: z.output<typeof LEAVING_SCHEMA>,
): readonly LeavingUpdate[] {
  return (encoded ?? []).map(([id, born, age]) => ({
    id,
    born: born ?? undefined,
    age,
  }));
}
