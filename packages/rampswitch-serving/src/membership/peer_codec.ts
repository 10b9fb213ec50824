// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The form of messages between hosts: JSON with short keys, compressed where it
 * would not fit into one packet.
 *
 * @module
 */
import { deflateRawSync, inflateRawSync } from "node:zlib";
import { Result } from "true-myth";
import type { ChangeBatch } from "rampswitch-store";
import { parseJson } from "rampswitch-utils";
import * as z from "zod";
import { FINGERPRINT_PATTERN, type QuarantineNews } from "../quarantine/mod.ts";
import { encodedLeaving, LEAVING_SCHEMA, leavingOf } from "./leaving_codec.ts";
import {
  encodedRollouts,
  ROLLOUTS_SCHEMA,
  rolloutsOf,
} from "./rollout_codec.ts";
import {
  encodedLimits,
  encodedLoans,
  LENT_SCHEMA,
  LIMITS_SCHEMA,
  limitsOf,
  TURN_ANSWER_SCHEMA,
  TURN_QUESTION_SCHEMA,
  turnReplyOf,
} from "./turn_codec.ts";
import type {
  DispatchNews,
  FleetDigest,
  LimitAnswer,
  PeerMessage,
  PeerNews,
  WorkByServer,
} from "./peer_news.ts";

/** Larger messages are compressed, in bytes: the payload of one packet. */
const COMPRESSED_ABOVE_BYTES = 1_400;

/** Bounds of a message once it is decompressed, in bytes. */
const MAXIMUM_BYTES = 1024 * 1024;

/** First byte of a compressed message; others begin with a brace. */
const COMPRESSED_MARK = 1;

/** Compression level: the fastest; names repeat, so it suffices. */
const COMPRESSION = { level: 1, memLevel: 5 };

const numbers = z.record(z.string(), z.number());
const work = z.record(z.string(), z.tuple([z.number(), z.number()]));
const lease = z.tuple([z.number(), z.number()]);
const followed = z.tuple([z.number(), z.number()]);
const changes = z.tuple([
  z.number(),
  z.number(),
  z.array(z.tuple([z.string(), z.number(), z.string().nullable()])),
]);

/**
 * Starts of the lives that a message speaks of, by server. It stands beside the
 * work and not within it: hosts of a former version read a message whose keys
 * they don't know, but none whose known keys have another form.
 */
const lives = numbers.optional();

/**
 * Requests under which servers ended: ages of the ends by life, age of the newest
 * trial, number of trials, age of the newest whole run. A key of its own, as above.
 */
const quarantine = z
  .array(
    z.tuple([
      z.string().regex(FINGERPRINT_PATTERN),
      numbers,
      z.number().nullable(),
      z.number().nonnegative(),
      z.number().nullable(),
    ]),
  )
  .optional();

/** A time of day and the samples behind it. A key of its own, as above. */
const carriedTime = z.tuple([z.number(), z.number().nonnegative()]).optional();

/** Weight of a time of day told by a host that tells no samples. */
const LEAST_SAMPLES = 1;

/** Short keys on the network, in the order of {@link PeerNews}. */
const NEWS_SCHEMA = z.object({
  h: z.string(),
  z: z.string(),
  p: z.number(),
  i: z.string(),
  n: z.number(),
  a: z.string(),
  t: z.number(),
  s: z.boolean(),
  c: z.number(),
  f: z.number().optional(),
  v: followed,
  q: numbers,
  b: numbers,
  w: work,
  u: z.record(z.string(), numbers),
  d: z.array(z.tuple([z.string(), z.array(z.tuple([z.string(), z.number()]))])),
  r: numbers,
  l: lease.optional(),
  y: lives,
  x: quarantine,
  j: carriedTime,
  e: ROLLOUTS_SCHEMA,
  m: LIMITS_SCHEMA,
  g: LENT_SCHEMA,
  o: LEAVING_SCHEMA,
});

