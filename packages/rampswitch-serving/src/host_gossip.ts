// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Gossip of a host: builds the updates that it sends to its peers, and applies
 * those that it receives.
 *
 * @module
 */
import type { Clock } from "rampswitch-utils";
import type { AdmittedTotals, WorkspaceLimits } from "./admission/mod.ts";
import type { BrittleServers } from "./brittle/mod.ts";
import {
  type LeavingUpdate,
  maximumSlowdown,
  ownSlowdowns,
  type PrefixCacheEstimate,
  receiveSlowdowns,
  type ServerDirectory,
  slowdownsByAll,
  type SlowdownUpdate,
  workWithout,
} from "./choice/mod.ts";
import type { ConfigurationFollower } from "./configuration/configuration_follower.ts";
import type { ArrivalReport, FleetArrivals } from "./demand/mod.ts";
import { type HostDuties, PeerLeases, type ServiceLoad } from "./duties/mod.ts";
import type { ReadingRates, WorkEstimates } from "./estimates/mod.ts";
import type { ServerAccess } from "./forwarding/mod.ts";
import {
  type FleetDigest,
  type FleetView,
  type HostRole,
  type OwnUpdate,
  GOSSIP_TIMING_BY_ROLE,
  type PeerUpdate,
  type WorkByServer,
} from "./membership/mod.ts";
import type { ServingMetrics } from "./observation/mod.ts";
import type { CrashQuarantine, QuarantineUpdate } from "./quarantine/mod.ts";
import type { Rollouts } from "./rollout/mod.ts";
import type {
  LimitUpdate,
  ServerPermits,
  PermitUpdate,
} from "./server_limits/mod.ts";
import type { LeavingAdvertisements } from "./advertisements/mod.ts";
import type { RecentDispatches } from "./relay/recent_dispatches.ts";
import type {
  ReservationUpdate,
  Reservations,
  RoomCounts,
  RoomReport,
} from "./room/mod.ts";
import type { LoadMeter } from "./relay/load_meter.ts";

/** Sources and targets of updates. */
export interface HostGossipParts {
  /** Name of this host. */
  readonly host: string;
  /** A monotonic clock. */
  readonly clock: Clock;
  readonly directory: ServerDirectory;
  readonly prefixes: PrefixCacheEstimate;
  readonly limits: WorkspaceLimits;
  readonly metrics: ServingMetrics;
  readonly workEstimates: WorkEstimates;
  readonly readingRates: ReadingRates;
  readonly dispatches: RecentDispatches;
  readonly meter: LoadMeter;
  readonly duties: HostDuties;
  readonly follower: ConfigurationFollower;
  readonly quarantine: CrashQuarantine;
  readonly rollouts: Rollouts;
  readonly permits: ServerPermits;
  readonly leavingAdvertisements: LeavingAdvertisements;
  readonly arrivals: FleetArrivals;
  readonly roomCounts: RoomCounts;
  readonly reservations: Reservations;
  readonly brittle: BrittleServers;
  readonly access: Pick<ServerAccess, "contacts" | "lostServers" | "peerReach">;
  /** Hosts that may issue permits for limited servers. */
  permitHolders(): readonly string[];
  /** Fleet time, the time of day on which the hosts agree, in milliseconds. */
  fleetTime(): number;
  /** Whether this host is about to end. */
  stopping(): boolean;
  /** Requests the newest configuration from a relay. */
  requestConfiguration(relay: string): void;
}

/** Builds and applies the updates of one host. */
export class HostGossip {
  readonly #parts: HostGossipParts;
  /** What this host reported, by the sequence number of the message. */
  readonly #reported = new Map<number, ReportedState>();
  readonly #leases: PeerLeases;
  /** Updates of this round, which a relay sends to each of its members. */
  #quarantineUpdates: readonly QuarantineUpdate[] = [];
  #partUpdates: readonly QuarantineUpdate[] = [];
  #leavingUpdates: readonly LeavingUpdate[] = [];
  #limitUpdates: readonly LimitUpdate[] = [];
  #slowdownUpdates: readonly SlowdownUpdate[] = [];
  #returnUpdates: readonly ReservationUpdate[] = [];
  #fleetArrivals: ArrivalReport = {};

