// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * What this host tells its peers, and what it makes of their news.
 *
 * @module
 */
import type { Clock } from "rampswitch-utils";
import type { AdmittedTotals, WorkspaceLimits } from "./admission/mod.ts";
import type {
  LeavingNews,
  PrefixKnowledge,
  ServerDirectory,
} from "./choice/mod.ts";
import type { ConfigurationFollower } from "./configuration/configuration_follower.ts";
import type { HostDuties, ServiceLoad } from "./duties/mod.ts";
import {
  type FleetDigest,
  type FleetView,
  type HostRole,
  type LeaseNews,
  type OwnNews,
  PACE_BY_ROLE,
  type PeerNews,
} from "./membership/mod.ts";
import type { Quarantine, QuarantineNews } from "./quarantine/mod.ts";
import type { Rollouts } from "./rollout/mod.ts";
import type { LimitNews, ServerTurns, TurnNews } from "./server_limits/mod.ts";
import type { LeavingStatements } from "./statements/mod.ts";
import type { RecentDispatches } from "./relay/recent_dispatches.ts";
import type { LoadMeter } from "./relay/load_meter.ts";
import type { ReadingRates } from "./relay/reading_rates.ts";

/** Parts that news comes from and goes to. */
export interface HostNewsParts {
  /** A steady clock. */
  readonly clock: Clock;
  readonly directory: ServerDirectory;
  readonly prefixes: PrefixKnowledge;
  readonly limits: WorkspaceLimits;
  readonly readingRates: ReadingRates;
  readonly dispatches: RecentDispatches;
  readonly meter: LoadMeter;
  readonly duties: HostDuties;
  readonly follower: ConfigurationFollower;
  readonly quarantine: Quarantine;
  readonly rollouts: Rollouts;
  readonly turns: ServerTurns;
  readonly leavingStatements: LeavingStatements;
  /** Hosts that may give turns at limited servers. */
  turnHolders(): readonly string[];
  /** Time of day on which the hosts agree, in milliseconds. */
  wallTime(): number;
  /** Whether this host is about to end. */
  stopping(): boolean;
  /** Asks a relay for the newest configuration. */
  askConfiguration(relay: string): void;
}

/** News of one host. */
export class HostNews {
  readonly #parts: HostNewsParts;
  /** What this host had admitted at each of its newest messages. */
  readonly #told = new Map<number, AdmittedTotals>();
  readonly #leases = new Map<string, HeardLease>();
  /** Of this round; a relay tells these to each of its members. */
  #quarantineNews: readonly QuarantineNews[] = [];
  #leavingNews: readonly LeavingNews[] = [];
  #limitNews: readonly LimitNews[] = [];

  constructor(parts: HostNewsParts) {
    this.#parts = parts;
  }

