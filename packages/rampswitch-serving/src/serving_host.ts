// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * One serving host: connects the parts and runs the process from its start to a
 * planned stop.
 *
 * @module
 */
import {
  type Clock,
  type IntakeBudgets,
  type Logger,
  Ownership,
  type Random,
  runInBackground,
  splitAddress,
  SuspendAwareClock,
} from "rampswitch-utils";
import type { ObjectStore } from "rampswitch-store";
import {
  FleetAdmission,
  ResendBudget,
  WorkspaceLimits,
} from "./admission/mod.ts";
import type { ServerConnector } from "./attempt/mod.ts";
import { BrittleServers } from "./brittle/mod.ts";
import {
  PrefixCacheEstimate,
  ServerDirectory,
  type ServerRecord,
} from "./choice/mod.ts";
import {
  ConfigurationFollower,
  type StoredFormats,
} from "./configuration/configuration_follower.ts";
import { ReadingRates, WorkEstimates } from "./estimates/mod.ts";
import { FleetArrivals } from "./demand/mod.ts";
import { HostDuties } from "./duties/mod.ts";
import { CallerServer } from "./intake/caller_server.ts";
import { ServerAccess } from "./forwarding/mod.ts";
import { serveReadiness } from "./intake/readiness_server.ts";
import type { RouteIndex } from "./intake/route_index.ts";
import { HostGossip } from "./host_gossip.ts";
import { createQuarantine } from "./host_quarantine.ts";
import { createStreams, type HostStreams } from "./host_streams.ts";
import {
  Membership,
  gossipLagMilliseconds,
  GOSSIP_TIMING_BY_ROLE,
  PromptBroadcast,
} from "./membership/mod.ts";
import type { Cloud } from "./model/cloud.ts";
import type { EngineControl } from "./model/engine_control.ts";
import type { WireCodec } from "./model/request.ts";
import {
  LoopDelayMonitor,
  returnCounters,
  type ServingMetrics,
} from "./observation/mod.ts";
import type { CrashQuarantine } from "./quarantine/mod.ts";
import {
  type RolloutSpecAdapter,
  Rollouts,
  RolloutStore,
  VersionEvaluator,
} from "./rollout/mod.ts";
import { RecentDispatches } from "./relay/recent_dispatches.ts";
import { LeavingServers } from "./relay/leaving_servers.ts";
import { LoadMeter } from "./relay/load_meter.ts";
import { addedLoadTokens } from "./relay/prompt_load.ts";
import type { RequestContext } from "./relay/request_context.ts";
import { ServerRuns } from "./relay/server_runs.ts";
import {
  type HostWork,
  latestEndOf,
  startsRequests,
  waitUntilIdle,
} from "./planned_stop.ts";
import { ReturnTimes, RoomAdmission, WaitingRequests } from "./room/mod.ts";
import { ServerPermits, PermitWaits } from "./server_limits/mod.ts";
import { NO_STREAM_REPLIES } from "./streams/mod.ts";
import {
  LeavingAdvertisements,
  BackOffAdvertisements,
  AdvertisementReader,
} from "./advertisements/mod.ts";
import { advertisementHandlers } from "./advertisement_handlers.ts";
import { ServerListing } from "./server_listing.ts";
import {
  BOUNDS_FIXED_AT_START,
  changedBounds,
  exposureTerms,
  limitTolerance,
  resendTerms,
  type ServingSettings,
} from "./serving_settings.ts";
import { ServingLifecycle } from "./serving_lifecycle.ts";

