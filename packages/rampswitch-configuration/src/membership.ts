// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Membership of the entry hosts: heartbeats that spread by gossip, suspicion
 * with hysteresis, and proof that a process is gone. Suspicion only costs
 * availability; safety is in the epochs of the slots.
 *
 * @module
 */
import type { Host, HostId } from "rampswitch-types";
import type { Random } from "rampswitch-utils";

/** What a host tells about itself with each heartbeat. */
export interface HostDigest {
  readonly host: Host;
  /** Grows with each heartbeat. */
  readonly heartbeat: number;
  readonly revision: number;
  /** Milliseconds since its revision was last confirmed; -1 for never. */
  readonly confirmedAge: number;
  readonly reachesStore: boolean;
  readonly leaving: boolean;
  /** Requests in progress. */
  readonly load: number;
}

/** A member as one host sees it. */
export interface Member {
  readonly digest: HostDigest;
  /** Local time at which the heartbeat last grew. */
  readonly heardAt: number;
  /** Growths since it was last suspected. */
  readonly growths: number;
  readonly suspected: boolean;
}

/** Members by identity. */
export type Members = ReadonlyMap<HostId, Member>;

/** Members after news, and identities proved gone by a successor. */
export interface MergedMembers {
  readonly members: Members;
  /** Identities that a later process of the same name replaced. */
  readonly replaced: readonly HostId[];
  readonly joined: readonly HostId[];
}

/** Heartbeats in a row that end a suspicion. */
const HEARTBEATS_TO_TRUST = 2;

/** Takes in digests heard at a local time. */
export function mergeDigests(
  members: Members,
  digests: readonly HostDigest[],
  now: number,
): MergedMembers {
  const next = new Map(members);
  const joined: HostId[] = [];
  const replaced = new Set<HostId>();
  digests.forEach((digest) => {
    const { id, name, startedAt } = digest.host;
    const others = [...next.values()]
      .filter((member) => member.digest.host.name === name)
      .filter((member) => member.digest.host.id !== id);
    const outdated = others.some(
      (member) => member.digest.host.startedAt > startedAt,
    );
    if (outdated) return;
    others.forEach((member) => {
      next.delete(member.digest.host.id);
      replaced.add(member.digest.host.id);
    });
    const known = next.get(id);
    if (known === undefined) joined.push(id);
    next.set(id, updatedMember(known, digest, now));
  });
  return { members: next, replaced: [...replaced], joined };
}

function updatedMember(
  known: Member | undefined,
  digest: HostDigest,
  now: number,
): Member {
  if (known === undefined) {
    return { digest, heardAt: now, growths: 1, suspected: false };
  }
  if (digest.heartbeat <= known.digest.heartbeat) return known;
  const growths = known.growths + 1;
  return {
    digest,
    heardAt: now,
    growths,
    suspected: known.suspected && growths < HEARTBEATS_TO_TRUST,
  };
}

/** Marks members as suspected whose heartbeat has not grown for a while. */
export function suspectSilent(
  members: Members,
  now: number,
  options: { readonly limitOf: (host: HostId) => number },
): Members {
  const silent = [...members.values()].filter(
    (member) =>
      !member.suspected &&
      now - member.heardAt > options.limitOf(member.digest.host.id),
  );
  if (silent.length === 0) return members;
  const next = new Map(members);
  silent.forEach((member) =>
    next.set(member.digest.host.id, {
      ...member,
      suspected: true,
      growths: 0,
    }),
  );
  return next;
}

/** How hosts send heartbeats. */
export interface GossipParameters {
  readonly heartbeatMilliseconds: number;
  /** Hosts that each heartbeat goes to. */
  readonly peers: number;
  /** Digests of others in each message. */
  readonly digests: number;
  /** Of the peers, the ones that share slots with the sender. */
  readonly partnersPerHeartbeat: number;
  /** Shortest silence that raises suspicion. */
  readonly suspectMilliseconds: number;
}

/** Silences after which members are suspected. */
export interface SilenceLimits {
  /** For hosts that share slots with this one and are asked in turn. */
  readonly partners: number;
  /** For all others, of whom news travels by digests. */
  readonly others: number;
}

/**
 * Times that news is awaited, in units of its usual interval. News of others
 * comes at random: among thousands of pairs of hosts some wait very long.
 */
const OTHERS_SILENCE_INTERVALS = 20;
const PARTNERS_SILENCE_INTERVALS = 1.5;

/**
 * Works out how long silence must last before it means anything: the more
 * hosts there are, the longer news of each takes to come round.
 */
export function silenceLimits(
  counts: { readonly members: number; readonly partners: number },
  parameters: GossipParameters,
): SilenceLimits {
  const { heartbeatMilliseconds, suspectMilliseconds } = parameters;
  const digestsPerHeartbeat = 2 * parameters.peers * (parameters.digests + 1);
  const othersInterval =
    (heartbeatMilliseconds * counts.members) / digestsPerHeartbeat;
  const partnersInterval =
    (heartbeatMilliseconds * counts.partners) / parameters.partnersPerHeartbeat;
  return {
    partners: Math.max(
      suspectMilliseconds,
      PARTNERS_SILENCE_INTERVALS * partnersInterval,
    ),
    others: Math.max(
      suspectMilliseconds,
      OTHERS_SILENCE_INTERVALS * othersInterval,
    ),
  };
}

/** Forgets members that have been silent for very long. */
export function forgetSilent(
  members: Members,
  now: number,
  options: { readonly afterMilliseconds: number },
): Members {
  return new Map(
    [...members].filter(
      ([, member]) => now - member.heardAt <= options.afterMilliseconds,
    ),
  );
}

/** Members that are not suspected, by identity. */
export function trusted(members: Members): readonly Member[] {
  return [...members.values()].filter(({ suspected }) => !suspected);
}

/** Chooses members to send a heartbeat to. */
export function heartbeatTargets(
  members: Members,
  random: Random,
  options: { readonly count: number; readonly always: readonly HostId[] },
): readonly Member[] {
  const always = options.always
    .flatMap((id) => members.get(id) ?? [])
    .slice(0, options.count);
  const others = [...members.values()].filter(
    (member) => !always.includes(member),
  );
  return [...always, ...sample(others, options.count - always.length, random)];
}

/** Draws some different items. */
export function sample<Item>(
  items: readonly Item[],
  count: number,
  random: Random,
): readonly Item[] {
  const pool = [...items];
  const drawCount = Math.max(0, Math.min(count, pool.length));
  return Array.from({ length: drawCount }, () => {
    const [drawn] = pool.splice(random.below(pool.length), 1);
    return drawn as Item;
  });
}

/**
 * Digests to send along: the freshest news first, so that changes travel fast
 * and a message keeps its size as the fleet grows.
 */
export function digestsToSend(
  members: Members,
  now: number,
  options: { readonly count: number; readonly random: Random },
): readonly HostDigest[] {
  const recent = [...members.values()]
    .filter(({ suspected }) => !suspected)
    .toSorted((left, right) => right.heardAt - left.heardAt);
  const newest = recent.slice(0, Math.ceil(options.count / 2));
  const rest = sample(
    recent.slice(newest.length),
    options.count - newest.length,
    options.random,
  );
  return [...newest, ...rest].map((member) => withCurrentAge(member, now));
}

/** A digest whose ages count the time that it has lain here. */
function withCurrentAge({ digest, heardAt }: Member, now: number): HostDigest {
  return digest.confirmedAge < 0
    ? digest
    : {
        ...digest,
        confirmedAge: digest.confirmedAge + (now - heardAt),
      };
}
