// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Encoding of server limits, lent time slots and permits in messages between
 * hosts.
 *
 * @module
 */
import * as z from "zod";
import type {
  LimitUpdate,
  HoldersByService,
  PermitReply,
} from "../server_limits/mod.ts";

/** Maximum length of a name, in characters. */
const MAXIMUM_NAME_CHARACTERS = 256;

/** Name of a host, a service or a server. */
export const NAME_SCHEMA = z.string().min(1).max(MAXIMUM_NAME_CHARACTERS);

/**
 * Server id, start time of its incarnation, requests a second (`null`: no limit),
 * age in milliseconds.
 */
const LIMIT_SCHEMA = z.tuple([
  NAME_SCHEMA,
  z.number().nullable(),
  z.number().nonnegative().nullable(),
  z.number().nonnegative(),
]);

/**
 * Limits of servers. The list has a message key of its own, which hosts of an
 * earlier version ignore.
 */
export const LIMITS_SCHEMA = z.array(LIMIT_SCHEMA).optional();

/** Host that time slots are lent to, by service; has a key of its own, as above. */
export const LENT_SCHEMA = z.record(z.string(), NAME_SCHEMA).optional();

/** Query for a permit. */
export const PERMIT_QUERY_SCHEMA = z.object({
  k: z.literal("u"),
  i: z.number(),
  a: z.string(),
  s: NAME_SCHEMA,
  o: z.array(NAME_SCHEMA),
  p: z.enum(["ordinary", "urgent", "continuation"]),
});

/** Answer to a query for a permit: the server, or the milliseconds to wait. */
export const PERMIT_ANSWER_SCHEMA = z.object({
  k: z.literal("v"),
  i: z.number(),
  r: z.union([NAME_SCHEMA, z.number().nonnegative()]),
});

/** Encodes limits; `undefined` when there are none. */
export function encodedLimits(
  limits: readonly LimitUpdate[],
): z.input<typeof LIMITS_SCHEMA> {
  if (limits.length === 0) return undefined;
  return limits.map(({ id, born, perSecond, age }) => [
    id,
    born ?? null,
    perSecond ?? null,
    Math.round(age),
  ]);
}

/** Decodes limits. */
export function limitsOf(
  encoded: z.output<typeof LIMITS_SCHEMA>,
): readonly LimitUpdate[] {
  return (encoded ?? []).map(([id, born, perSecond, age]) => ({
    id,
    born: born ?? undefined,
    perSecond: perSecond ?? undefined,
    age,
  }));
}

/** Encodes loans of time slots; `undefined` when there are none. */
export function encodedLoans(
  lentTo: HoldersByService,
): z.input<typeof LENT_SCHEMA> {
  return Object.keys(lentTo).length === 0 ? undefined : lentTo;
}

/** Decodes the answer to a query for a permit. */
export function permitReplyOf(encoded: string | number): PermitReply {
  return typeof encoded === "string"
    ? { kind: "given", server: encoded }
    : { kind: "wait", milliseconds: encoded };
}