/** Everything outside the process that a host uses. */
export interface ServingPorts {
  readonly store: ObjectStore;
  readonly formats: StoredFormats;
  readonly codec: WireCodec;
  readonly engineControl: EngineControl;
  readonly cloud: Cloud;
  /** Prefix of the keys of host entries in the store. */
  readonly hostsPrefix: string;
  /** Key of the duties' lease in the store. */
  readonly leaseKey: string;
  /** Prefix of the key of the quarantined requests in the store. */
  readonly quarantinePrefix: string;
  /** Prefix of the key of the held prompt parts in the store. */
  readonly heldPartsPrefix: string;
  /** Prefix of the keys of the versions that began streams in the store. */
  readonly streamsPrefix: string;
  readonly rolloutOrders: RolloutSpecAdapter;
  readonly readinessPath: string;
  readonly metricsPath: string;
  /** A monotonic clock. */
  readonly clock: Clock;
  readonly wallTime: () => number;
  readonly random: Random;
  readonly logger: Logger;
  readonly metrics: ServingMetrics;
  /** What the listeners may hold of what callers send. */
  readonly intake: IntakeBudgets;
  /** Differs for each incarnation of the process. */
  readonly incarnation: string;
  /** Opens connections to backend servers; TCP by default. */
  readonly serverConnector?: ServerConnector;
}

/**
 * Maximum age of a trusted confirmation, as a share of the time after which a
 * removed key must not work. The rest covers a pause of the process between the
 * check and the send.
 */
const TRUSTED_CONFIRMATION_AGE_SHARE = 0.8;

/** Position of a host before it knows any other host. */
const SINGLE_HOST_POSITION = { rank: 0, lagMilliseconds: 0 };

/** Maximum number of ports that are tried for messages between hosts. */
const MAXIMUM_PORT_TRIES = 5;

/** Time between checks of versions that are being left, in milliseconds. */
const VERSION_CHECK_INTERVAL_MILLISECONDS = 100;

/** One serving host. */
export class ServingHost implements AsyncDisposable {
  #settings: ServingSettings;
  readonly #ports: ServingPorts;
  readonly #cautiousClock: SuspendAwareClock;
  readonly #ownership = new Ownership();
  readonly #lifecycle = new ServingLifecycle();
  readonly #directory = new ServerDirectory();
  readonly #prefixes = new PrefixCacheEstimate();
  readonly #limits: WorkspaceLimits;
  readonly #admission: FleetAdmission;
  readonly #budget: ResendBudget;
  readonly #quarantine: CrashQuarantine;
  readonly #rollouts: Rollouts;
  readonly #rolloutStore: RolloutStore;
  readonly #streams: HostStreams;
  #stopping: Promise<void> | undefined;
  #cancelVersionCheck: () => void = () => undefined;
  readonly #workEstimates = new WorkEstimates();
  readonly #readingRates = new ReadingRates();
  readonly #arrivals: FleetArrivals;
  readonly #room: RoomAdmission;
  readonly #permits: ServerPermits;
  readonly #brittle: BrittleServers;
  readonly #backOffWaits = new PermitWaits();
  readonly #returns: ReturnTimes;
  readonly #waiting: WaitingRequests;
  readonly #leavingAdvertisements: LeavingAdvertisements;
  readonly #advertisements: AdvertisementReader;
  readonly #dispatches = new RecentDispatches();
  readonly #meter: LoadMeter;
  readonly #access: ServerAccess;
  readonly #callers: CallerServer;
  readonly #leavingServers: LeavingServers;
  readonly #follower: ConfigurationFollower;
  readonly #gossip: HostGossip;
  readonly #loopDelay: LoopDelayMonitor;
  readonly #duties: HostDuties;
  #listening = { callers: "", readiness: "" };
  #membership: Membership | undefined;

