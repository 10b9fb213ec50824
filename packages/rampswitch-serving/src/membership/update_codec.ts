// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Encoding of hosts' updates about themselves.
 *
 * @module
 */
import { Result } from "true-myth";
import {
  type FieldChecks,
  invalidKey,
  isBoolean,
  isName,
  isNonnegative,
  isNumber,
  isNumberPair,
  isNumbers,
  isObject,
  isPeerAddress,
  isString,
  listOf,
  optional,
  recordOf,
  tupleOf,
} from "./checks.ts";
import {
  COMMON_CHECKS,
  commonOf,
  type EncodedCommon,
  encodedCommon,
} from "./common_codec.ts";
import {
  type EncodedVersions,
  isVersions,
  versionsOf,
} from "./configuration_codec.ts";
import {
  encodedIncarnationAges,
  isIncarnationAges,
  incarnationAgesOf,
} from "./incarnation_ages_codec.ts";
import type { AgedUpdate, PeerMessage, PeerUpdate } from "./peer_messages.ts";
import { encodedLoans, isLoans } from "./permit_codec.ts";
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

type Numbers = Readonly<Record<string, number>>;

type EncodedDispatch = [string, [string, number][]];

/** Short keys of an update, in the order of {@link PeerUpdate}. */
interface EncodedUpdate extends EncodedCommon {
  readonly h: string;
  readonly z: string;
  readonly p: number;
  readonly i: string;
  readonly n: number;
  readonly a: string;
  readonly t: number;
  readonly s: boolean;
  readonly c: number;
  readonly f?: number | undefined;
  readonly v: EncodedVersions;
  readonly q: Numbers;
  readonly b: Numbers;
  readonly w: EncodedWork;
  readonly u: Readonly<Record<string, Numbers>>;
  readonly d: readonly EncodedDispatch[];
  readonly r: Numbers;
  readonly l?: readonly [number, number] | undefined;
  readonly y?: EncodedIncarnations | undefined;
  readonly x?: ReturnType<typeof encodedQuarantine>;
  /** Estimated time and its number of samples. */
  readonly j?: readonly [number, number] | undefined;
  readonly e?: ReturnType<typeof encodedRollouts> | undefined;
  readonly g?: ReturnType<typeof encodedLoans>;
  readonly o?: ReturnType<typeof encodedIncarnationAges>;
  readonly ur?: readonly string[] | undefined;
}

/** Updates of some hosts, each with its age. */
export interface EncodedUpdates {
  readonly k: "n";
  readonly f: string;
  readonly m: boolean;
  /**
   * Whether the sender reads shared digests; hosts of an earlier version neither
   * send nor read this key.
   */
  readonly d?: boolean | undefined;
  readonly o: readonly (readonly [number, EncodedUpdate])[];
}

const UPDATE_CHECKS: FieldChecks<EncodedUpdate> = {
  ...COMMON_CHECKS,
  h: isString,
  z: isString,
  p: isNumber,
  i: isString,
  n: isNumber,
  a: isPeerAddress,
  t: isNumber,
  s: isBoolean,
  c: isNumber,
  f: optional(isNumber),
  v: isVersions,
  q: isNumbers,
  b: isNumbers,
  w: isWork,
  u: recordOf(isNumbers),
  d: listOf(
    tupleOf<EncodedDispatch>(
      isString,
      listOf(tupleOf<[string, number]>(isString, isNumber)),
    ),
  ),
  r: isNumbers,
  l: optional(isNumberPair),
  y: isIncarnations,
  x: isQuarantine,
  j: optional(tupleOf<[number, number]>(isNumber, isNonnegative)),
  e: isRollouts,
  g: isLoans,
  o: isIncarnationAges,
  ur: optional(listOf(isName)),
};

type UpdatesMessage = Extract<PeerMessage, { readonly kind: "updates" }>;

/** Encodes updates. */
export function encodedUpdates({
  from,
  wantsDigest,
  readsSharedDigest,
  updates,
}: UpdatesMessage): EncodedUpdates {
  return {
    k: "n",
    f: from,
    m: wantsDigest,
    d: readsSharedDigest ? true : undefined,
    o: updates.map(({ age, update }) => [
      Math.ceil(age),
      encodedUpdate(update),
    ]),
  };
}

/** Whether an update of a host was applied before, or is this host's own. */
export type IsAppliedUpdate = (
  host: string,
  incarnation: string,
  sequence: number,
) => boolean;

/**
 * Decodes updates, or returns the reason why they are malformed. Those that were
 * applied before are left out unchecked: a relay receives each update from several
 * relays.
 */
export function decodeUpdates(
  message: Readonly<Record<string, unknown>>,
  isApplied: IsAppliedUpdate,
): Result<PeerMessage, string> {
  const { f: from, m: wantsDigest, o: encoded } = message;
  if (!isString(from) || !isBoolean(wantsDigest) || !Array.isArray(encoded)) {
    return Result.err("updates lack their sender, its request or the list");
  }
  const updates: AgedUpdate[] = [];
  for (const aged of encoded as readonly unknown[]) {
    if (!Array.isArray(aged) || aged.length !== 2 || !isNumber(aged[0])) {
      return Result.err("an update is no pair of an age and an object");
    }
    const update = aged[1] as unknown;
    if (!isObject(update)) return Result.err("an update is no object");
    const { h: host, i: incarnation, n: sequence } = update;
    if (
      isString(host) &&
      isString(incarnation) &&
      isNumber(sequence) &&
      isApplied(host, incarnation, sequence)
    ) {
      continue;
    }
    const invalid = invalidKey(UPDATE_CHECKS, update);
    if (invalid !== undefined) {
      return Result.err(`unexpected value of "${invalid}" in an update`);
    }
    updates.push({
      age: aged[0],
      update: updateOf(update as unknown as EncodedUpdate),
    });
  }
  const readsSharedDigest = message["d"] === true;
  return Result.ok({
    kind: "updates",
    from,
    wantsDigest,
    readsSharedDigest,
    updates,
  });
}

function encodedUpdate(update: PeerUpdate): EncodedUpdate {
  return {
    ...encodedCommon(update),
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
    g: encodedLoans(update.lentTo),
    o: encodedIncarnationAges(update.leaving),
    ur: update.outOfReach.length === 0 ? undefined : update.outOfReach,
    y: encodedIncarnations(update.work, update.dispatches),
    x: encodedQuarantine(update.quarantine),
    e:
      update.rollouts.length === 0
        ? undefined
        : encodedRollouts(update.rollouts),
    f:
      update.configurationAge === undefined
        ? undefined
        : Math.ceil(update.configurationAge),
    l:
      update.lease === undefined
        ? undefined
        : [update.lease.fence, update.lease.version],
  };
}

function updateOf(update: EncodedUpdate): PeerUpdate {
  return {
    ...commonOf(update),
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
    followed: versionsOf(update.v),
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
    lentTo: update.g ?? {},
    leaving: incarnationAgesOf(update.o),
    outOfReach: update.ur ?? [],
  };
}
