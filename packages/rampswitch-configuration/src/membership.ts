// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Membership of the entry hosts: heartbeats that spread by gossip, suspicion
 * with hysteresis, and proof that a process has ended. A wrong suspicion only
 * reduces availability; safety depends on the epochs of the slots.
 *
 * @module
 */
import type { Host, HostId } from "rampswitch-types";
import type { Random } from "rampswitch-utils";

/** State that a host reports about itself with each heartbeat. */
export interface HostDigest {
  readonly host: Host;
  /** Counter that increases with each heartbeat. */
  readonly heartbeat: number;
  /** Revision of the host's configuration. */
  readonly revision: number;
  /** Milliseconds since that revision was last confirmed; -1 for never. */
  readonly confirmedAge: number;
  readonly reachesStore: boolean;
  readonly leaving: boolean;
  /** Number of requests in progress. */
  readonly load: number;
}

/** State of a member as observed by one host. */
export interface Member {
  readonly digest: HostDigest;
  /** Local time at which a higher heartbeat was last received. */
  readonly receivedAt: number;
  /** Number of higher heartbeats received since it was last suspected. */
  readonly heartbeatsSinceSuspected: number;
  readonly suspected: boolean;
}

/** Members by identity. */
export type Members = ReadonlyMap<HostId, Member>;

/** Result of merging digests into the members. */
export interface MergedMembers {
  readonly members: Members;
  /**
   * Identities of processes that are proved to have ended, because a later
   * process has the same host name.
   */
  readonly replaced: readonly HostId[];
  /** Identities that were not members before. */
  readonly joined: readonly HostId[];
}

/** Number of heartbeats that end a suspicion. */
const HEARTBEATS_TO_TRUST = 2;

/** Merges digests, received at a local time, into the members. */
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
    return {
      digest,
      receivedAt: now,
      heartbeatsSinceSuspected: 1,
      suspected: false,
    };
  }
  if (digest.heartbeat <= known.digest.heartbeat) return known;
  const growths = known.heartbeatsSinceSuspected + 1;
  return {
    digest,
    receivedAt: now,
    heartbeatsSinceSuspected: growths,
    suspected: known.suspected && growths < HEARTBEATS_TO_TRUST,
  };
}

/** Marks members as suspected that have been silent for longer than their limit. */
export function suspectSilent(
  members: Members,
  now: number,
  options: { readonly silenceLimitOf: (host: HostId) => number },
): Members {
  const silent = [...members.values()].filter(
    (member) =>
      !member.suspected &&
      now - member.receivedAt > options.silenceLimitOf(member.digest.host.id),
  );
  if (silent.length === 0) return members;
  const next = new Map(members);
  silent.forEach((member) =>
    next.set(member.digest.host.id, {
      ...member,
      suspected: true,
      heartbeatsSinceSuspected: 0,
    }),
  );
  return next;
}

/** Parameters of the gossip between hosts. */
export interface GossipParameters {
  readonly heartbeatMilliseconds: number;
  /** Number of hosts to which each heartbeat is sent. */
  readonly peers: number;
  /** Number of digests of other hosts in each message. */
  readonly digests: number;
  /** Number of these peers that share slots with the sender. */
  readonly partnersPerHeartbeat: number;
  /** Minimum silence after which a member is suspected. */
  readonly suspectMilliseconds: number;
}

/** Silences after which members are suspected, in milliseconds. */
export interface SilenceLimits {
  /** For hosts that share slots with this one, to which heartbeats go in turn. */
  readonly partners: number;
  /** For all other hosts, whose heartbeats mostly arrive in digests. */
  readonly others: number;
}

/**
 * Silence limit of a host that is not a partner, in mean intervals between its
 * heartbeats. They arrive at random times: among thousands of pairs of hosts
 * some intervals are many times the mean.
 */
const OTHERS_SILENCE_INTERVALS = 20;
/** Silence limit of a partner, in intervals between its heartbeats. */
const PARTNERS_SILENCE_INTERVALS = 1.5;

/**
 * Computes the silence after which members are suspected. It grows with the
 * number of hosts, because the heartbeats of each host then arrive less often.
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

/** Removes members that have been silent for longer than a limit. */
export function removeSilent(
  members: Members,
  now: number,
  options: { readonly afterMilliseconds: number },
): Members {
  return new Map(
    [...members].filter(
      ([, member]) => now - member.receivedAt <= options.afterMilliseconds,
    ),
  );
}

/** Members that are not suspected. */
export function trustedMembers(members: Members): readonly Member[] {
  return [...members.values()].filter(({ suspected }) => !suspected);
}

/** Chooses the members to send a heartbeat to: those in `always`, then at random. */
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

/** Draws up to `count` different items at random. */
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
 * Digests of other hosts to send with a heartbeat: half of them the most recent
 * ones, so that changes spread fast, and the rest at random. Their number is
 * fixed, so that messages do not grow with the fleet.
 */
export function digestsToSend(
  members: Members,
  now: number,
  options: { readonly count: number; readonly random: Random },
): readonly HostDigest[] {
  const recent = [...members.values()]
    .filter(({ suspected }) => !suspected)
    .toSorted((left, right) => right.receivedAt - left.receivedAt);
  const newest = recent.slice(0, Math.ceil(options.count / 2));
  const rest = sample(
    recent.slice(newest.length),
    options.count - newest.length,
    options.random,
  );
  return [...newest, ...rest].map((member) => withCurrentAge(member, now));
}

/** A member's digest; its age includes the time since it was received. */
function withCurrentAge(
  { digest, receivedAt }: Member,
  now: number,
): HostDigest {
  return digest.confirmedAge < 0
    ? digest
    : {
        ...digest,
        confirmedAge: digest.confirmedAge + (now - receivedAt),
      };
}