const MESSAGE_SCHEMA = z.discriminatedUnion("k", [
  z.object({
    k: z.literal("n"),
    f: z.string(),
    m: z.boolean(),
    o: z.array(z.tuple([z.number(), NEWS_SCHEMA])),
  }),
  z.object({
    k: z.literal("d"),
    f: z.string(),
    n: z.number(),
    e: z.number(),
    r: z.array(z.string()),
    t: z.number(),
    c: z.number(),
    g: z.number().optional(),
    v: followed,
    b: numbers,
    x: z.number(),
    w: work,
    l: z.array(lease),
    s: changes.optional(),
    y: lives,
    o: quarantine,
    j: z.number().nonnegative().optional(),
    p: ROLLOUTS_SCHEMA,
    m: LIMITS_SCHEMA,
    a: LEAVING_SCHEMA,
    h: z.array(z.string()).optional(),
  }),
  z.object({
    k: z.literal("q"),
    i: z.number(),
    a: z.string(),
    w: z.string(),
    t: z.number().nonnegative(),
    p: z.number(),
  }),
  z.object({
    k: z.literal("a"),
    i: z.number(),
    /** Milliseconds after which to come back; absent where admitted. */
    r: z.number().nonnegative().optional(),
  }),
  TURN_QUESTION_SCHEMA,
  TURN_ANSWER_SCHEMA,
  z.object({ k: z.literal("w"), a: z.string() }),
  z.object({ k: z.literal("c"), s: changes }),
]);

type EncodedMessage = z.input<typeof MESSAGE_SCHEMA>;
type EncodedNews = z.input<typeof NEWS_SCHEMA>;

/** Encodes a message for one datagram. */
export function encodeMessage(message: PeerMessage): Buffer {
  const plain = Buffer.from(JSON.stringify(encoded(message)));
  return plain.length <= COMPRESSED_ABOVE_BYTES
    ? plain
    : Buffer.concat([
        Buffer.from([COMPRESSED_MARK]),
        deflateRawSync(plain, COMPRESSION),
      ]);
}

type Encoders = {
  readonly [Kind in PeerMessage["kind"]]: (
    message: Extract<PeerMessage, { readonly kind: Kind }>,
  ) => EncodedMessage;
};

const ENCODERS: Encoders = {
  news: ({ from, wantsDigest, news }) => ({
    k: "n",
    f: from,
    m: wantsDigest,
    o: news.map(({ age, news: one }) => [Math.ceil(age), encodedNews(one)]),
  }),
  digest: ({ digest }) => encodedDigest(digest),
  question: ({ question }) => ({
    k: "q",
    i: question.id,
    a: question.address,
    w: question.workspace,
    t: question.tokens,
    p: question.priority,
  }),
  answer: ({ answer: { id, decision } }) => ({
    k: "a",
    i: id,
    ...(decision.kind === "over_limit"
      ? { r: decision.retryAfterMilliseconds }
      : {}),
  }),
  turn_question: ({ question }) => ({
    k: "u",
    i: question.id,
    a: question.address,
    s: question.service,
    o: [...question.servers],
    p: question.urgency,
  }),
  turn_answer: ({ answer: { id, reply } }) => ({
    k: "v",
    i: id,
    r: reply.kind === "given" ? reply.server : Math.ceil(reply.milliseconds),
  }),
  configuration_question: ({ question }) => ({ k: "w", a: question.address }),
  configuration: (message) => ({ k: "c", s: encodedChanges(message.changes) }),
};

function encoded(message: PeerMessage): EncodedMessage {
  const encode = ENCODERS[message.kind] as (
    message: PeerMessage,
  ) => EncodedMessage;
  return encode(message);
}

/** Decodes a datagram; an error says what was wrong. */
export function decodeMessage(datagram: Buffer): Result<PeerMessage, string> {
  return plainOf(datagram)
    .andThen((plain) => parseJson(plain.toString("utf8")))
    .andThen((value): Result<PeerMessage, string> => {
      const checked = MESSAGE_SCHEMA.safeParse(value);
      return checked.success
        ? Result.ok(messageOf(checked.data))
        : Result.err(checked.error.message);
    });
}

function plainOf(datagram: Buffer): Result<Buffer, string> {
  if (datagram[0] !== COMPRESSED_MARK) return Result.ok(datagram);
  try {
    return Result.ok(
      inflateRawSync(datagram.subarray(1), { maxOutputLength: MAXIMUM_BYTES }),
    );
  } catch (error) {
    return Result.err(String(error));
  }
}

