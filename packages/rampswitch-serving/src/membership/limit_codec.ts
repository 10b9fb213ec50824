// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Encoding of queries whether a request fits into a limit, and of their answers.
 *
 * @module
 */
import {
  type FieldChecks,
  isNonnegative,
  isNumber,
  isPeerAddress,
  isString,
  oneOf,
  optional,
} from "./checks.ts";
import type { LimitAnswer, LimitQuery } from "./peer_messages.ts";

/** Query whether a request fits into a limit. */
export interface EncodedLimitQuery {
  readonly k: "q";
  readonly i: number;
  readonly a: string;
  readonly w: string;
  readonly t: number;
  readonly p: number;
}

/** Answer to a limit query. */
export interface EncodedLimitAnswer {
  readonly k: "a";
  readonly i: number;
  /** Milliseconds after which to retry; absent if admitted. */
  readonly r?: number | undefined;
}

/** Checks of a limit query. */
export const LIMIT_QUERY_CHECKS: FieldChecks<EncodedLimitQuery> = {
  k: oneOf("q"),
  i: isNumber,
  a: isPeerAddress,
  w: isString,
  t: isNonnegative,
  p: isNumber,
};

/** Checks of an answer to a limit query. */
export const LIMIT_ANSWER_CHECKS: FieldChecks<EncodedLimitAnswer> = {
  k: oneOf("a"),
  i: isNumber,
  r: optional(isNonnegative),
};

/** Encodes a limit query. */
export function encodedLimitQuery(query: LimitQuery): EncodedLimitQuery {
  return {
    k: "q",
    i: query.id,
    a: query.address,
    w: query.workspace,
    t: query.tokens,
    p: query.priority,
  };
}

/** Decodes a limit query. */
export function limitQueryOf(query: EncodedLimitQuery): LimitQuery {
  const { i, a, w, t, p } = query;
  return { id: i, address: a, workspace: w, tokens: t, priority: p };
}

/** Encodes an answer to a limit query. */
export function encodedLimitAnswer({
  id,
  decision,
}: LimitAnswer): EncodedLimitAnswer {
  return {
    k: "a",
    i: id,
    ...(decision.kind === "over_limit"
      ? { r: decision.retryAfterMilliseconds }
      : {}),
  };
}

/** Decodes an answer to a limit query. */
export function limitAnswerOf({ i, r }: EncodedLimitAnswer): LimitAnswer {
  return {
    id: i,
    decision:
      r === undefined
        ? { kind: "admitted" }
        : { kind: "over_limit", retryAfterMilliseconds: r },
  };
}
