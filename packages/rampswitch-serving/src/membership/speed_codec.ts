// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Encoding of learned slowdowns of backend servers in messages between hosts.
 *
 * @module
 */
import * as z from "zod";
import type { SlowdownUpdate } from "../choice/mod.ts";
import { NAME_SCHEMA } from "./permit_codec.ts";

/**
 * Server id, start time of its incarnation, slowdown in percent, number of hosts that
 * learned one. The list has a message key of its own, which hosts of an earlier version
 * ignore.
 */
export const SLOWDOWNS_SCHEMA = z
  .array(z.tuple([NAME_SCHEMA, z.number().nullable(), z.number(), z.number()]))
  .optional();

/** Encodes slowdowns; `undefined` when there are none. */
export function encodedSlowdowns(
  slowdowns: readonly SlowdownUpdate[],
): z.input<typeof SLOWDOWNS_SCHEMA> {
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
  encoded: z.output<typeof SLOWDOWNS_SCHEMA>,
): readonly SlowdownUpdate[] {
  return (encoded ?? []).map(([id, born, percent, hosts]) => ({
    id,
    born: born ?? undefined,
    slowdown: percent / 100,
    hosts,
  }));
}