function encodedNews(news: PeerNews): EncodedNews {
  return {
    h: news.host,
    z: news.dataHall,
    p: news.cores,
    i: news.incarnation,
    n: news.sequence,
    a: news.address,
    t: news.wallTime,
    j: [news.carriedTime.wallTime, news.carriedTime.samples],
    s: news.stopping,
    c: news.configurationVersion,
    v: [news.followed.configuration, news.followed.servers],
    q: news.admitted,
    b: news.levels,
    w: encodedWork(news.work),
    u: news.counts,
    d: news.dispatches.map(({ server, parts }) => [
      server,
      parts.map((part) => [part.id, part.tokens]),
    ]),
    r: news.readTokens,
    m: encodedLimits(news.limits),
    g: encodedLoans(news.lentTo),
    o: encodedLeaving(news.leaving),
    ...encodedLives(news.work, news.dispatches),
    ...(news.quarantine.length === 0
      ? {}
      : { x: encodedQuarantine(news.quarantine) }),
    ...(news.rollouts.length === 0
      ? {}
      : { e: encodedRollouts(news.rollouts) }),
    ...(news.configurationAge === undefined
      ? {}
      : { f: Math.ceil(news.configurationAge) }),
    ...(news.lease === undefined
      ? {}
      : { l: [news.lease.fence, news.lease.version] }),
  };
}

function encodedDigest(digest: FleetDigest): EncodedMessage {
  return {
    k: "d",
    f: digest.relay,
    n: digest.acknowledged,
    e: digest.hosts,
    r: [...digest.relays],
    t: digest.wallTime,
    j: digest.timeSamples,
    c: digest.configurationVersion,
    v: [digest.followed.configuration, digest.followed.servers],
    b: digest.levels,
    x: digest.silentShare,
    w: encodedWork(digest.work),
    m: encodedLimits(digest.limits),
    a: encodedLeaving(digest.leaving),
    ...(digest.turnHolders.length === 0 ? {} : { h: [...digest.turnHolders] }),
    l: digest.leases.map(({ fence, version }) => [fence, version]),
    ...encodedLives(digest.work, []),
    ...(digest.quarantine.length === 0
      ? {}
      : { o: encodedQuarantine(digest.quarantine) }),
    ...(digest.rollouts.length === 0
      ? {}
      : { p: encodedRollouts(digest.rollouts) }),
    ...(digest.configurationAge === undefined
      ? {}
      : { g: Math.ceil(digest.configurationAge) }),
    ...(digest.servers === undefined
      ? {}
      : { s: encodedChanges(digest.servers) }),
  };
}

type DecodedMessage = z.output<typeof MESSAGE_SCHEMA>;

type Decoders = {
  readonly [Key in DecodedMessage["k"]]: (
    message: Extract<DecodedMessage, { readonly k: Key }>,
  ) => PeerMessage;
};

const DECODERS: Decoders = {
  n: ({ f, m, o }) => ({
    kind: "news",
    from: f,
    wantsDigest: m,
    news: o.map(([age, news]) => ({ age, news: newsOf(news) })),
  }),
  d: (message) => ({ kind: "digest", digest: digestOf(message) }),
  q: ({ i, a, w, t, p }) => ({
    kind: "question",
    question: { id: i, address: a, workspace: w, tokens: t, priority: p },
  }),
  a: ({ i, r }) => ({
    kind: "answer",
    answer: { id: i, decision: decisionOf(r) },
  }),
  u: ({ i, a, s, o, p }) => ({
    kind: "turn_question",
    question: { id: i, address: a, service: s, servers: o, urgency: p },
  }),
  v: ({ i, r }) => ({
    kind: "turn_answer",
    answer: { id: i, reply: turnReplyOf(r) },
  }),
  w: ({ a }) => ({ kind: "configuration_question", question: { address: a } }),
  c: ({ s }) => ({ kind: "configuration", changes: changesOf(s) }),
};

function messageOf(message: DecodedMessage): PeerMessage {
  const decode = DECODERS[message.k] as (
    message: DecodedMessage,
  ) => PeerMessage;
  return decode(message);
}

function decisionOf(retryAfter: number | undefined): LimitAnswer["decision"] {
  return retryAfter === undefined
    ? { kind: "admitted" }
    : { kind: "over_limit", retryAfterMilliseconds: retryAfter };
}

function digestOf(
  message: Extract<DecodedMessage, { readonly k: "d" }>,
): FleetDigest {
  return {
    relay: message.f,
    acknowledged: message.n,
    hosts: message.e,
    relays: message.r,
    wallTime: message.t,
    timeSamples: message.j ?? LEAST_SAMPLES,
    configurationVersion: message.c,
    configurationAge: message.g,
    followed: followedOf(message.v),
    levels: message.b,
    silentShare: message.x,
    work: workOf(message.w, message.y),
    leases: message.l.map(([fence, version]) => ({ fence, version })),
    servers: message.s === undefined ? undefined : changesOf(message.s),
    quarantine: quarantineOf(message.o),
    rollouts: rolloutsOf(message.p),
    limits: limitsOf(message.m),
    leaving: leavingOf(message.a),
    turnHolders: message.h ?? [],
  };
}

