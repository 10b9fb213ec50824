// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The hosts known to one host, from the store's list, from updates and from
 * digests. Determines which of them are relays, and the role of this host.
 *
 * @module
 */
import { splitAddress } from "rampswitch-utils";
import type { FleetView } from "./fleet_majority.ts";
import type { FleetDigest, PeerUpdate } from "./peer_messages.ts";
import {
  DIRECT_GOSSIP_TIMING,
  needsRelays,
  type GossipTiming,
  type PlannedHost,
  RELAYED_GOSSIP_TIMING,
  relayOrder,
  relaysOf,
} from "./relay_plan.ts";
import { SilentHosts } from "./silent_hosts.ts";

/** Silence after which a host is no longer counted, in milliseconds. */
const HOST_SILENCE_MILLISECONDS = 10_000;

/** Silence after which the clock of a host is ignored, in milliseconds. */
const CLOCK_LIFETIME_MILLISECONDS = 5_000;

/**
 * Time after its first listing in which a host may be selected as a relay before its
 * first update arrives, in milliseconds: enough for a start and a few messages.
 */
const NEWLY_LISTED_MILLISECONDS = 3_000;

/**
 * Time after which a host that receives nothing from its relays and its data hall
 * acts as the only host there, in milliseconds: several rounds of candidates.
 */
const RELAY_SEARCH_MILLISECONDS = 6_000;

/**
 * Silence after which a host no longer counts as a permit holder, in milliseconds, by
 * the role of the host that counts: a few lost messages.
 */
const PERMIT_HOLDER_SILENCE_MILLISECONDS: Readonly<Record<HostRole, number>> = {
  direct: 1_500,
  relay: 3_000,
  member: 3_000,
};

/** Silence after which no request is forwarded to a host, in milliseconds. */
const FORWARDING_HOST_SILENCE_MILLISECONDS = 1_500;

/** Hosts contacted in each round while all relays of a data hall are silent. */
const CANDIDATES_EACH_ROUND = 4;

/** Role of a host in gossip. */
export type HostRole =
  /** The fleet is small: every host sends updates to every other. */
  | "direct"
  /** Collects the updates of its data hall and sends digests. */
  | "relay"
  /** Sends updates to its relays and receives digests. */
  | "member";

/** Timing of gossip by role. */
export const GOSSIP_TIMING_BY_ROLE: Readonly<Record<HostRole, GossipTiming>> = {
  direct: DIRECT_GOSSIP_TIMING,
  relay: RELAYED_GOSSIP_TIMING,
  member: RELAYED_GOSSIP_TIMING,
};

/** Rounds of gossip until the work of a host is known to another one. */
const GOSSIP_ROUNDS: Readonly<Record<HostRole, number>> = {
  direct: 1,
  relay: 2,
  member: 2,
};

/** Age of a host's information on the work of others, in milliseconds. */
export function gossipLagMilliseconds(role: HostRole): number {
  return GOSSIP_TIMING_BY_ROLE[role].interval * GOSSIP_ROUNDS[role];
}

/** State of another host. Times are in milliseconds of the monotonic clock. */
export interface KnownHost extends PlannedHost {
  readonly address: string;
  /** `undefined` before its first update. */
  readonly incarnation: string | undefined;
  readonly sequence: number;
  /** When its newest update was received, here or by the relay that forwarded it. */
  readonly receivedAt: number;
  /** When it was first found in the store's list or sent its first update. */
  readonly listedAt: number;
  /** When it last sent a message that requested no digests, as relays do. */
  readonly relayAt: number;
  /** When it last requested digests; `-Infinity` if its newest message did not. */
  readonly digestRequestedAt: number;
  /** Whether it reads digests that are the same for several hosts. */
  readonly readsSharedDigest: boolean;
  readonly stopping: boolean;
  readonly update: PeerUpdate | undefined;
}

/** A host as it registers in the store. */
export interface RegisteredHost extends PlannedHost {
  readonly address: string;
}

/** A host in the store's list. */
export interface ListedHost extends RegisteredHost {
  /** Store version of its entry. */
  readonly version: number;
}

interface ReceivedDigest {
  readonly digest: FleetDigest;
  readonly at: number;
}

/** The other hosts of the fleet. */
export class FleetHosts {
  readonly #self: PlannedHost;
  readonly #hosts = new Map<string, KnownHost>();
  /** Former incarnations of each host; their late updates are ignored. */
  readonly #formerIncarnations = new Map<string, ReadonlySet<string>>();
  /** Names of the hosts in the newest list; includes this one once it is listed. */
  #listed: ReadonlySet<string> = new Set();
  readonly #silence = new SilentHosts();
  #digest: ReceivedDigest | undefined;

