// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The form of servers that said that they leave in messages between hosts.
 *
 * @module
 */
import * as z from "zod";
import type { LeavingNews } from "../choice/mod.ts";
import { NAME_SCHEMA } from "./turn_codec.ts";

/**
 * Server, start of its life, age. A key of its own in messages: hosts of a former
 * version pass over it.
 */
export const LEAVING_SCHEMA = z
  .array(
    z.tuple([NAME_SCHEMA, z.number().nullable(), z.number().nonnegative()]),
  )
  .optional();

/** Encodes lives; nothing where there are none. */
export function encodedLeaving(
  lives: readonly LeavingNews[],
): z.input<typeof LEAVING_SCHEMA> {
  if (lives.length === 0) return undefined;
  return lives.map(({ id, born, age }) => [id, born ?? null, Math.round(age)]);
}

/** Decodes lives. */
export function leavingOf(
  encoded: z.output<typeof LEAVING_SCHEMA>,
): readonly LeavingNews[] {
  return (encoded ?? []).map(([id, born, age]) => ({
    id,
    born: born ?? undefined,
    age,
  }));
}
