// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Encoding of a relay's digest of the fleet.
 *
 * @module
 */
import {
  type FieldChecks,
  isName,
  isNonnegative,
  isNumber,
  isNumberPair,
  isNumbers,
  isString,
  listOf,
  oneOf,
  optional,
} from "./checks.ts";
import {
  COMMON_CHECKS,
  commonOf,
  type EncodedCommon,
  encodedCommon,
} from "./common_codec.ts";
import {
  changesOf,
  encodedChanges,
  type EncodedChanges,
  type EncodedVersions,
  isChanges,
  isVersions,
  versionsOf,
} from "./configuration_codec.ts";
import {
  encodedIncarnationAges,
  isIncarnationAges,
  incarnationAgesOf,
} from "./incarnation_ages_codec.ts";
import type { FleetDigest } from "./peer_messages.ts";
import {
  encodedQuarantine,
  isQuarantine,
  quarantineOf,
} from "./quarantine_codec.ts";
import { encodedRollouts, isRollouts, rolloutsOf } from "./rollout_codec.ts";
import {
  encodedIncarnations,
  type EncodedIncarnations,
  encodedWork,
  type EncodedWork,
  isIncarnations,
  isWork,
  workOf,
} from "./work_codec.ts";

/** Weight of the time of a host that reports no number of samples. */
const MINIMUM_SAMPLES = 1;

/** Short keys of a digest, in the order of {@link FleetDigest}. */
export interface EncodedDigest extends EncodedCommon {
  readonly k: "d";
  readonly f: string;
  readonly n: number;
  readonly e: number;
  readonly r: readonly string[];
  readonly t: number;
  readonly c: number;
  readonly g?: number | undefined;
  readonly v: EncodedVersions;
  readonly b: Readonly<Record<string, number>>;
  readonly x: number;
  readonly w: EncodedWork;
  readonly l: readonly (readonly [number, number])[];
  readonly s?: EncodedChanges | undefined;
  /** Version of the newest list among the changes of servers. */
  readonly sl?: number | undefined;
  readonly y?: EncodedIncarnations | undefined;
  readonly o?: ReturnType<typeof encodedQuarantine>;
  readonly j?: number | undefined;
  readonly p?: ReturnType<typeof encodedRollouts> | undefined;
  readonly a?: ReturnType<typeof encodedIncarnationAges>;
  readonly ur?: readonly string[] | undefined;
  readonly h?: readonly string[] | undefined;
  /** Only sent to hosts that read shared digests. */
  readonly z?: Readonly<Record<string, number>> | undefined;
}

/** Checks of an encoded digest. */
export const DIGEST_CHECKS: FieldChecks<EncodedDigest> = {
  ...COMMON_CHECKS,
  k: oneOf("d"),
  f: isString,
  n: isNumber,
  e: isNumber,
  r: listOf(isString),
  t: isNumber,
  c: isNumber,
  g: optional(isNumber),
  v: isVersions,
  b: isNumbers,
  x: isNumber,
  w: isWork,
  l: listOf(isNumberPair),
  s: optional(isChanges),
  sl: optional(isNumber),
  y: isIncarnations,
  o: isQuarantine,
  j: optional(isNonnegative),
  p: isRollouts,
  a: isIncarnationAges,
  ur: optional(listOf(isName)),
  h: optional(listOf(isString)),
  z: optional(isNumbers),
};

/** Encodes a digest. */
export function encodedDigest(digest: FleetDigest): EncodedDigest {
  return {
    ...encodedCommon(digest),
    k: "d",
    f: digest.relay,
    n: digest.acknowledged,
    e: digest.hosts,
    r: digest.relays,
    t: digest.wallTime,
    j: digest.timeSamples,
    c: digest.configurationVersion,
    v: [digest.followed.configuration, digest.followed.servers],
    b: digest.levels,
    x: digest.silentShare,
    w: encodedWork(digest.work),
    a: encodedIncarnationAges(digest.leaving),
    ur:
      digest.hostsLackingReach.length === 0
        ? undefined
        : digest.hostsLackingReach,
    h: digest.permitHolders.length === 0 ? undefined : digest.permitHolders,
    z: digest.acknowledgedByHost,
    l: digest.leases.map(({ fence, version }) => [fence, version]),
    y: encodedIncarnations(digest.work, []),
    o: encodedQuarantine(digest.quarantine),
    p:
      digest.rollouts.length === 0
        ? undefined
        : encodedRollouts(digest.rollouts),
    g:
      digest.configurationAge === undefined
        ? undefined
        : Math.ceil(digest.configurationAge),
    s:
      digest.servers === undefined ? undefined : encodedChanges(digest.servers),
    sl: digest.servers?.listedVersion,
  };
}

/** Decodes a digest. */
export function digestOf(message: EncodedDigest): FleetDigest {
  return {
    ...commonOf(message),
    relay: message.f,
    acknowledged: message.n,
    hosts: message.e,
    relays: message.r,
    wallTime: message.t,
    timeSamples: message.j ?? MINIMUM_SAMPLES,
    configurationVersion: message.c,
    configurationAge: message.g,
    followed: versionsOf(message.v),
    levels: message.b,
    silentShare: message.x,
    work: workOf(message.w, message.y),
    leases: message.l.map(([fence, version]) => ({ fence, version })),
    servers: serversOf(message),
    quarantine: quarantineOf(message.o),
    rollouts: rolloutsOf(message.p),
    leaving: incarnationAgesOf(message.a),
    hostsLackingReach: message.ur ?? [],
    permitHolders: message.h ?? [],
    acknowledgedByHost: message.z,
  };
}

/** Decodes the newest changes of servers, and whether a list is among them. */
function serversOf({ s, sl }: EncodedDigest): FleetDigest["servers"] {
  if (s === undefined) return undefined;
  return sl === undefined
    ? changesOf(s)
    : { ...changesOf(s), listedVersion: sl };
}