  constructor(self: PlannedHost) {
    this.#self = self;
  }

  /** A host by name. */
  get(name: string): KnownHost | undefined {
    return this.#hosts.get(name);
  }

  /** All other hosts. */
  all(): readonly KnownHost[] {
    return [...this.#hosts.values()];
  }

  /**
   * Adds the hosts of the store's list and forgets those that are long neither listed
   * nor heard; returns the names of the new ones.
   */
  addListed(entries: readonly ListedHost[], now: number): readonly string[] {
    this.#listed = new Set(entries.map(({ name }) => name));
    entries.forEach((entry) => this.#silence.recordListed(entry));
    this.#forgetUnlisted();
    const unknown = entries.filter(
      ({ name }) => name !== this.#self.name && !this.#hosts.has(name),
    );
    unknown.forEach(({ name, dataHall, cores, address }) =>
      this.#hosts.set(name, {
        name,
        dataHall,
        cores,
        address,
        incarnation: undefined,
        sequence: -1,
        receivedAt: -Infinity,
        listedAt: now,
        relayAt: -Infinity,
        digestRequestedAt: -Infinity,
        readsSharedDigest: false,
        stopping: false,
        update: undefined,
      }),
    );
    return unknown.map(({ name }) => name);
  }

  /** Whether an update of a host is this host's own or not newer than the known one. */
  hasApplied(host: string, incarnation: string, sequence: number): boolean {
    if (host === this.#self.name) return true;
    const known = this.#hosts.get(host);
    return known?.incarnation === incarnation && sequence <= known.sequence;
  }

  /** Stores an update; returns whether it is newer than the known one. */
  applyUpdate(update: PeerUpdate, at: number): boolean {
    const known = this.#hosts.get(update.host);
    const isSameIncarnation = known?.incarnation === update.incarnation;
    if (isSameIncarnation && update.sequence <= known.sequence) return false;
    const former = this.#formerIncarnations.get(update.host) ?? new Set();
    if (former.has(update.incarnation)) return false;
    this.#silence.recordUpdate(update.host, at, {
      receivesDigests: this.#freshDigest(at) !== undefined,
    });
    if (known === undefined) this.#forgetUnlisted();
    if (known?.incarnation !== undefined && !isSameIncarnation) {
      this.#formerIncarnations.set(
        update.host,
        new Set(
          [...former, known.incarnation].slice(-MAXIMUM_FORMER_INCARNATIONS),
        ),
      );
    }
    this.#hosts.set(update.host, {
      name: update.host,
      dataHall: update.dataHall,
      cores: update.cores,
      address: update.address,
      incarnation: update.incarnation,
      sequence: update.sequence,
      receivedAt: at,
      listedAt: known?.listedAt ?? at,
      relayAt: known?.relayAt ?? -Infinity,
      digestRequestedAt: known?.digestRequestedAt ?? -Infinity,
      readsSharedDigest: known?.readsSharedDigest ?? false,
      stopping: update.stopping,
      update,
    });
    return true;
  }

  /** Records whether the sender of a message requests digests; relays do not. */
  recordSender(
    name: string,
    {
      wantsDigest,
      readsSharedDigest,
    }: Pick<KnownHost, "readsSharedDigest"> & { readonly wantsDigest: boolean },
    now: number,
  ): void {
    const known = this.#hosts.get(name);
    if (known === undefined) return;
    this.#hosts.set(name, {
      ...known,
      relayAt: wantsDigest ? known.relayAt : now,
      digestRequestedAt: wantsDigest ? now : -Infinity,
      readsSharedDigest,
    });
  }

  /** Stores the digest of a relay. */
  applyDigest(digest: FleetDigest, now: number): void {
    this.#digest = { digest, at: now };
    this.#silence.recordDigest(now);
  }

  /**
   * Names of the hosts that are not silent, this one included; with a recent digest,
   * all known hosts.
   */
  present(now: number): readonly string[] {
    const oldest = now - HOST_SILENCE_MILLISECONDS;
    const hasDigest = this.#freshDigest(now) !== undefined;
    const others = this.all().filter(
      (host) => hasDigest || Math.max(host.receivedAt, host.listedAt) >= oldest,
    );
    return [this.#self.name, ...others.map(({ name }) => name)];
  }

  /**
   * Whether a host that was asked may answer: it was listed or heard lately. Hosts of
   * other relays are not heard, so any of them may.
   */
  mayAnswer({ receivedAt, listedAt }: KnownHost, now: number): boolean {
    const silence = now - Math.max(receivedAt, listedAt);
    return this.role(now) !== "direct" || silence < NEWLY_LISTED_MILLISECONDS;
  }

  /**
   * Names of the hosts that may grant permits for limited servers: all hosts that are
   * not silent, or the relays if there are any. A stopping host grants none.
   */
  permitHolders(
    now: number,
    { stopping }: { readonly stopping: boolean },
  ): readonly string[] {
    const role = this.role(now);
    if (role === "member") return this.#freshDigest(now)?.permitHolders ?? [];
    const oldest = now - PERMIT_HOLDER_SILENCE_MILLISECONDS[role];
    const others = this.all().filter(
      ({ receivedAt, relayAt, stopping }) =>
        !stopping && (role === "relay" ? relayAt : receivedAt) >= oldest,
    );
    const names = others.map(({ name }) => name);
    return stopping ? names : [this.#self.name, ...names];
  }

  /**
   * Hosts that may forward requests: those that are not silent, and in a fleet with
   * relays also those that are only listed, as their news go to the relays.
   */
  forwardingHosts(now: number): readonly KnownHost[] {
    const isDirect = this.role(now) === "direct";
    const oldest = now - FORWARDING_HOST_SILENCE_MILLISECONDS;
    return this.all().filter(
      ({ receivedAt, stopping }) =>
        !stopping && (!isDirect || receivedAt >= oldest),
    );
  }

  /** Whether an IP address belongs to a known host. */
  isHostAddress(ip: string): boolean {
    return this.all().some(({ address }) => splitAddress(address).host === ip);
  }

  /** Current role of this host. */
  role(now: number): HostRole {
    if (!needsRelays(Math.max(this.listedCount, this.#activeCount(now) + 1))) {
      return "direct";
    }
    if (this.#isSeekingRelays(now)) return "member";
    return this.ownRelays(now).includes(this.#self.name) ? "relay" : "member";
  }

  /**
   * Whether the relays and all other hosts of the data hall are silent, for a shorter
   * time than the search for relays may take.
   */
  #isSeekingRelays(now: number): boolean {
    const silence = now - (this.#digest?.at ?? -Infinity);
    const hasActiveHosts = this.all().some(
      (host) =>
        host.dataHall === this.#self.dataHall &&
        now - host.receivedAt < RELAYED_GOSSIP_TIMING.silence,
    );
    return (
      !hasActiveHosts &&
      silence >= RELAYED_GOSSIP_TIMING.silence &&
      silence < RELAY_SEARCH_MILLISECONDS
    );
  }

  /**
   * Relays of this host's data hall: those in the newest digest, as relays receive
   * updates from more hosts, or else those that this host selects itself.
   */
  ownRelays(now: number): readonly string[] {
    return (
      this.#freshDigest(now)?.relays ??
      this.#plannedRelays(this.#self.dataHall, now)
    );
  }

  /** Whether another host has been silent for so long that its entry may be removed. */
  isGone(name: string): boolean {
    return name !== this.#self.name && this.#silence.isGone(name);
  }

  /** Number of hosts in the newest list; includes this one once it is listed. */
  get listedCount(): number {
    return this.#listed.size;
  }

  /** Number of hosts that may be serving: not silent or just listed, and this one. */
  size(now: number): number {
    const reported = this.#freshDigest(now)?.hosts;
    if (reported !== undefined) return reported;
    const oldest = now - HOST_SILENCE_MILLISECONDS;
    const recent = this.all().filter(
      (host) => Math.max(host.receivedAt, host.listedAt) >= oldest,
    );
    const needed = needsRelays(this.listedCount) && this.#digest !== undefined;
    return needed ? this.listedCount : 1 + recent.length;
  }

  /** What this host knows of the fleet, to find the state of most hosts. */
  view(now: number): FleetView {
    return {
      listed: this.listedCount,
      hosts: this.all(),
      digest: this.#freshDigest(now),
      isRelayed: this.role(now) !== "direct",
      now,
    };
  }

  /** Number of data halls that have hosts. */
  get dataHalls(): number {
    const names = this.all().map(({ dataHall }) => dataHall);
    return new Set([this.#self.dataHall, ...names]).size;
  }

  /**
   * The relay of this data hall that decides on limits for a member. Before the first
   * digest, for instance when all hosts have just started, it is the first relay that
   * this host selects itself.
   */
  decider(now: number): KnownHost | undefined {
    return this.#hostsNamed(this.ownRelays(now))[0];
  }

  /** Offsets of other hosts' clocks from the monotonic time of this one. */
  clockOffsets(now: number): readonly number[] {
    const oldest = now - CLOCK_LIFETIME_MILLISECONDS;
    return this.all()
      .filter((host) => host.receivedAt >= oldest)
      .flatMap(({ update, receivedAt }) =>
        update === undefined ? [] : [update.wallTime - receivedAt],
      );
  }

  /** Hosts that recently requested digests from this one. */
  digestRequesters(now: number): readonly KnownHost[] {
    return this.all().filter(
      (host) => now - host.digestRequestedAt < RELAYED_GOSSIP_TIMING.silence,
    );
  }

  /** Hosts of this data hall that send their updates to this one themselves. */
  directSenders(now: number): readonly KnownHost[] {
    return this.all().filter(
      (host) =>
        host.dataHall === this.#self.dataHall &&
        now - Math.max(host.digestRequestedAt, host.relayAt) <
          RELAYED_GOSSIP_TIMING.silence,
    );
  }

  /** Relays that a member sends its updates to. */
  relaysToUpdate(now: number, round: number): readonly KnownHost[] {
    const relays = this.#freshDigest(now)?.relays;
    return relays === undefined
      ? this.#candidateRelays(this.#self.dataHall, round)
      : this.#hostsNamed(relays);
  }

  /** Other relays that a relay sends updates to, in all data halls. */
  otherRelays(now: number, round: number): readonly KnownHost[] {
    const dataHalls = new Set(this.all().map(({ dataHall }) => dataHall));
    return [...dataHalls].flatMap((dataHall) => {
      const active = this.all().filter(
        (host) =>
          host.dataHall === dataHall &&
          !host.stopping &&
          now - host.relayAt < RELAYED_GOSSIP_TIMING.silence,
      );
      const planned = this.#hostsNamed(this.#plannedRelays(dataHall, now));
      const known = [...new Set([...active, ...planned])];
      return active.length > 0 ? known : this.#candidateRelays(dataHall, round);
    });
  }

  /**
   * The silent host whose turn it is to get the update of a relay, if there is any: it
   * may have been cut off, and have relays of its own since.
   */
  silentHostInTurn(now: number, round: number): readonly KnownHost[] {
    const newest = now - HOST_SILENCE_MILLISECONDS;
    const silent = this.all().filter(
      (host) => Math.max(host.receivedAt, host.listedAt) <= newest,
    );
    const turn = round % Math.max(1, silent.length);
    return silent.slice(turn, turn + 1);
  }

  #plannedRelays(dataHall: string, now: number): readonly string[] {
    const present = this.all().filter(
      (host) =>
        !host.stopping &&
        (now - host.receivedAt < RELAYED_GOSSIP_TIMING.silence ||
          now - host.listedAt < NEWLY_LISTED_MILLISECONDS),
    );
    return relaysOf([this.#self, ...present], dataHall);
  }

  /** A few hosts of a data hall, rotated by round; the likely relays come first. */
  #candidateRelays(dataHall: string, round: number): readonly KnownHost[] {
    const names = relayOrder(
      this.all().filter((host) => !host.stopping),
      dataHall,
    );
    const start = (round * CANDIDATES_EACH_ROUND) % Math.max(1, names.length);
    return this.#hostsNamed(
      [...names.slice(start), ...names.slice(0, start)].slice(
        0,
        CANDIDATES_EACH_ROUND,
      ),
    );
  }

  /** Forgets hosts, but none of the newest list, as the store may be away. */
  #forgetUnlisted(): void {
    this.#silence.unlisted
      .filter((name) => !this.#listed.has(name))
      .forEach((name) => {
        this.#silence.forget(name);
        this.#hosts.delete(name);
        this.#formerIncarnations.delete(name);
      });
  }

  #hostsNamed(names: readonly string[]): readonly KnownHost[] {
    return names.flatMap((name) => this.#hosts.get(name) ?? []);
  }

  #freshDigest(now: number): FleetDigest | undefined {
    const received = this.#digest;
    return received !== undefined &&
      now - received.at < RELAYED_GOSSIP_TIMING.silence
      ? received.digest
      : undefined;
  }

  #activeCount(now: number): number {
    const oldest = now - HOST_SILENCE_MILLISECONDS;
    return this.all().filter((host) => host.receivedAt >= oldest).length;
  }
}

/** Maximum number of former incarnations that are retained for each host. */
const MAXIMUM_FORMER_INCARNATIONS = 4;
