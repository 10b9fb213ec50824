// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Encoding of messages between hosts: JSON with short keys, compressed if it does
 * not fit into one packet.
 *
 * @module
 */
import { deflateRawSync, inflateRawSync } from "node:zlib";
import { Result } from "true-myth";
import type { ChangeBatch } from "rampswitch-store";
import { parseJson } from "rampswitch-utils";
import * as z from "zod";
import {
  FINGERPRINT_PATTERN,
  type QuarantineUpdate,
} from "../quarantine/mod.ts";
import { encodedLeaving, LEAVING_SCHEMA, leavingOf } from "./leaving_codec.ts";
import {
  encodedSlowdowns,
  slowdownsOf,
  SLOWDOWNS_SCHEMA,
} from "./speed_codec.ts";
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
  PERMIT_ANSWER_SCHEMA,
  PERMIT_QUERY_SCHEMA,
  permitReplyOf,
} from "./permit_codec.ts";
import type {
  DispatchUpdate,
  FleetDigest,
  LimitAnswer,
  PeerMessage,
  PeerUpdate,
  WorkByServer,
} from "./peer_messages.ts";

/** Size above which messages are compressed, in bytes: the payload of one packet. */
const COMPRESSED_ABOVE_BYTES = 1_400;

/** Maximum size of a decompressed message, in bytes. */
const MAXIMUM_MESSAGE_BYTES = 1024 * 1024;

/** First byte of a compressed message; the first byte of others is a brace. */
const COMPRESSED_MARK = 1;

/** The fastest compression level; it suffices because names repeat in messages. */
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
 * Start times of the server incarnations that a message refers to, by server. They
 * have a key of their own instead of a field in the work: hosts of an earlier
 * version accept a message with unknown keys, but reject one in which the value of
 * a known key has another structure.
 */
const incarnations = numbers.optional();

/**
 * Requests during which servers ended: fingerprint, ages of the ends by server
 * incarnation, age of the newest trial, number of trials, age of the newest
 * complete run. The list has a key of its own, as above.
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

/** Estimated time and its number of samples. Has a key of its own, as above. */
const timeEstimate = z.tuple([z.number(), z.number().nonnegative()]).optional();

/** Weight of the time of a host that reports no number of samples. */
const MINIMUM_SAMPLES = 1;

/** Short keys of an update, in the order of {@link PeerUpdate}. */
const UPDATE_SCHEMA = z.object({
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
  y: incarnations,
  x: quarantine,
  j: timeEstimate,
  e: ROLLOUTS_SCHEMA,
  m: LIMITS_SCHEMA,
  g: LENT_SCHEMA,
  o: LEAVING_SCHEMA,
  sp: SLOWDOWNS_SCHEMA,
});

const MESSAGE_SCHEMA = z.discriminatedUnion("k", [
  z.object({
    k: z.literal("n"),
    f: z.string(),
    m: z.boolean(),
    o: z.array(z.tuple([z.number(), UPDATE_SCHEMA])),
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
    y: incarnations,
    o: quarantine,
    j: z.number().nonnegative().optional(),
    p: ROLLOUTS_SCHEMA,
    m: LIMITS_SCHEMA,
    a: LEAVING_SCHEMA,
    sp: SLOWDOWNS_SCHEMA,
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
    /** Milliseconds after which to retry; absent if admitted. */
    r: z.number().nonnegative().optional(),
  }),
  PERMIT_QUERY_SCHEMA,
  PERMIT_ANSWER_SCHEMA,
  z.object({ k: z.literal("w"), a: z.string() }),
  z.object({ k: z.literal("c"), s: changes }),
]);

