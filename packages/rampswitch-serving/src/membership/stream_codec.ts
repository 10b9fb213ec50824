// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Encoding of the versions that began streams, of queries for them, and of answers.
 *
 * @module
 */
import {
  type KeeperState,
  namesVersion,
  type StreamRecord,
  type StreamReply,
} from "../streams/mod.ts";
import {
  type FieldChecks,
  isBoolean,
  isName,
  isNonnegative,
  isNumber,
  isPeerAddress,
  isShortText,
  oneOf,
  optional,
} from "./checks.ts";
import type { StreamAnswer, StreamQuery } from "./peer_messages.ts";

/** The version that began a stream. */
export interface EncodedStream {
  readonly k: "b";
  readonly s: string;
  readonly r: string;
  /** Absent if it can't be told. */
  readonly v?: string | undefined;
  /** Id of the server that began it; absent if it is not known. */
  readonly w?: string | undefined;
  /** Start of that server, where its entry is to tell the version. */
  readonly n?: number | undefined;
  /** Time since it began, or was learned of, in milliseconds; absent if it began now. */
  readonly g?: number | undefined;
  /** Time in which the stream may be taken up, in milliseconds. */
  readonly t: number;
}

/** Query for the version of a stream. */
export interface EncodedStreamQuery {
  readonly k: "e";
  readonly i: number;
  readonly a: string;
  readonly s: string;
  readonly r: string;
}

/** Answer to a query for the version of a stream. */
export interface EncodedStreamAnswer {
  readonly k: "f";
  readonly i: number;
  readonly o: Exclude<StreamReply["kind"], "uncertain">;
  /** Absent if it is not known. */
  readonly v?: string | undefined;
  /**
   * Whether it can't be told. The kind is then `unknown`: hosts of earlier releases
   * accept no other kind, and would drop the answer.
   */
  readonly u?: boolean | undefined;
  /** Id of the server that began it, if the host has not listed it otherwise. */
  readonly w?: string | undefined;
  /** Time since the host learned of it, in milliseconds. */
  readonly t?: number | undefined;
  /** Time since the host started, in milliseconds. */
  readonly r?: number | undefined;
  /**
   * Time since its list of servers certainly had all changes, in milliseconds; absent
   * before the first list.
   */
  readonly l?: number | undefined;
}

/** Checks of a stream's version. */
export const STREAM_CHECKS: FieldChecks<EncodedStream> = {
  k: oneOf("b"),
  s: isName,
  r: isName,
  v: optional(isShortText),
  w: optional(isName),
  n: optional(isNumber),
  g: optional(isNonnegative),
  t: isNonnegative,
};

/** Checks of a query for a stream's version. */
export const STREAM_QUERY_CHECKS: FieldChecks<EncodedStreamQuery> = {
  k: oneOf("e"),
  i: isNumber,
  a: isPeerAddress,
  s: isName,
  r: isShortText,
};

/** Checks of an answer to a query for a stream's version. */
export const STREAM_ANSWER_CHECKS: FieldChecks<EncodedStreamAnswer> = {
  k: oneOf("f"),
  i: isNumber,
  o: oneOf(
    "known",
    "single",
    "single_since_gap",
    "single_recently",
    "none",
    "unknown",
  ),
  v: optional(isShortText),
  u: optional(isBoolean),
  w: optional(isName),
  t: optional(isNonnegative),
  r: optional(isNonnegative),
  l: optional(isNonnegative),
};

/** Encodes a stream's version. */
export function encodedStream(record: StreamRecord): EncodedStream {
  const { service, attempt, version, serverId, start } = record;
  const { ageMilliseconds, lifetimeMilliseconds } = record;
  return {
    k: "b",
    s: service,
    r: attempt,
    v: version,
    w: serverId,
    n: start,
    g: ageMilliseconds,
    t: Math.ceil(lifetimeMilliseconds),
  };
}

/** Decodes a stream's version. */
export function streamOf({ s, r, v, w, n, g, t }: EncodedStream): StreamRecord {
  return {
    service: s,
    attempt: r,
    version: v,
    serverId: w,
    start: n,
    ageMilliseconds: g,
    lifetimeMilliseconds: t,
  };
}

/** Encodes a query for a stream's version. */
export function encodedStreamQuery(query: StreamQuery): EncodedStreamQuery {
  const { id, address, service, attempt } = query;
  return { k: "e", i: id, a: address, s: service, r: attempt };
}

/** Decodes a query for a stream's version. */
export function streamQueryOf({ i, a, s, r }: EncodedStreamQuery): StreamQuery {
  return { id: i, address: a, service: s, attempt: r };
}

/** Encodes an answer to a query for a stream's version. */
export function encodedStreamAnswer({
  id,
  reply,
  state,
}: StreamAnswer): EncodedStreamAnswer {
  const told = encodedState(state);
  if (reply.kind === "uncertain") {
    return { k: "f", i: id, o: "unknown", u: true, ...told };
  }
  const version = namesVersion(reply) ? { v: reply.version } : {};
  const server =
    reply.kind === "known"
      ? { w: reply.serverId, t: reply.ageMilliseconds }
      : {};
  return { k: "f", i: id, o: reply.kind, ...version, ...server, ...told };
}

/** Decodes an answer to a query for a stream's version. */
export function streamAnswerOf({
  i,
  o,
  v,
  u,
  w,
  t,
  ...encoded
}: EncodedStreamAnswer): StreamAnswer {
  const state = stateOf(encoded);
  const told = state === undefined ? {} : { state };
  if (u === true) return { id: i, reply: { kind: "uncertain" }, ...told };
  if (o === "none") return { id: i, reply: { kind: o }, ...told };
  if (o === "unknown" || v === undefined) {
    return { id: i, reply: { kind: "unknown" }, ...told };
  }
  const server = o === "known" ? { serverId: w, ageMilliseconds: t } : {};
  return { id: i, reply: { kind: o, version: v, ...server }, ...told };
}

/** The state, as times that are no more favourable than the true ones. */
function encodedState(
  state: KeeperState | undefined,
): Pick<EncodedStreamAnswer, "l" | "r"> {
  if (state === undefined) return {};
  const { runningMilliseconds, listAgeMilliseconds } = state;
  const age = Math.ceil(listAgeMilliseconds);
  return {
    r: Math.floor(runningMilliseconds),
    // JSON has no infinite number.
    ...(Number.isFinite(age) ? { l: age } : {}),
  };
}

/** The state that an answer tells; `undefined` from hosts that don't tell it. */
function stateOf({
  r,
  l,
}: Pick<EncodedStreamAnswer, "l" | "r">): KeeperState | undefined {
  return r === undefined
    ? undefined
    : { runningMilliseconds: r, listAgeMilliseconds: l ?? Infinity };
}