  private constructor(settings: ServingSettings, ports: ServingPorts) {
    this.#settings = settings;
    this.#ports = ports;
    const { bounds } = settings;
    this.#cautiousClock = new SuspendAwareClock(ports.clock, ports.wallTime);
    this.#loopDelay = this.#ownership.own(new LoopDelayMonitor(ports));
    this.#limits = new WorkspaceLimits(
      limitTolerance(bounds),
      GOSSIP_TIMING_BY_ROLE.direct,
      ports,
    );
    this.#admission = new FleetAdmission({
      clock: ports.clock,
      limits: this.#limits,
      metrics: ports.metrics,
      hasRelays: () => this.#membership?.role === "member",
      deciders: () => this.#membership?.deciders,
      queryRelay: async (request) => this.#membership?.queryLimit(request),
    });
    this.#budget = new ResendBudget(resendTerms(bounds), ports.clock.now());
    this.#returns = new ReturnTimes(
      {
        hosts: () => this.#membership?.size ?? 1,
        lagMilliseconds: () => this.#gossipLagMilliseconds(),
        draw: () => ports.random.next(),
      },
      returnCounters(ports.metrics),
    );
    this.#quarantine = createQuarantine(
      {
        ...ports,
        wallTime: () => this.#fleetTime(),
        trialRank: (key) =>
          this.#membership?.rankFor(key) ?? SINGLE_HOST_POSITION,
        wasHeardAfter: (incarnation, time) =>
          this.#access.wasHeardAfter(incarnation, time),
        directory: this.#directory,
        runs: () => this.#callers.runs,
      },
      this.#ownership,
    );
    this.#rollouts = new Rollouts(
      {
        ...ports,
        directory: this.#directory,
        terms: () => exposureTerms(this.#settings.bounds),
        fleetPosition: (key) => ({
          rank: this.#membership?.rankFor(key).rank ?? 0,
          hosts: this.#membership?.size ?? 1,
        }),
        createEvaluator: () => new VersionEvaluator(),
        onPromoting: () => this.#scheduleVersionCheck(),
        onUnknownVersion: () => this.#rolloutStore.unknownVersion(),
      },
      ports.clock.now(),
    );
    this.#rolloutStore = this.#ownership.own(
      new RolloutStore({
        ...ports,
        rollouts: this.#rollouts,
        adapter: ports.rolloutOrders,
        receivesSpecs: () => this.#membership?.role === "member",
        holdsDuties: () => this.#duties.isHolder,
      }),
    );
    this.#ownership.defer(() => this.#cancelVersionCheck());
    this.#streams = createStreams(
      {
        ...ports,
        host: settings.host,
        serverList: () => this.#follower.serverList.state,
        confirmList: () => this.#follower.serverList.confirm(),
        isStoreAway: () =>
          this.#membership?.streams.isStoreAway(this.#follower.age) === true,
        areHostsListed: () => this.#membership?.listedSize !== undefined,
        tell: (record) => this.#membership?.streams.tell(record),
        query: async (key) =>
          this.#membership?.streams.query(key) ?? NO_STREAM_REPLIES,
        holdsDuties: () => this.#duties.isHolder,
        hostCount: () => this.#membership?.listedSize,
        storeWritesPerSecond: () => this.#settings.bounds.storeWritesPerSecond,
      },
      this.#ownership,
    );
    const promptUpdates = new PromptBroadcast(ports.clock, () =>
      this.#membership?.broadcast(),
    );
    this.#permits = new ServerPermits({
      ...ports,
      host: settings.host,
      cautiousClock: this.#cautiousClock,
      fleetTime: () => this.#fleetTime(),
      gossipIntervals: () =>
        GOSSIP_TIMING_BY_ROLE[this.#membership?.role ?? "direct"],
      ownPart: (service) => this.#ownPart(service),
      server: (id) => this.#directory.get(id),
      queryHolder: async (holder, request) =>
        this.#membership?.queryPermit(holder, request),
      broadcast: () => promptUpdates.trigger(),
    });
    this.#brittle = new BrittleServers({
      ...ports,
      host: settings.host,
      hosts: () => this.#membership?.presentHosts ?? [settings.host],
      rates: (service) => this.#ratesByHost(service),
      server: (id) => this.#directory.get(id),
      broadcast: () => promptUpdates.trigger(),
    });
    this.#leavingAdvertisements = new LeavingAdvertisements({
      ...ports,
      directory: this.#directory,
      onUpdate: () => promptUpdates.trigger(),
    });
    const backOffs = new BackOffAdvertisements({
      ...ports,
      hosts: () => this.#membership?.size ?? 1,
      holdMilliseconds: (service) =>
        this.#workEstimates.meanHoldMilliseconds(service),
    });
    this.#advertisements = new AdvertisementReader({
      ...ports,
      handlers: advertisementHandlers({
        permits: this.#permits,
        leaving: this.#leavingAdvertisements,
        brittle: this.#brittle,
        backOffs,
      }),
    });
    this.#arrivals = new FleetArrivals(
      ports.clock.now(),
      () => this.#membership?.size ?? 1,
    );
    this.#room = new RoomAdmission({
      hosts: () => this.#membership?.size ?? 1,
      lagMilliseconds: () => this.#gossipLagMilliseconds(),
      meanHoldMilliseconds: (service) =>
        this.#workEstimates.meanHoldMilliseconds(service),
      draw: () => ports.random.next(),
      recordArrival: (service, now) => this.#arrivals.addArrival(service, now),
      ownPart: (service) => this.#ownPart(service),
      admittedWhileShort: (rank) => ports.metrics.roomAdmitted(rank),
      shareComputed: (share) => {
        ports.metrics.gauge("room_share", share);
        // The name of the gauge before admission by class.
        ports.metrics.gauge("share_with_places", share);
      },
    });
    this.#room.setReservations({
      dueWork: (roomClass, until) =>
        this.#returns.dueWork(roomClass, until, ports.clock.now()),
    });
    this.#waiting = new WaitingRequests(ports.clock, {
      roomOf: (request, now) => this.#room.roomOf(request, now),
      take: (request, now) =>
        this.#room.decideWaiting(request, now).kind === "admitted",
      waited: (rank) => ports.metrics.roomWaited(rank),
    });
    this.#meter = new LoadMeter(ports.clock);
    this.#access = this.#ownership.own(
      new ServerAccess({
        ...ports,
        self: {
          host: settings.host,
          ip: splitAddress(settings.addresses.peers).host,
        },
        directory: this.#directory,
        forwardingHosts: () => this.#membership?.forwardingHosts ?? [],
        isHostAddress: (ip) => this.#membership?.isHostAddress(ip) === true,
        stopping: () => this.#lifecycle.isStopping,
        broadcast: () => promptUpdates.trigger(),
        runs: new ServerRuns({
          ...ports,
          directory: this.#directory,
          advertisements: this.#advertisements,
          serviceOf: (name) => this.#follower.routes?.service(name),
        }),
        advertisements: this.#advertisements,
        streams: this.#streams.origins,
      }),
    );
    this.#callers = new CallerServer(this.#requestContext(), ports.intake);
    this.#leavingServers = new LeavingServers(this.#callers, {
      ...ports,
      advertisements: this.#advertisements,
      drainMilliseconds: bounds.drainMilliseconds,
    });
    this.#duties = this.#ownership.own(
      new HostDuties({
        ...ports,
        cautiousClock: this.#cautiousClock,
        host: settings.host,
        dataHalls: settings.dataHalls,
        usageWindowMilliseconds: bounds.usageWindowMilliseconds,
        leaseMilliseconds: bounds.leaseMilliseconds,
        directory: this.#directory,
        agreedWallTime: () => this.#fleetTime(),
        isTimeSettled: () => this.#membership?.isTimeSettled === true,
        rollouts: this.#rollouts,
        rolloutStore: this.#rolloutStore,
        peerIncarnations: () => this.#membership?.incarnations ?? [],
        load: (service) => this.#gossip.load(service),
        holdMilliseconds: (service) =>
          this.#workEstimates.meanHoldMilliseconds(service),
        limitOf: (record) => this.#permits.limitOf(record),
        isIdle: () => this.#meter.idle,
        routes: () =>
          this.#follower.serversListed ? this.#follower.routes : undefined,
        isEligible: () => this.#membership?.canHoldDuties === true,
      }),
    );
    const listing = new ServerListing({
      ...ports,
      directory: this.#directory,
      client: this.#access.client,
      prefixes: this.#prefixes,
      dispatches: this.#dispatches,
      quarantine: this.#quarantine,
      rollouts: this.#rollouts,
      permits: this.#permits,
      streams: this.#streams.origins,
      runs: () => this.#callers.runs,
    });
    this.#directory.onLeaving((record) => this.#serverLeaving(record));
    this.#follower = this.#ownership.own(
      new ConfigurationFollower(
        {
          ...ports,
          clock: this.#cautiousClock,
          isRelay: () => this.#membership?.role === "relay",
          isIdleMember: () =>
            this.#membership?.role === "member" && this.#callers.idle,
        },
        {
          configured: (routes) => this.#configured(routes),
          serverChanged: (server) => {
            const result = listing.changed(server);
            this.#waiting.examine();
            return result;
          },
          serverUnreadable: (id) => listing.unreadable(id),
          serverGone: (id) => listing.gone(id),
          serversMissed: () => this.#streams.origins.missedChanges(),
          isGone: (server) => this.#directory.isGone(server),
        },
      ),
    );
    this.#gossip = new HostGossip({
      host: settings.host,
      clock: ports.clock,
      directory: this.#directory,
      prefixes: this.#prefixes,
      limits: this.#limits,
      metrics: ports.metrics,
      workEstimates: this.#workEstimates,
      readingRates: this.#readingRates,
      dispatches: this.#dispatches,
      meter: this.#meter,
      duties: this.#duties,
      follower: this.#follower,
      quarantine: this.#quarantine,
      rollouts: this.#rollouts,
      permits: this.#permits,
      leavingAdvertisements: this.#leavingAdvertisements,
      arrivals: this.#arrivals,
      roomCounts: this.#room.counts,
      reservations: this.#returns.reservations,
      brittle: this.#brittle,
      access: this.#access,
      permitHolders: () => this.#membership?.permitHolders ?? [],
      fleetTime: () => this.#fleetTime(),
      stopping: () => this.#lifecycle.isStopping,
      requestConfiguration: (relay) =>
        this.#membership?.requestConfiguration(relay),
    });
  }

  /** Starts all parts and listens. */
  static async start(
    settings: ServingSettings,
    ports: ServingPorts,
  ): Promise<ServingHost> {
    const host = new ServingHost(settings, ports);
    await host.#openParts();
    return host;
  }

  /** Addresses on which the host listens, with the ports that the system chose. */
  get addresses(): { readonly callers: string; readonly readiness: string } {
    return this.#listening;
  }

  /** Applies changed bounds; addresses and names stay as they are. */
  reconfigure(settings: ServingSettings): void {
    const { bounds } = settings;
    const before = this.#settings.bounds;
    this.#settings = { ...this.#settings, bounds };
    this.#limits.setTolerance(limitTolerance(bounds));
    this.#budget.setTerms(resendTerms(bounds));
    this.#ports.logger.info("settings in force", {
      changed: changedBounds(before, bounds).join(","),
      atNextStart: BOUNDS_FIXED_AT_START.filter(
        (name) => before[name] !== bounds[name],
      ).join(","),
    });
  }

  /** Stops as planned: nothing is cut off before the grace period is over. */
  stop(): Promise<void> {
    // A second call must not return before the stop that is in progress ends.
    this.#stopping ??= this.#stop();
    return this.#stopping;
  }

  async #stop(): Promise<void> {
    if (!this.#lifecycle.handle({ type: "stop" })) return;
    const { clock, logger } = this.#ports;
    const startedAt = clock.now();
    const { graceMilliseconds } = this.#settings.bounds;
    const stop = { startedAt, graceMilliseconds };
    this.#lifecycle.plannedStop = stop;
    logger.info("stopping", { inProgress: this.#callers.inProgress });
    this.#waiting.stop();
    await this.#duties.release();
    this.#membership?.broadcast();
    await waitUntilIdle(this.#workInProgress(), clock, stop);
    this.#callers.runs.forEach((run) => run.endUnanswered());
    await this.#streams.archive.flush();
    this.#callers.stopListening();
    logger.info("stopped", {
      milliseconds: Math.round(clock.now() - startedAt),
      cutOff: this.#callers.inProgress,
    });
    this.#lifecycle.handle({ type: "finished" });
  }

  /** Ends all requests in progress; each of them is logged. */
  cutOff(): void {
    this.#callers.runs.forEach((run) => run.cutOff());
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#ownership[Symbol.asyncDispose]();
  }

  async #openParts(): Promise<void> {
    const { addresses } = this.#settings;
    const ports = this.#ports;
    const readiness = this.#ownership.own(
      await serveReadiness(addresses.readiness, {
        path: ports.readinessPath,
        ready: () => this.#ready(),
        budgets: ports.intake,
      }),
    );
    const callers = this.#ownership.own(
      await this.#callers.listen(addresses.callers),
    );
    this.#listening = {
      callers: callers.address,
      readiness: readiness.address,
    };
    if (addresses.metrics !== undefined) {
      this.#ownership.own(await ports.metrics.serve(addresses.metrics, ports));
    }
    await this.#openPeerPorts(MAXIMUM_PORT_TRIES);
    this.#duties.start();
    ports.logger.info("listening", { ...this.#listening });
  }

  /** Requests in progress of callers and of other hosts. */
  #workInProgress(): HostWork {
    const callers = this.#callers;
    const access = this.#access;
    return {
      get inProgress() {
        return callers.inProgress + access.forwardedInProgress;
      },
      closeIdleConnections: () => callers.closeIdleConnections(),
    };
  }

  /**
   * Opens the ports for other hosts: TCP for forwarded requests, and UDP for gossip
   * under the same number, which therefore has to be free for both.
   */
  async #openPeerPorts(tries: number): Promise<void> {
    const { peers } = this.#settings.addresses;
    const listening = await this.#access.listen(peers);
    try {
      const membership = await this.#openMembership(listening.address);
      this.#membership = this.#ownership.own(membership);
      this.#ownership.own(listening);
    } catch (error) {
      await listening[Symbol.asyncDispose]();
      // A port that the system chose for TCP may be in use for UDP.
      if (tries <= 1 || splitAddress(peers).port !== 0) throw error;
      await this.#openPeerPorts(tries - 1);
    }
  }

  #openMembership(address: string): Promise<Membership> {
    return Membership.open(
      {
        ...this.#ports,
        ...this.#settings,
        cautiousClock: this.#cautiousClock,
        address,
        holdsDuties: () => this.#duties.isHolder,
        storeWritesPerSecond: () => this.#settings.bounds.storeWritesPerSecond,
      },
      {
        ownUpdate: (message) => this.#gossip.ownUpdate(message),
        stopping: () => this.#lifecycle.isStopping,
        viewFor: (host) => this.#gossip.viewFor(host),
        onUpdate: (update, age) => this.#gossip.receiveUpdate(update, age),
        onDigest: (digest) => this.#gossip.receiveDigest(digest),
        configuration: () => this.#follower.newestConfiguration(),
        onConfiguration: (changes) =>
          this.#follower.receiveConfiguration(changes),
        onLimitQuery: (request) => this.#admission.decide(request),
        onPermitQuery: (request) => this.#permits.grant(request),
        onUnusedAdmission: (request) => this.#admission.refund(request),
        onStream: (record) => this.#streams.origins.receive(record),
        onStreamQuery: (key) => this.#streams.origins.answerTo(key),
        onListed: (hosts) => {
          this.#limits.markHostsListed();
          hosts.forEach((host) => {
            this.#limits.addExpectedPeer(host, this.#ports.clock.now());
            this.#permits.expectHost(host);
          });
        },
      },
    );
  }

  #requestContext(): RequestContext {
    return {
      ...this.#ports,
      ...this.#access.requestParts,
      dataHall: this.#settings.dataHall,
      loopDelay: this.#loopDelay,
      directory: this.#directory,
      prefixes: this.#prefixes,
      workEstimates: this.#workEstimates,
      readingRates: this.#readingRates,
      room: this.#room,
      admission: this.#admission,
      budget: this.#budget,
      quarantine: this.#quarantine,
      rollouts: this.#rollouts,
      streams: this.#streams.origins,
      permits: this.#permits,
      brittle: this.#brittle,
      backOffWaits: this.#backOffWaits,
      returns: this.#returns,
      waiting: this.#waiting,
      advertisements: this.#advertisements,
      configuration: () => ({
        routes: this.#follower.routes,
        ageMilliseconds: this.#follower.age,
        keysTrusted: this.#keysTrusted(),
      }),
      ownPart: (service) => this.#ownPart(service),
      hosts: () => this.#membership?.size ?? 1,
      listedHosts: () => this.#membership?.listedSize,
      drainMilliseconds: () => this.#settings.bounds.drainMilliseconds,
      gossipLagMilliseconds: () => this.#gossipLagMilliseconds(),
      receivesDispatches: () =>
        (this.#membership?.role ?? "direct") === "direct",
      acceptsRequests: () =>
        startsRequests(this.#lifecycle.plannedStop, this.#ports.clock.now()),
      endsAt: () => latestEndOf(this.#lifecycle.plannedStop),
      closesConnections: () => this.#lifecycle.isStopping,
      began: (workspace) =>
        this.#duties.usage.countRequest(workspace, this.#fleetTime()),
      dispatched: ({ entry }, dispatch) => {
        this.#dispatches.add(entry, dispatch.parts);
        this.#meter.read(dispatch.service, addedLoadTokens(dispatch));
      },
    };
  }

  #ratesByHost(service: string): ReadonlyMap<string, number> {
    const now = this.#ports.clock.now();
    const own = this.#arrivals.ownReport(now)[service] ?? 0;
    const peers = this.#arrivals.peerRates(service, now);
    return new Map([...peers, [this.#settings.host, own]]);
  }

  #ownPart(service: string): number {
    return this.#arrivals.ownPart(service, this.#ports.clock.now());
  }

  #gossipLagMilliseconds(): number {
    return gossipLagMilliseconds(this.#membership?.role ?? "direct");
  }

  #keysTrusted(): boolean {
    const { bounds } = this.#settings;
    if (this.#follower.routes === undefined) return false;
    return (
      !bounds.keysNeedConfirmation ||
      this.#follower.age <
        bounds.keyRemovalMilliseconds * TRUSTED_CONFIRMATION_AGE_SHARE
    );
  }

  #ready(): boolean {
    return (
      this.#lifecycle.state === "serving" &&
      this.#follower.serversListed &&
      this.#keysTrusted() &&
      !this.#follower.cutOff
    );
  }

  #fleetTime(): number {
    return this.#membership?.fleetWallTime() ?? this.#ports.wallTime();
  }

  #serverLeaving(record: ServerRecord): void {
    runInBackground("moves from a leaving server", this.#ports, () =>
      this.#leavingServers.scheduleMigration(record),
    );
    const { entry } = record;
    const announced = this.#directory.get(entry.id) === record;
    if (!entry.reclaimable || !announced) return;
    const remaining = this.#directory
      .of(entry.service)
      .filter(
        (other) =>
          other.isReady &&
          other.entry.reclaimable &&
          other.entry.dataHall === entry.dataHall,
      ).length;
    this.#duties.recordAnnouncedReclaim(
      entry.service,
      entry.dataHall,
      remaining,
    );
  }

  /** Broadcasts when the last requests at versions that are left have ended. */
  #checkPromotions(): void {
    const { isPromoting: goesOn, hasChanged: isNews } =
      this.#rollouts.promotionProgress(this.#ports.clock.now());
    if (isNews) this.#membership?.broadcast();
    if (goesOn) this.#scheduleVersionCheck();
  }

  #scheduleVersionCheck(): void {
    this.#cancelVersionCheck();
    this.#cancelVersionCheck = this.#ports.clock.after(
      VERSION_CHECK_INTERVAL_MILLISECONDS,
      () => this.#checkPromotions(),
    );
  }

  #configured(routes: RouteIndex): void {
    const { configuration } = routes;
    const now = this.#ports.clock.now();
    this.#limits.configure(configuration.workspaces, now);
    this.#workEstimates.configured(
      configuration.routes.map(({ name }) => name),
      now,
    );
    this.#callers.setLimits(configuration.callerLimits);
    this.#waiting.rankAgain();
    if (this.#lifecycle.handle({ type: "prepared" })) {
      this.#ports.logger.info("serving", { version: configuration.version });
    }
  }
}