  constructor(parts: HostGossipParts) {
    this.#parts = parts;
    this.#leases = new PeerLeases(parts.clock);
  }

  /** Load of a service over all hosts; each call adds to the load's history. */
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

  /** The update for the message to the peers with this sequence number. */
  ownUpdate(message: {
    readonly sequence: number;
    readonly role: HostRole;
  }): OwnUpdate {
    const { limits } = this.#parts;
    limits.setGossipTiming(GOSSIP_TIMING_BY_ROLE[message.role]);
    if (message.role !== "member") limits.followPeers();
    this.#parts.follower.checkRelays();
    const admitted = limits.admittedTotals();
    const work = this.#parts.directory.ownWork();
    const room = this.#parts.roomCounts.ownReport(this.#parts.clock.now());
    this.#recordReported(message.sequence, { admitted, work, room });
    this.#quarantineUpdates = this.#parts.quarantine.requests.updates();
    this.#partUpdates = this.#parts.quarantine.parts.updates();
    this.#leavingUpdates = this.#parts.leavingAdvertisements.updates({
      ownOnly: false,
    });
    this.#limitUpdates = this.#parts.permits.limitUpdates(
      this.#parts.clock.now(),
    );
    const slowdowns = this.#updateSlowdowns(message.role);
    const { reservations } = this.#parts;
    if (message.role === "relay") {
      const now = this.#parts.clock.now();
      this.#returnUpdates = reservations.relayUpdates(now);
      this.#fleetArrivals = this.#parts.arrivals.fleetReport(now);
    }
    this.#parts.duties.usage.dropOldWindows(this.#parts.fleetTime());
    // Every host maintains the history of the load, so that it can take the duties.
    this.#parts.follower.routes?.configuration.services.forEach(({ name }) =>
      this.load(name),
    );
    return {
      stopping: this.#parts.stopping(),
      configurationVersion:
        this.#parts.follower.routes?.configuration.version ?? 0,
      configurationAge: this.#ownConfirmationAge(),
      followed: this.#parts.follower.followed,
      admitted,
      levels: limits.levels(this.#parts.clock.now()),
      work,
      counts: this.#parts.duties.usage.ownCounts(this.#parts.fleetTime()),
      // In a large fleet, hosts agree on servers by hash instead of dispatches.
      dispatches:
        message.role === "direct"
          ? this.#parts.dispatches.take(this.#parts.clock.now())
          : [],
      readTokens: this.#parts.meter.ownReadTokens(),
      lease: this.#parts.duties.lease,
      quarantine: this.#quarantineUpdates,
      promptParts: this.#partUpdates,
      rollouts: this.#parts.rollouts.updates(this.#parts.clock.now()),
      ...this.#permitUpdate(message.role),
      leaving: this.#parts.leavingAdvertisements.updates({
        ownOnly: message.role !== "direct",
      }),
      slowdowns,
      arrivals: this.#parts.arrivals.ownReport(this.#parts.clock.now()),
      room,
      returns: reservations.updates(this.#parts.clock.now()),
      brittle: this.#parts.brittle.updates(),
      lostServers: this.#parts.access.lostServers.updates({ ownOnly: true }),
      outOfReach: this.#parts.access.contacts.outOfReach(),
    };
  }

  /** Returns this host's slowdowns, and prepares those that a relay passes on. */
  #updateSlowdowns(role: HostRole): readonly SlowdownUpdate[] {
    const { clock, directory, metrics, workEstimates } = this.#parts;
    const now = clock.now();
    const servers = directory.all();
    workEstimates.dropRemoved(now);
    metrics.gauge("server_slowdown_max", maximumSlowdown(servers, now));
    metrics.gauge("hold_estimate_error_ratio", workEstimates.errorRatio);
    this.#slowdownUpdates =
      role === "relay" ? slowdownsByAll(servers, now) : [];
    return ownSlowdowns(servers, now);
  }

  #permitUpdate(role: HostRole): PermitUpdate {
    const holders = this.#parts.permitHolders();
    return this.#parts.permits.updates({
      holders,
      reportsAll: role === "direct",
    });
  }

  #recordReported(sequence: number, state: ReportedState): void {
    this.#reported.set(sequence, state);
    this.#reported.delete(sequence - MAXIMUM_UNACKNOWLEDGED_MESSAGES);
  }

  /**
   * The view of all other hosts to send to a host of this data hall; `undefined`: of
   * all hosts, to send to several.
   */
  viewFor(host: string | undefined): FleetView {
    const { limits, directory, follower, clock } = this.#parts;
    const now = clock.now();
    const own = this.#parts.duties.lease;
    const received = this.#leases.recent;
    return {
      configurationVersion: follower.routes?.configuration.version ?? 0,
      configurationAge: this.#ownConfirmationAge(),
      followed: this.#parts.follower.followed,
      // Before a relay has received the others' consumption, its levels are too high.
      levels: limits.hasFleetLevels(now) ? limits.levels(now) : {},
      silentShare: limits.silentShare(now),
      work: directory.workExcept(host, now),
      leases: own === undefined ? received : [own, ...received],
      servers: follower.recentServers(),
      quarantine: this.#quarantineUpdates,
      promptParts: this.#partUpdates,
      rollouts: this.#parts.rollouts.relayUpdates(now),
      limits: this.#limitUpdates,
      leaving: this.#leavingUpdates,
      slowdowns: this.#slowdownUpdates,
      arrivals: this.#fleetArrivals,
      room: this.#parts.roomCounts.reportExcept(host, now),
      returns: this.#returnUpdates,
      brittle: this.#parts.brittle.fleetUpdates(),
      lostServers: this.#parts.access.lostServers.updates({ ownOnly: false }),
      hostsLackingReach: this.#hostsLackingReach(),
    };
  }

  #hostsLackingReach(): readonly string[] {
    const { host, access } = this.#parts;
    const { contacts, peerReach } = access;
    const peers = peerReach.hosts();
    return contacts.outOfReach().length === 0 ? peers : [host, ...peers];
  }

  /** Applies a relay's digest of the whole fleet. */
  receiveDigest(digest: FleetDigest): void {
    const { directory, limits, clock } = this.#parts;
    const now = clock.now();
    if (digest.configurationAge !== undefined) {
      this.#parts.follower.receiveRelayConfirmation(
        digest.configurationVersion,
        digest.configurationAge,
      );
    }
    this.#parts.follower.receiveServers(digest.servers);
    const { configuration } = digest.followed;
    const reachesStore = digest.servers !== undefined;
    const isBehind = this.#parts.follower.receiveRelayVersion(
      configuration,
      reachesStore,
    );
    if (isBehind) this.#parts.requestConfiguration(digest.relay);
    this.#parts.follower.receivePeerVersions(digest.followed);
    const acknowledged = this.#reported.get(digest.acknowledged);
    const work =
      digest.acknowledgedByHost === undefined
        ? digest.work
        : workWithout(digest.work, acknowledged?.work ?? {});
    directory.receivePeerWork(FLEET_SENDER, work, now);
    if (acknowledged !== undefined) {
      limits.followRelay(
        { ...digest, acknowledged: acknowledged.admitted },
        now,
      );
    }
    this.#parts.quarantine.requests.receive(digest.quarantine);
    this.#parts.quarantine.parts.receive(digest.promptParts);
    this.#parts.rollouts.received(digest.rollouts, { now });
    this.#parts.permits.receiveLimits(digest.limits, 0);
    this.#parts.leavingAdvertisements.received(digest.leaving, 0);
    const source = { from: FLEET_SENDER, relayed: true };
    receiveSlowdowns(digest.slowdowns, now, { directory, source });
    const ownRoom =
      digest.acknowledgedByHost === undefined ? undefined : acknowledged?.room;
    this.#parts.arrivals.receiveFleet(digest.arrivals, now);
    this.#parts.roomCounts.receiveFleet(digest.room, { own: ownRoom, now });
    this.#parts.reservations.receive(digest.returns, { age: 0, now });
    this.#parts.brittle.receive(digest.relay, digest.brittle, 0);
    this.#parts.access.lostServers.received(digest.lostServers, 0);
    this.#parts.access.peerReach.receiveFleet(digest.hostsLackingReach);
    digest.leases.forEach((lease) => this.#parts.duties.receiveLease(lease));
  }

  #ownConfirmationAge(): number | undefined {
    const { age } = this.#parts.follower;
    return Number.isFinite(age) ? age : undefined;
  }

  /** Applies a peer's update that was sent `age` milliseconds ago. */
  receiveUpdate(update: PeerUpdate, age: number): void {
    const now = this.#parts.clock.now();
    if (update.configurationAge !== undefined) {
      this.#parts.follower.receivePeerConfirmation(
        update.configurationVersion,
        update.configurationAge,
      );
    }
    this.#parts.follower.receivePeerVersions(update.followed);
    this.#parts.directory.receivePeerWork(update.host, update.work, now);
    this.#parts.leavingAdvertisements.received(update.leaving, age);
    receiveSlowdowns(update.slowdowns, now - age, {
      directory: this.#parts.directory,
      source: { from: update.host, relayed: false },
    });
    this.#parts.arrivals.receive(update.host, update.arrivals, now - age);
    this.#parts.roomCounts.receive(update.host, update.room, now - age);
    this.#parts.reservations.receive(update.returns, { age, now });
    this.#parts.brittle.receive(update.host, update.brittle, age);
    this.#parts.access.lostServers.received(update.lostServers, age);
    this.#parts.access.peerReach.receive(update.host, update.outOfReach, age);
    this.#parts.permits.receive(update.host, update, age);
    this.#parts.limits.receiveUpdate(
      update.host,
      {
        incarnation: update.incarnation,
        totals: update.admitted,
        levels: update.levels,
        stopping: update.stopping,
      },
      now,
    );
    this.#parts.quarantine.requests.receive(update.quarantine);
    this.#parts.quarantine.parts.receive(update.promptParts);
    this.#parts.rollouts.received(update.rollouts, {
      incarnation: `${update.host}/${update.incarnation}`,
      now,
    });
    this.#parts.duties.usage.receiveCounts(
      update.host,
      update.incarnation,
      update.counts,
    );
    this.#parts.meter.receivePeerTotals(
      `${update.host}/${update.incarnation}`,
      update.readTokens,
    );
    update.dispatches.forEach(({ server, born, parts }) => {
      const record = this.#parts.directory.get(server);
      if (record === undefined || !record.matchesIncarnation(born)) return;
      const engine = this.#parts.follower.routes?.service(
        record.entry.service,
      )?.engine;
      if (engine === undefined) return;
      this.#parts.prefixes.stored(server, parts, engine.memoryTokens);
    });
    if (update.lease !== undefined) {
      this.#leases.receive(update.host, update.lease);
      this.#parts.duties.receiveLease(update.lease);
    }
  }
}

/** What this host reported of itself in one message. */
interface ReportedState {
  readonly admitted: AdmittedTotals;
  readonly work: WorkByServer;
  readonly room: RoomReport | undefined;
}

/**
 * Messages whose reported state is stored until a relay acknowledges them: those of
 * 1.5 s with a prompt update every 50 ms. Digests acknowledge no older ones.
 */
const MAXIMUM_UNACKNOWLEDGED_MESSAGES = 32;

/** Sender's name under which the work of the whole fleet is stored. */
const FLEET_SENDER = "(fleet)";