type EncodedMessage = z.input<typeof MESSAGE_SCHEMA>;
type EncodedUpdate = z.input<typeof UPDATE_SCHEMA>;

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
  updates: ({ from, wantsDigest, updates }) => ({
    k: "n",
    f: from,
    m: wantsDigest,
    o: updates.map(({ age, update }) => [
      Math.ceil(age),
      encodedUpdate(update),
    ]),
  }),
  digest: ({ digest }) => encodedDigest(digest),
  limit_query: ({ query }) => ({
    k: "q",
    i: query.id,
    a: query.address,
    w: query.workspace,
    t: query.tokens,
    p: query.priority,
  }),
  limit_answer: ({ answer: { id, decision } }) => ({
    k: "a",
    i: id,
    ...(decision.kind === "over_limit"
      ? { r: decision.retryAfterMilliseconds }
      : {}),
  }),
  permit_query: ({ query }) => ({
    k: "u",
    i: query.id,
    a: query.address,
    s: query.service,
    o: [...query.servers],
    p: query.urgency,
  }),
  permit_answer: ({ answer: { id, reply } }) => ({
    k: "v",
    i: id,
    r: reply.kind === "given" ? reply.server : Math.ceil(reply.milliseconds),
  }),
  configuration_query: ({ query }) => ({ k: "w", a: query.address }),
  configuration: (message) => ({ k: "c", s: encodedChanges(message.changes) }),
};

function encoded(message: PeerMessage): EncodedMessage {
  const encode = ENCODERS[message.kind] as (
    message: PeerMessage,
  ) => EncodedMessage;
  return encode(message);
}

/** Decodes a datagram, or returns the reason why it is malformed. */
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
      inflateRawSync(datagram.subarray(1), {
        maxOutputLength: MAXIMUM_MESSAGE_BYTES,
      }),
    );
  } catch (error) {
    return Result.err(String(error));
  }
}

function encodedUpdate(update: PeerUpdate): EncodedUpdate {
  return {
    h: update.host,
    z: update.dataHall,
    p: update.cores,
    i: update.incarnation,
    n: update.sequence,
    a: update.address,
    t: update.wallTime,
    j: [update.timeEstimate.wallTime, update.timeEstimate.samples],
    s: update.stopping,
    c: update.configurationVersion,
    v: [update.followed.configuration, update.followed.servers],
    q: update.admitted,
    b: update.levels,
    w: encodedWork(update.work),
    u: update.counts,
    d: update.dispatches.map(({ server, parts }) => [
      server,
      parts.map((part) => [part.id, part.tokens]),
    ]),
    r: update.readTokens,
    m: encodedLimits(update.limits),
    g: encodedLoans(update.lentTo),
    o: encodedLeaving(update.leaving),
    sp: encodedSlowdowns(update.slowdowns),
    ...encodedIncarnations(update.work, update.dispatches),
    ...(update.quarantine.length === 0
      ? {}
      : { x: encodedQuarantine(update.quarantine) }),
    ...(update.rollouts.length === 0
      ? {}
      : { e: encodedRollouts(update.rollouts) }),
    ...(update.configurationAge === undefined
      ? {}
      : { f: Math.ceil(update.configurationAge) }),
    ...(update.lease === undefined
      ? {}
      : { l: [update.lease.fence, update.lease.version] }),
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
    sp: encodedSlowdowns(digest.slowdowns),
    ...(digest.permitHolders.length === 0
      ? {}
      : { h: [...digest.permitHolders] }),
    l: digest.leases.map(({ fence, version }) => [fence, version]),
    ...encodedIncarnations(digest.work, []),
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
    kind: "updates",
    from: f,
    wantsDigest: m,
    updates: o.map(([age, update]) => ({ age, update: updateOf(update) })),
  }),
  d: (message) => ({ kind: "digest", digest: digestOf(message) }),
  q: ({ i, a, w, t, p }) => ({
    kind: "limit_query",
    query: { id: i, address: a, workspace: w, tokens: t, priority: p },
  }),
  a: ({ i, r }) => ({
    kind: "limit_answer",
    answer: { id: i, decision: decisionOf(r) },
  }),
  u: ({ i, a, s, o, p }) => ({
    kind: "permit_query",
    query: { id: i, address: a, service: s, servers: o, urgency: p },
  }),
  v: ({ i, r }) => ({
    kind: "permit_answer",
    answer: { id: i, reply: permitReplyOf(r) },
  }),
  w: ({ a }) => ({ kind: "configuration_query", query: { address: a } }),
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
    timeSamples: message.j ?? MINIMUM_SAMPLES,
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
    slowdowns: slowdownsOf(message.sp),
    permitHolders: message.h ?? [],
  };
}

