// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * What hosts tell each other several times a second: cumulative counts, so
 * that a lost or doubled message changes nothing.
 *
 * @module
 */
import { Result } from "true-myth";
import { parseJson } from "rampswitch-utils";
import * as z from "zod";
import type { AdmittedTotals, BucketLevels } from "../admission/mod.ts";
import type { WorkAtServer } from "../choice/mod.ts";

/** Requests that began in each reporting window, by workspace. */
export type WindowCounts = Readonly<
  Record<string, Readonly<Record<string, number>>>
>;

/** The lease of the duties as its holder last renewed it. */
export interface LeaseNews {
  readonly fence: number;
  /** Store version of the lease object. */
  readonly version: number;
}

/** A prompt sent to a server: its shared parts. */
export interface DispatchNews {
  readonly server: string;
  readonly parts: readonly { readonly id: string; readonly tokens: number }[];
}

/** One message from a host. */
export interface PeerNews {
  readonly host: string;
  /** Differs for each life of the host's process. */
  readonly incarnation: string;
  /** Where the host takes messages. */
  readonly address: string;
  /** Time of day at the sender, in milliseconds. */
  readonly wallTime: number;
  readonly stopping: boolean;
  readonly configurationVersion: number;
  /** Milliseconds since the store confirmed that version to the sender. */
  readonly configurationAge: number | undefined;
  readonly admitted: AdmittedTotals;
  readonly levels: BucketLevels;
  readonly work: Readonly<Record<string, WorkAtServer>>;
  readonly counts: WindowCounts;
  readonly dispatches: readonly DispatchNews[];
  /** Prompt tokens sent to each service to be read, since the start. */
  readonly readTokens: Readonly<Record<string, number>>;
  readonly lease: LeaseNews | undefined;
}

const numbers = z.record(z.string(), z.number());

/** Short keys on the network, in the order of {@link PeerNews}. */
const MESSAGE_SCHEMA = z.object({
  h: z.string(),
  i: z.string(),
  a: z.string(),
  t: z.number(),
  s: z.boolean(),
  c: z.number(),
  f: z.number().optional(),
  q: numbers,
  b: numbers,
  w: z.record(z.string(), z.tuple([z.number(), z.number()])),
  u: z.record(z.string(), numbers),
  d: z.array(z.tuple([z.string(), z.array(z.tuple([z.string(), z.number()]))])),
  r: numbers,
  l: z.tuple([z.number(), z.number()]).optional(),
});

/** Encodes news for one datagram. */
export function encodeNews(news: PeerNews): Buffer {
  const message: z.input<typeof MESSAGE_SCHEMA> = {
    h: news.host,
    i: news.incarnation,
    a: news.address,
    t: news.wallTime,
    s: news.stopping,
    c: news.configurationVersion,
    q: news.admitted,
    b: news.levels,
    w: mapValues(news.work, (work) => [work.running, work.unreadTokens]),
    u: news.counts,
    d: news.dispatches.map(({ server, parts }) => [
      server,
      parts.map((part) => [part.id, part.tokens]),
    ]),
    r: news.readTokens,
    ...(news.configurationAge === undefined
      ? {}
      : { f: Math.ceil(news.configurationAge) }),
    ...(news.lease === undefined
      ? {}
      : { l: [news.lease.fence, news.lease.version] }),
  };
  return Buffer.from(JSON.stringify(message));
}

/** Decodes a datagram; an error says what was wrong. */
export function decodeNews(datagram: Buffer): Result<PeerNews, string> {
  const parsed = parseJson(datagram.toString("utf8"));
  if (parsed.isErr) return Result.err(parsed.error);
  const checked = MESSAGE_SCHEMA.safeParse(parsed.value);
  if (!checked.success) return Result.err(checked.error.message);
  const message = checked.data;
  return Result.ok({
    host: message.h,
    incarnation: message.i,
    address: message.a,
    wallTime: message.t,
    stopping: message.s,
    configurationVersion: message.c,
    configurationAge: message.f,
    admitted: message.q,
    levels: message.b,
    work: mapValues(message.w, ([running, unreadTokens]) => ({
      running,
      unreadTokens,
    })),
    counts: message.u,
    dispatches: message.d.map(([server, parts]) => ({
      server,
      parts: parts.map(([id, tokens]) => ({ id, tokens })),
    })),
    readTokens: message.r,
    lease:
      message.l === undefined
        ? undefined
        : { fence: message.l[0], version: message.l[1] },
  });
}

function mapValues<Value, Mapped>(
  record: Readonly<Record<string, Value>>,
  map: (value: Value) => Mapped,
): Record<string, Mapped> {
  return Object.fromEntries(
    Object.entries(record).map(([key, value]) => [key, map(value)]),
  );
}
