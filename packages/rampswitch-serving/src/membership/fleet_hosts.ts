// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The hosts that one host knows: from the store's list, from their news and
 * from digests; which of them are relays, and what this host is itself.
 *
 * @module
 */
import type { FleetDigest, PeerNews } from "./peer_news.ts";
import {
  DIRECT_PACE,
  needsRelays,
  type NewsPace,
  type PlannedHost,
  RELAYED_PACE,
  relayOrder,
  relaysOf,
} from "./relay_plan.ts";

/** Silence after which a host no longer counts, in milliseconds. */
const GONE_MILLISECONDS = 10_000;

/** Silence after which a host's clock no longer counts, in milliseconds. */
const CLOCK_MILLISECONDS = 5_000;

/**
 * A host that was listed this lately may be a relay before it is heard, in
 * milliseconds: a start and some messages.
 */
const NEWLY_LISTED_MILLISECONDS = 3_000;

/**
 * After this long without its relays or any host of its data hall, a host takes
 * itself to be the only one there; in milliseconds, some rounds of tries.
 */
const ALONE_MILLISECONDS = 6_000;

/**
 * Silence after which a host no longer gives turns at limited servers, in
 * milliseconds, by what the asking host does with news: a few lost messages.
 */
const NO_HOLDER_MILLISECONDS: Readonly<Record<HostRole, number>> = {
  direct: 1_500,
  relay: 3_000,
  member: 3_000,
};

/** Hosts tried in a round while no relay of a data hall is heard. */
const TRIED_EACH_ROUND = 4;

/** What a host does with news. */
export type HostRole =
  /** The fleet is small: every host tells every other. */
  | "direct"
  /** It gathers the news of its data hall and tells digests. */
  | "relay"
  /** It tells its relays and hears digests. */
  | "member";

/** Pace of the news by role. */
export const PACE_BY_ROLE: Readonly<Record<HostRole, NewsPace>> = {
  direct: DIRECT_PACE,
  relay: RELAYED_PACE,
  member: RELAYED_PACE,
};

/** Rounds of news until a host's work is known to another one. */
const NEWS_ROUNDS: Readonly<Record<HostRole, number>> = {
  direct: 1,
  relay: 2,
  member: 2,
};

/** Age of what a host knows of the others' work, in milliseconds. */
export function newsLagMilliseconds(role: HostRole): number {
  return PACE_BY_ROLE[role].interval * NEWS_ROUNDS[role];
}

/** Another host. */
export interface KnownHost extends PlannedHost {
  readonly address: string;
  /** `undefined` before its first news. */
  readonly incarnation: string | undefined;
  readonly sequence: number;
  /** When its news last came, from itself or from a relay. */
  readonly heardAt: number;
  /** When it was first found in the store's list. */
  readonly listedAt: number;
  /** When it last sent a message as a relay. */
  readonly relayAt: number;
  /** When it last asked this host for digests. */
  readonly askedAt: number;
  readonly stopping: boolean;
  readonly news: PeerNews | undefined;
}

/** Entry of a host in the store's list. */
export interface ListedHost extends PlannedHost {
  readonly address: string;
}

interface HeardDigest {
  readonly digest: FleetDigest;
  readonly at: number;
}

/** Other hosts, by name. */
export class FleetHosts {
  readonly #self: PlannedHost;
  readonly #hosts = new Map<string, KnownHost>();
  /** Ended lives of each host; their late news is passed over. */
  readonly #formerLives = new Map<string, ReadonlySet<string>>();
  #listedCount = 0;
  #digest: HeardDigest | undefined;

  constructor(self: PlannedHost) {
    this.#self = self;
  }

  /** One host. */
  get(name: string): KnownHost | undefined {
    return this.#hosts.get(name);
  }

