// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Encoding of server limits, lent time slots and permits in messages between
 * hosts.
 *
 * @module
 */
import type {
  LimitUpdate,
  HoldersByService,
  PermitUrgency,
} from "../server_limits/mod.ts";
import {
  type FieldChecks,
  isName,
  isNonnegative,
  isNumber,
  isPeerAddress,
  listOf,
  nullable,
  oneOf,
  optional,
  recordOf,
  tupleOf,
} from "./checks.ts";
import type { PermitAnswer, PermitQuery } from "./peer_messages.ts";

/**
 * Server id, start time of its incarnation, requests a second (`null`: no limit),
 * age in milliseconds.
 */
type EncodedLimit = [string, number | null, number | null, number];

/**
 * Checks encoded limits of servers. The list has a message key of its own, which
 * hosts of an earlier version ignore.
 */
export const isLimits = optional(
  listOf(
    tupleOf<EncodedLimit>(
      isName,
      nullable(isNumber),
      nullable(isNonnegative),
      isNonnegative,
    ),
  ),
);

/** Checks the host that time slots are lent to, by service; has a key of its own. */
export const isLoans = optional(recordOf(isName));

/** Query for a permit. */
export interface EncodedPermitQuery {
  readonly k: "u";
  readonly i: number;
  readonly a: string;
  readonly s: string;
  readonly o: readonly string[];
  readonly p: PermitUrgency;
}

/** Answer to a query for a permit: the server, or the milliseconds to wait. */
export interface EncodedPermitAnswer {
  readonly k: "v";
  readonly i: number;
  readonly r: string | number;
}

/** Checks of a query for a permit. */
export const PERMIT_QUERY_CHECKS: FieldChecks<EncodedPermitQuery> = {
  k: oneOf("u"),
  i: isNumber,
  a: isPeerAddress,
  s: isName,
  o: listOf(isName),
  p: oneOf("ordinary", "urgent", "continuation"),
};

/** Checks of an answer to a query for a permit. */
export const PERMIT_ANSWER_CHECKS: FieldChecks<EncodedPermitAnswer> = {
  k: oneOf("v"),
  i: isNumber,
  r: (value): value is string | number => isName(value) || isNonnegative(value),
};

/** Encodes a query for a permit. */
export function encodedPermitQuery(query: PermitQuery): EncodedPermitQuery {
  return {
    k: "u",
    i: query.id,
    a: query.address,
    s: query.service,
    o: query.servers,
    p: query.urgency,
  };
}

/** Decodes a query for a permit. */
export function permitQueryOf(query: EncodedPermitQuery): PermitQuery {
  const { i, a, s, o, p } = query;
  return { id: i, address: a, service: s, servers: o, urgency: p };
}

/** Encodes the answer to a query for a permit. */
export function encodedPermitAnswer({
  id,
  reply,
}: PermitAnswer): EncodedPermitAnswer {
  return {
    k: "v",
    i: id,
    r: reply.kind === "given" ? reply.server : Math.ceil(reply.milliseconds),
  };
}

/** Decodes the answer to a query for a permit. */
export function permitAnswerOf({ i, r }: EncodedPermitAnswer): PermitAnswer {
  return {
    id: i,
    reply:
      typeof r === "string"
        ? { kind: "given", server: r }
        : { kind: "wait", milliseconds: r },
  };
}

/** Encodes limits; `undefined` when there are none. */
export function encodedLimits(
  limits: readonly LimitUpdate[],
): EncodedLimit[] | undefined {
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
  encoded: readonly EncodedLimit[] | undefined,
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
): HoldersByService | undefined {
  return Object.keys(lentTo).length === 0 ? undefined : lentTo;
}