function newsOf(news: z.output<typeof NEWS_SCHEMA>): PeerNews {
  return {
    host: news.h,
    dataHall: news.z,
    cores: news.p,
    incarnation: news.i,
    sequence: news.n,
    address: news.a,
    wallTime: news.t,
    carriedTime: {
      wallTime: news.j?.[0] ?? news.t,
      samples: news.j?.[1] ?? LEAST_SAMPLES,
    },
    stopping: news.s,
    configurationVersion: news.c,
    configurationAge: news.f,
    followed: followedOf(news.v),
    admitted: news.q,
    levels: news.b,
    work: workOf(news.w, news.y),
    counts: news.u,
    dispatches: news.d.map(([server, parts]) => ({
      server,
      born: news.y?.[server],
      parts: parts.map(([id, tokens]) => ({ id, tokens })),
    })),
    readTokens: news.r,
    lease:
      news.l === undefined
        ? undefined
        : { fence: news.l[0], version: news.l[1] },
    quarantine: quarantineOf(news.x),
    rollouts: rolloutsOf(news.e),
    limits: limitsOf(news.m),
    lentTo: news.g ?? {},
    leaving: leavingOf(news.o),
  };
}

type EncodedQuarantine = [
  string,
  Record<string, number>,
  number | null,
  number,
  number | null,
][];

function encodedQuarantine(
  requests: readonly QuarantineNews[],
): EncodedQuarantine {
  return requests.map((request) => [
    request.fingerprint,
    Object.fromEntries(
      Object.entries(request.lostLives).map(([life, age]) => [
        life,
        Math.round(age),
      ]),
    ),
    roundedAge(request.tried),
    request.trials,
    roundedAge(request.ranWhole),
  ]);
}

function roundedAge(age: number | undefined): number | null {
  return age === undefined ? null : Math.round(age);
}

function quarantineOf(
  encoded: EncodedQuarantine | undefined,
): readonly QuarantineNews[] {
  return (encoded ?? []).map(
    ([fingerprint, lostLives, tried, trials, ranWhole]) => ({
      fingerprint,
      lostLives,
      tried: tried ?? undefined,
      trials,
      ranWhole: ranWhole ?? undefined,
    }),
  );
}

type EncodedChanges = [number, number, [string, number, string | null][]];

function encodedChanges(batch: ChangeBatch): EncodedChanges {
  return [
    batch.after,
    batch.version,
    batch.events.map(({ key, version, value }) => [
      key,
      version,
      value ?? null,
    ]),
  ];
}

function changesOf([after, version, events]: EncodedChanges): ChangeBatch {
  return {
    after,
    version,
    events: events.map(([key, changed, value]) => ({
      key,
      version: changed,
      ...(value === null ? {} : { value }),
    })),
  };
}

function followedOf([configuration, servers]: readonly [
  number,
  number,
]): PeerNews["followed"] {
  return { configuration, servers };
}

function encodedWork(byServer: WorkByServer): Record<string, [number, number]> {
  return Object.fromEntries(
    Object.entries(byServer).map(([server, { running, unreadTokens }]) => [
      server,
      [running, unreadTokens],
    ]),
  );
}

/** A host tells of one life of each server, the newest that it knows. */
function encodedLives(
  work: WorkByServer,
  dispatches: readonly DispatchNews[],
): { y?: Record<string, number> } {
  const told = [
    ...Object.entries(work).map(([server, { born }]) => ({ server, born })),
    ...dispatches,
  ].flatMap(({ server, born }) =>
    born === undefined ? [] : [[server, born] as const],
  );
  return told.length === 0 ? {} : { y: Object.fromEntries(told) };
}

function workOf(
  byServer: Readonly<Record<string, readonly [number, number]>>,
  born: Readonly<Record<string, number>> | undefined,
): WorkByServer {
  return Object.fromEntries(
    Object.entries(byServer).map(([server, [running, unreadTokens]]) => [
      server,
      { running, unreadTokens, born: born?.[server] },
    ]),
  );
}
