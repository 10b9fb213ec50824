// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The form of limits and turns in messages between hosts.
 *
 * @module
 */
import * as z from "zod";
import type { LimitNews, LentTo, TurnReply } from "../server_limits/mod.ts";

/** Most characters of a name in a message. */
const LONGEST_NAME = 256;

/** A name of a host, a service or a server. */
export const NAME_SCHEMA = z.string().min(1).max(LONGEST_NAME);

/** Server, start of its life, requests a second (`null`: no limit), age. */
const LIMIT_SCHEMA = z.tuple([
  NAME_SCHEMA,
  z.number().nullable(),
  z.number().nonnegative().nullable(),
  z.number().nonnegative(),
]);

/** Limits; a key of its own in messages: hosts of a former version pass over it. */
export const LIMITS_SCHEMA = z.array(LIMIT_SCHEMA).optional();

/** To which host slots are lent, by service; a key of its own, as above. */
export const LENT_SCHEMA = z.record(z.string(), NAME_SCHEMA).optional();

/** A question for a turn. */
export const TURN_QUESTION_SCHEMA = z.object({
  k: z.literal("u"),
  i: z.number(),
  a: z.string(),
  s: NAME_SCHEMA,
  o: z.array(NAME_SCHEMA),
  p: z.enum(["ordinary", "urgent", "continuation"]),
});

/** Its answer: the server, or the milliseconds after which to ask again. */
export const TURN_ANSWER_SCHEMA = z.object({
  k: z.literal("v"),
  i: z.number(),
  r: z.union([NAME_SCHEMA, z.number().nonnegative()]),
});

/** Encodes limits; nothing where there are none. */
export function encodedLimits(
  limits: readonly LimitNews[],
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
): readonly LimitNews[] {
  return (encoded ?? []).map(([id, born, perSecond, age]) => ({
    id,
    born: born ?? undefined,
    perSecond: perSecond ?? undefined,
    age,
  }));
}

/** Encodes loans of slots; nothing where there are none. */
export function encodedLoans(lentTo: LentTo): z.input<typeof LENT_SCHEMA> {
  return Object.keys(lentTo).length === 0 ? undefined : lentTo;
}

/** Decodes the answer to a question for a turn. */
export function turnReplyOf(encoded: string | number): TurnReply {
  return typeof encoded === "string"
    ? { kind: "given", server: encoded }
    : { kind: "wait", milliseconds: encoded };
}