  /** All other hosts. */
  all(): readonly KnownHost[] {
    return [...this.#hosts.values()];
  }

  /** Takes in the store's list; returns the names that were not known. */
  listed(entries: readonly ListedHost[], now: number): readonly string[] {
    this.#listedCount = entries.length;
    const unknown = entries.filter(
      ({ name }) => name !== this.#self.name && !this.#hosts.has(name),
    );
    unknown.forEach((entry) =>
      this.#hosts.set(entry.name, {
        ...entry,
        incarnation: undefined,
        sequence: -1,
        heardAt: -Infinity,
        listedAt: now,
        relayAt: -Infinity,
        askedAt: -Infinity,
        stopping: false,
        news: undefined,
      }),
    );
    return unknown.map(({ name }) => name);
  }

  /** Takes in news; tells whether it is newer than what was known. */
  heard(news: PeerNews, at: number): boolean {
    const known = this.#hosts.get(news.host);
    const sameLife = known?.incarnation === news.incarnation;
    if (sameLife && news.sequence <= known.sequence) return false;
    const former = this.#formerLives.get(news.host) ?? new Set();
    if (former.has(news.incarnation)) return false;
    if (known?.incarnation !== undefined && !sameLife) {
      this.#formerLives.set(
        news.host,
        new Set([...former, known.incarnation].slice(-KEPT_LIVES)),
      );
    }
    this.#hosts.set(news.host, {
      name: news.host,
      dataHall: news.dataHall,
      cores: news.cores,
      address: news.address,
      incarnation: news.incarnation,
      sequence: news.sequence,
      heardAt: at,
      listedAt: known?.listedAt ?? at,
      relayAt: known?.relayAt ?? -Infinity,
      askedAt: known?.askedAt ?? -Infinity,
      stopping: news.stopping,
      news,
    });
    return true;
  }

  /** Notes how a message's sender takes part in the news. */
  sentBy(name: string, wantsDigest: boolean, now: number): void {
    const known = this.#hosts.get(name);
    if (known === undefined) return;
    this.#hosts.set(name, {
      ...known,
      relayAt: wantsDigest ? known.relayAt : now,
      askedAt: wantsDigest ? now : -Infinity,
    });
  }

  /** Takes in a relay's digest. */
  digested(digest: FleetDigest, now: number): void {
    this.#digest = { digest, at: now };
  }

  /** Names of the hosts that are heard, or all where relays tell; this one too. */
  present(now: number): readonly string[] {
    const oldest = now - GONE_MILLISECONDS;
    const byRelays = this.#freshDigest(now) !== undefined;
    const others = this.all().filter(
      (host) => byRelays || Math.max(host.heardAt, host.listedAt) >= oldest,
    );
    return [this.#self.name, ...others.map(({ name }) => name)];
  }

  /**
   * Names of the hosts that may give turns at limited servers: all that are heard,
   * or the relays where there are some. One that is about to end gives none.
   */
  turnHolders(
    now: number,
    { stopping }: { readonly stopping: boolean },
  ): readonly string[] {
    const role = this.role(now);
    if (role === "member") return this.#freshDigest(now)?.turnHolders ?? [];
    const oldest = now - NO_HOLDER_MILLISECONDS[role];
    const others = this.all().filter(
      ({ heardAt, relayAt, stopping }) =>
        !stopping && (role === "relay" ? relayAt : heardAt) >= oldest,
    );
    const names = others.map(({ name }) => name);
    return stopping ? names : [this.#self.name, ...names];
  }

  /** What this host does with news now. */
  role(now: number): HostRole {
    if (!needsRelays(Math.max(this.#listedCount, this.#heardCount(now) + 1))) {
      return "direct";
    }
    if (this.#seeksRelays(now)) return "member";
    return this.ownRelays(now).includes(this.#self.name) ? "relay" : "member";
  }

  /** Whether its relays fell silent, and no other host was heard since. */
  #seeksRelays(now: number): boolean {
    const silence = now - (this.#digest?.at ?? -Infinity);
    const heard = this.all().some(
      (host) =>
        host.dataHall === this.#self.dataHall &&
        now - host.heardAt < RELAYED_PACE.silence,
    );
    return (
      !heard && silence >= RELAYED_PACE.silence && silence < ALONE_MILLISECONDS
    );
  }

  /**
   * Relays of this host's data hall: those that its own relays name, which hear
   * more hosts, or else those that it would plan.
   */
  ownRelays(now: number): readonly string[] {
    return (
      this.#freshDigest(now)?.relays ?? this.#relays(this.#self.dataHall, now)
    );
  }

  /** Hosts in the list that was read last; this one included once it stands there. */
  get listedCount(): number {
    return this.#listedCount;
  }

  /** Hosts that may be serving, heard or just listed; this one included. */
  size(now: number): number {
    const told = this.#freshDigest(now)?.hosts;
    if (told !== undefined) return told;
    const oldest = now - GONE_MILLISECONDS;
    const recent = this.all().filter(
      (host) => Math.max(host.heardAt, host.listedAt) >= oldest,
    );
    const needed = needsRelays(this.#listedCount) && this.#digest !== undefined;
    return needed ? this.#listedCount : 1 + recent.length;
  }

  /** Data halls that have hosts. */
  get dataHalls(): number {
    const names = this.all().map(({ dataHall }) => dataHall);
    return new Set([this.#self.dataHall, ...names]).size;
  }

  /**
   * The relay of this data hall that decides on limits for a member. Where all
   * hosts have just started, the one that they would plan is asked before the
   * first digest came.
   */
  decider(now: number): KnownHost | undefined {
    return this.#named(this.ownRelays(now))[0];
  }

  /** Offsets of other hosts' clocks that are known and recent. */
  clockOffsets(now: number): readonly number[] {
    const oldest = now - CLOCK_MILLISECONDS;
    return this.all()
      .filter((host) => host.heardAt >= oldest)
      .flatMap(({ news, heardAt }) =>
        news === undefined ? [] : [news.wallTime - heardAt],
      );
  }

  /** Hosts that asked this one for digests lately. */
  asking(now: number): readonly KnownHost[] {
    return this.all().filter(
      (host) => now - host.askedAt < RELAYED_PACE.silence,
    );
  }

  /** Hosts of this data hall that tell this one their news themselves. */
  telling(now: number): readonly KnownHost[] {
    return this.all().filter(
      (host) =>
        host.dataHall === this.#self.dataHall &&
        now - Math.max(host.askedAt, host.relayAt) < RELAYED_PACE.silence,
    );
  }

  /** Relays that a member tells its news to. */
  relaysToTell(now: number, round: number): readonly KnownHost[] {
    const told = this.#freshDigest(now)?.relays;
    return told === undefined
      ? this.#tried(this.#self.dataHall, round)
      : this.#named(told);
  }

  /** Other relays that a relay tells, in all data halls. */
  otherRelays(now: number, round: number): readonly KnownHost[] {
    const dataHalls = new Set(this.all().map(({ dataHall }) => dataHall));
    return [...dataHalls].flatMap((dataHall) => {
      const heard = this.all().filter(
        (host) =>
          host.dataHall === dataHall &&
          !host.stopping &&
          now - host.relayAt < RELAYED_PACE.silence,
      );
      const planned = this.#named(this.#relays(dataHall, now));
      const known = [...new Set([...heard, ...planned])];
      return heard.length > 0 ? known : this.#tried(dataHall, round);
    });
  }

  #relays(dataHall: string, now: number): readonly string[] {
    const present = this.all().filter(
      (host) =>
        !host.stopping &&
        (now - host.heardAt < RELAYED_PACE.silence ||
          now - host.listedAt < NEWLY_LISTED_MILLISECONDS),
    );
    return relaysOf([this.#self, ...present], dataHall);
  }

  /** Some hosts of a data hall in turn, the likely relays first. */
  #tried(dataHall: string, round: number): readonly KnownHost[] {
    const names = relayOrder(
      this.all().filter((host) => !host.stopping),
      dataHall,
    );
    const start = (round * TRIED_EACH_ROUND) % Math.max(1, names.length);
    return this.#named(
      [...names.slice(start), ...names.slice(0, start)].slice(
        0,
        TRIED_EACH_ROUND,
      ),
    );
  }

  #named(names: readonly string[]): readonly KnownHost[] {
    return names.flatMap((name) => this.#hosts.get(name) ?? []);
  }

  #freshDigest(now: number): FleetDigest | undefined {
    const heard = this.#digest;
    return heard !== undefined && now - heard.at < RELAYED_PACE.silence
      ? heard.digest
      : undefined;
  }

  #heardCount(now: number): number {
    const oldest = now - GONE_MILLISECONDS;
    return this.all().filter((host) => host.heardAt >= oldest).length;
  }
}

/** Ended lives that are remembered of each host. */
const KEPT_LIVES = 4;