  /** Load of a service over all hosts; asking adds to its history. */
  load(service: string): ServiceLoad {
    return {
      running: this.#parts.meter.meanRunning(
        service,
        this.#parts.directory.load(service, this.#parts.clock.now()),
      ),
      readTokensPerSecond: this.#parts.meter.readTokensPerSecond(service),
      readingRate: this.#parts.readingRates.of(service),
    };
  }

  /** What to tell the peers now, in the message with this number. */
  own(message: {
    readonly sequence: number;
    readonly role: HostRole;
  }): OwnNews {
    const { limits } = this.#parts;
    limits.setPace(PACE_BY_ROLE[message.role]);
    if (message.role !== "member") limits.followPeers();
    this.#parts.follower.checkRelays();
    this.#noteTold(message.sequence, limits.totals());
    this.#quarantineNews = this.#parts.quarantine.news();
    this.#leavingNews = this.#parts.leavingStatements.news({ ownOnly: false });
    this.#limitNews = this.#parts.turns.limits(this.#parts.clock.now());
    this.#parts.duties.usage.forgetOld(this.#parts.wallTime());
    // Every host keeps a history of the load, so that it can take the duties.
    this.#parts.follower.routes?.configuration.services.forEach(({ name }) =>
      this.load(name),
    );
    return {
      stopping: this.#parts.stopping(),
      configurationVersion:
        this.#parts.follower.routes?.configuration.version ?? 0,
      configurationAge: this.#ownConfirmationAge(),
      followed: this.#parts.follower.followed,
      admitted: this.#parts.limits.totals(),
      levels: limits.levels(this.#parts.clock.now()),
      work: this.#parts.directory.ownWork(),
      counts: this.#parts.duties.usage.own(this.#parts.wallTime()),
      // In a large fleet, hosts agree on servers by hash instead.
      dispatches:
        message.role === "direct"
          ? this.#parts.dispatches.take(this.#parts.clock.now())
          : [],
      readTokens: this.#parts.meter.ownReadTokens(),
      lease: this.#parts.duties.lease,
      quarantine: this.#quarantineNews,
      rollouts: this.#parts.rollouts.news(this.#parts.clock.now()),
      ...this.#turnNews(message.role),
      leaving: this.#parts.leavingStatements.news({
        ownOnly: message.role !== "direct",
      }),
    };
  }

  #turnNews(role: HostRole): TurnNews {
    const holders = this.#parts.turnHolders();
    return this.#parts.turns.news({ holders, tellsAll: role === "direct" });
  }

  #noteTold(sequence: number, totals: AdmittedTotals): void {
    this.#told.set(sequence, totals);
    this.#told.delete(sequence - KEPT_MESSAGES);
  }

  /** What to tell a host of this data hall about all others. */
  viewFor(host: string): FleetView {
    const { limits, directory, follower, clock } = this.#parts;
    const now = clock.now();
    const own = this.#parts.duties.lease;
    const heard = [...this.#leases.values()]
      .filter(({ at }) => now - at < LEASE_NEWS_MILLISECONDS)
      .map(({ lease }) => lease);
    return {
      configurationVersion: follower.routes?.configuration.version ?? 0,
      configurationAge: this.#ownConfirmationAge(),
      followed: this.#parts.follower.followed,
      // Before a relay heard what others spent, its levels are too high.
      levels: limits.knowsLevels(now) ? limits.levels(now) : {},
      silentShare: limits.silentShare(now),
      work: directory.workBeside(host, now),
      leases: own === undefined ? heard : [own, ...heard],
      servers: follower.recentServers(),
      quarantine: this.#quarantineNews,
      rollouts: this.#parts.rollouts.word(now),
      limits: this.#limitNews,
      leaving: this.#leavingNews,
    };
  }

  /** Takes in a relay's word on the whole fleet. */
  heardDigest(digest: FleetDigest): void {
    const { directory, limits, clock } = this.#parts;
    const now = clock.now();
    if (digest.configurationAge !== undefined) {
      this.#parts.follower.confirmedByRelay(
        digest.configurationVersion,
        digest.configurationAge,
      );
    }
    this.#parts.follower.serversByRelay(digest.servers);
    const { configuration } = digest.followed;
    const reachesStore = digest.servers !== undefined;
    const isBehind = this.#parts.follower.relayFollowed(
      configuration,
      reachesStore,
    );
    if (isBehind) this.#parts.askConfiguration(digest.relay);
    this.#parts.follower.othersFollowed(digest.followed);
    directory.heardPeer(FLEET, digest.work, now);
    const acknowledged = this.#told.get(digest.acknowledged);
    if (acknowledged !== undefined) {
      limits.followRelay({ ...digest, acknowledged }, now);
    }
    this.#parts.quarantine.heard(digest.quarantine);
    this.#parts.rollouts.heard(digest.rollouts, { now });
    this.#parts.turns.heardLimits(digest.limits, 0);
    this.#parts.leavingStatements.heard(digest.leaving, 0);
    digest.leases.forEach((lease) => this.#parts.duties.heard(lease));
  }

  #ownConfirmationAge(): number | undefined {
    const { age } = this.#parts.follower;
    return Number.isFinite(age) ? age : undefined;
  }

  /** Takes in a peer's news, and how long ago it told it, in milliseconds. */
  heard(news: PeerNews, age: number): void {
    const now = this.#parts.clock.now();
    if (news.configurationAge !== undefined) {
      this.#parts.follower.confirmedByPeer(
        news.configurationVersion,
        news.configurationAge,
      );
    }
    this.#parts.follower.othersFollowed(news.followed);
    this.#parts.directory.heardPeer(news.host, news.work, now);
    this.#parts.leavingStatements.heard(news.leaving, age);
    this.#parts.turns.heard(news.host, news, age);
    this.#parts.limits.heard(
      news.host,
      {
        incarnation: news.incarnation,
        totals: news.admitted,
        levels: news.levels,
        stopping: news.stopping,
      },
      now,
    );
    this.#parts.quarantine.heard(news.quarantine);
    this.#parts.rollouts.heard(news.rollouts, {
      life: `${news.host}/${news.incarnation}`,
      now,
    });
    this.#parts.duties.usage.heard(news.host, news.incarnation, news.counts);
    this.#parts.meter.heard(
      `${news.host}/${news.incarnation}`,
      news.readTokens,
    );
    news.dispatches.forEach(({ server, born, parts }) => {
      const record = this.#parts.directory.get(server);
      if (record === undefined || !record.isLife(born)) return;
      const engine = this.#parts.follower.routes?.service(
        record.entry.service,
      )?.engine;
      if (engine === undefined) return;
      this.#parts.prefixes.stored(server, parts, engine.memoryTokens);
    });
    if (news.lease !== undefined) {
      this.#leases.set(news.host, { lease: news.lease, at: now });
      this.#parts.duties.heard(news.lease);
    }
  }
}

interface HeardLease {
  readonly lease: LeaseNews;
  readonly at: number;
}

/** Messages whose totals are kept until a relay acknowledges them. */
const KEPT_MESSAGES = 16;

/** News of the lease is passed on for this long, in milliseconds. */
const LEASE_NEWS_MILLISECONDS = 3_000;

/** Name under which the work of the whole fleet is kept. */
const FLEET = "(fleet)";