function updateOf(update: z.output<typeof UPDATE_SCHEMA>): PeerUpdate {
  return {
    host: update.h,
    dataHall: update.z,
    cores: update.p,
    incarnation: update.i,
    sequence: update.n,
    address: update.a,
    wallTime: update.t,
    timeEstimate: {
      wallTime: update.j?.[0] ?? update.t,
      samples: update.j?.[1] ?? MINIMUM_SAMPLES,
    },
    stopping: update.s,
    configurationVersion: update.c,
    configurationAge: update.f,
    followed: followedOf(update.v),
    admitted: update.q,
    levels: update.b,
    work: workOf(update.w, update.y),
    counts: update.u,
    dispatches: update.d.map(([server, parts]) => ({
      server,
      born: update.y?.[server],
      parts: parts.map(([id, tokens]) => ({ id, tokens })),
    })),
    readTokens: update.r,
    lease:
      update.l === undefined
        ? undefined
        : { fence: update.l[0], version: update.l[1] },
    quarantine: quarantineOf(update.x),
    rollouts: rolloutsOf(update.e),
    limits: limitsOf(update.m),
    lentTo: update.g ?? {},
    leaving: leavingOf(update.o),
    slowdowns: slowdownsOf(update.sp),
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
  requests: readonly QuarantineUpdate[],
): EncodedQuarantine {
  return requests.map((request) => [
    request.fingerprint,
    Object.fromEntries(
      Object.entries(request.lostIncarnations).map(([incarnation, age]) => [
        incarnation,
        Math.round(age),
      ]),
    ),
    roundedAge(request.lastTrialAge),
    request.trials,
    roundedAge(request.completedAge),
  ]);
}

function roundedAge(age: number | undefined): number | null {
  return age === undefined ? null : Math.round(age);
}

function quarantineOf(
  encoded: EncodedQuarantine | undefined,
): readonly QuarantineUpdate[] {
  return (encoded ?? []).map(
    ([fingerprint, losses, trialAge, trials, completionAge]) => ({
      fingerprint,
      lostIncarnations: losses,
      lastTrialAge: trialAge ?? undefined,
      trials,
      completedAge: completionAge ?? undefined,
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
]): PeerUpdate["followed"] {
  return { configuration, servers };
}

function encodedWork(byServer: WorkByServer): Record<string, [number, number]> {
  return Object.fromEntries(
    Object.entries(byServer).map(
      ([server, { running, pendingPrefillTokens }]) => [
        server,
        [running, pendingPrefillTokens],
      ],
    ),
  );
}

/** Encodes one incarnation of each server: the newest that the host knows. */
function encodedIncarnations(
  work: WorkByServer,
  dispatches: readonly DispatchUpdate[],
): { y?: Record<string, number> } {
  const reported = [
    ...Object.entries(work).map(([server, { born }]) => ({ server, born })),
    ...dispatches,
  ].flatMap(({ server, born }) =>
    born === undefined ? [] : [[server, born] as const],
  );
  return reported.length === 0 ? {} : { y: Object.fromEntries(reported) };
}

function workOf(
  byServer: Readonly<Record<string, readonly [number, number]>>,
  born: Readonly<Record<string, number>> | undefined,
): WorkByServer {
  return Object.fromEntries(
    Object.entries(byServer).map(
      ([server, [running, pendingPrefillTokens]]) => [
        server,
        { running, pendingPrefillTokens, born: born?.[server] },
      ],
    ),
  );
}
