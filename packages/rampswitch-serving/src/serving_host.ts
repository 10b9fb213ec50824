// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * One serving host: puts the parts together and leads the process from start to
 * planned stop.
 *
 * @module
 */
import {
  CautiousClock,
  type Clock,
  type Logger,
  Ownership,
  type Random,
} from "rampswitch-utils";
import type { ObjectStore } from "rampswitch-store";
import {
  FleetAdmission,
  ResendBudget,
  WorkspaceLimits,
} from "./admission/mod.ts";
import { BackendClient } from "./attempt/mod.ts";
import {
  KnownPlaces,
  PrefixKnowledge,
  ServerDirectory,
  type ServerRecord,
} from "./choice/mod.ts";
import {
  ConfigurationFollower,
  type StoredFormats,
} from "./configuration/configuration_follower.ts";
import { HostDuties } from "./duties/mod.ts";
import { CallerServer } from "./intake/caller_server.ts";
import { serveReadiness } from "./intake/readiness_server.ts";
import type { RouteIndex } from "./intake/route_index.ts";
import { HostNews } from "./host_news.ts";
import {
  Membership,
  newsLagMilliseconds,
  PACE_BY_ROLE,
  PromptNews,
} from "./membership/mod.ts";
import type { Cloud } from "./model/cloud.ts";
import type { EngineControl } from "./model/engine_control.ts";
import type { WireCodec } from "./model/request.ts";
import type { ServingMetrics } from "./observation/mod.ts";
import { Quarantine, QuarantineStore } from "./quarantine/mod.ts";
import {
  type RolloutOrders,
  Rollouts,
  RolloutStore,
  VersionJudge,
} from "./rollout/mod.ts";
import { RecentDispatches } from "./relay/recent_dispatches.ts";
import { LeavingServers } from "./relay/leaving_servers.ts";
import { ArrivalRates } from "./relay/arrival_rates.ts";
import { HoldTimes } from "./relay/hold_times.ts";
import { LoadMeter } from "./relay/load_meter.ts";
import { ReadingRates } from "./relay/reading_rates.ts";
import type { RequestContext } from "./relay/request_context.ts";
import { untilIdle } from "./planned_stop.ts";
import { ServerTurns, TurnWaits } from "./server_limits/mod.ts";
import {
  LeavingStatements,
  RestStatements,
  StatementReader,
} from "./statements/mod.ts";
import { ServerListing } from "./server_listing.ts";
import {
  BOUNDS_FIXED_AT_START,
  exposureTerms,
  limitTolerance,
  resendTerms,
  type ServingBounds,
  type ServingSettings,
} from "./serving_settings.ts";
import { ServingLife } from "./serving_life.ts";

/** Everything outside the process that a host works with. */
export interface ServingPorts {
  readonly store: ObjectStore;
  readonly formats: StoredFormats;
  readonly codec: WireCodec;
  readonly engineControl: EngineControl;
  readonly cloud: Cloud;
  /** Prefix of host entries and key of the duties' lease in the store. */
  readonly hostsPrefix: string;
  readonly leaseKey: string;
  /** Prefix of the object with the quarantined requests in the store. */
  readonly quarantinePrefix: string;
  readonly rolloutOrders: RolloutOrders;
  readonly readinessPath: string;
  readonly metricsPath: string;
  /** A steady clock. */
  readonly clock: Clock;
  readonly wallTime: () => number;
  readonly random: Random;
  readonly logger: Logger;
  readonly metrics: ServingMetrics;
  /** Differs for each life of the process. */
  readonly incarnation: string;
}

/**
 * Share of the bound on removed keys up to which a confirmation is trusted; the
 * rest covers a pause of the process between the check and the send.
 */
const TRUSTED_SHARE = 0.8;

/** Turn of a host that knows no other one yet. */
const ONLY_HOST_TURN = { rank: 0, lagMilliseconds: 0 };

/** Time for which a stopping host still starts requests, in milliseconds. */
const STOP_INTAKE_MILLISECONDS = 2_600;

/** Time between looks whether a version is left, in milliseconds. */
const LEAVING_MILLISECONDS = 100;

/** One serving host. */
export class ServingHost implements AsyncDisposable {
  #settings: ServingSettings;
  readonly #ports: ServingPorts;
  readonly #cautiousClock: CautiousClock;
  readonly #ownership = new Ownership();
  readonly #life = new ServingLife();
  readonly #directory = new ServerDirectory();
  readonly #prefixes = new PrefixKnowledge();
  readonly #limits: WorkspaceLimits;
  readonly #admission: FleetAdmission;
  readonly #budget: ResendBudget;
  readonly #quarantine: Quarantine;
  readonly #quarantineStore: QuarantineStore;
  readonly #rollouts: Rollouts;
  readonly #rolloutStore: RolloutStore;
  #stopped: Promise<void> | undefined;
  #cancelLeaving: () => void = () => undefined;
  readonly #readingRates = new ReadingRates();
  readonly #holdTimes = new HoldTimes();
  readonly #arrivalRates: ArrivalRates;
  readonly #places = new KnownPlaces();
  readonly #turns: ServerTurns;
  readonly #restWaits = new TurnWaits();
  readonly #leavingStatements: LeavingStatements;
  readonly #statements: StatementReader;
  readonly #dispatches = new RecentDispatches();
  readonly #meter: LoadMeter;
  readonly #client: BackendClient;
  readonly #callers: CallerServer;
  readonly #leaving: LeavingServers;
  readonly #follower: ConfigurationFollower;
  readonly #news: HostNews;
  readonly #duties: HostDuties;
  #listening = { callers: "", readiness: "" };
  #membership: Membership | undefined;

  private constructor(settings: ServingSettings, ports: ServingPorts) {
    this.#settings = settings;
    this.#ports = ports;
    const { bounds } = settings;
    this.#cautiousClock = new CautiousClock(ports.clock, ports.wallTime);
    this.#limits = new WorkspaceLimits(
      limitTolerance(bounds),
      PACE_BY_ROLE.direct,
      ports,
    );
    this.#admission = new FleetAdmission({
      clock: ports.clock,
      limits: this.#limits,
      metrics: ports.metrics,
      asks: () => this.#membership?.role === "member",
      deciders: () => this.#membership?.deciders,
      ask: async (request) => this.#membership?.ask(request),
    });
    this.#budget = new ResendBudget(resendTerms(bounds), ports.clock.now());
    this.#quarantine = new Quarantine({
      ...ports,
      turn: (fingerprint) =>
        this.#membership?.turn(fingerprint) ?? ONLY_HOST_TURN,
      onStoredChange: () => this.#quarantineStore.changed(),
    });
    this.#quarantineStore = this.#ownership.own(
      new QuarantineStore({
        ...ports,
        prefix: ports.quarantinePrefix,
        quarantine: this.#quarantine,
        wallTime: () => this.#wallTime(),
      }),
    );
    this.#rollouts = new Rollouts(
      {
        ...ports,
        directory: this.#directory,
        terms: () => exposureTerms(this.#settings.bounds),
        place: (key) => ({
          rank: this.#membership?.turn(key).rank ?? 0,
          hosts: this.#membership?.size ?? 1,
        }),
        judge: () => new VersionJudge(),
        onPromoting: () => this.#leaveVersionsSoon(),
        onUnknownVersion: () => this.#rolloutStore.unknownVersion(),
      },
      ports.clock.now(),
    );
    this.#rolloutStore = this.#ownership.own(
      new RolloutStore({
        ...ports,
        rollouts: this.#rollouts,
        orders: ports.rolloutOrders,
        hearsOrders: () => this.#membership?.role === "member",
        holdsDuties: () => this.#duties.isHolder,
      }),
    );
    this.#ownership.defer(() => this.#cancelLeaving());
    const promptNews = new PromptNews(ports.clock, () =>
      this.#membership?.tell(),
    );
    this.#turns = new ServerTurns({
      ...ports,
      host: settings.host,
      cautiousClock: this.#cautiousClock,
      agreedTime: () => this.#wallTime(),
      pace: () => PACE_BY_ROLE[this.#membership?.role ?? "direct"],
      hosts: () => this.#membership?.size ?? 1,
      server: (id) => this.#directory.get(id),
      ask: async (holder, request) =>
        this.#membership?.askTurn(holder, request),
      tell: () => promptNews.came(),
    });
    this.#leavingStatements = new LeavingStatements({
      ...ports,
      directory: this.#directory,
      onNews: () => promptNews.came(),
    });
    const rests = new RestStatements({
      ...ports,
      hosts: () => this.#membership?.size ?? 1,
      holdMilliseconds: (service) => this.#holdTimes.of(service),
    });
    this.#statements = new StatementReader({
      ...ports,
      handlers: {
        limit: {
          holdsLate: false,
          take: (record, perSecond) => this.#turns.read(record, perSecond),
        },
        leaving: {
          holdsLate: true,
          take: (record, leaves) => {
            if (leaves !== undefined) this.#leavingStatements.read(record);
          },
        },
        rest: {
          holdsLate: false,
          take: (record, milliseconds) => {
            if (milliseconds !== undefined) rests.read(record, milliseconds);
          },
        },
      },
    });
    this.#arrivalRates = new ArrivalRates(ports.clock.now());
    this.#meter = new LoadMeter(ports.clock);
    this.#client = this.#ownership.own(new BackendClient());
    this.#callers = new CallerServer(this.#requestContext());
    this.#leaving = new LeavingServers(this.#callers, {
      ...ports,
      statements: this.#statements,
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
        agreedWallTime: () => this.#wallTime(),
        isTimeSettled: () => this.#membership?.isTimeSettled === true,
        rollouts: this.#rollouts,
        rolloutStore: this.#rolloutStore,
        lives: () => this.#membership?.lives ?? [],
        load: (service) => this.#news.load(service),
        holdMilliseconds: (service) => this.#holdTimes.of(service),
        limitOf: (record) => this.#turns.limitOf(record),
        idle: () => this.#meter.idle,
        routes: () =>
          this.#follower.serversListed ? this.#follower.routes : undefined,
        eligible: () => this.#membership?.mayHoldDuties === true,
      }),
    );
    const listing = new ServerListing({
      ...ports,
      directory: this.#directory,
      client: this.#client,
      prefixes: this.#prefixes,
      dispatches: this.#dispatches,
      quarantine: this.#quarantine,
      rollouts: this.#rollouts,
      turns: this.#turns,
      runs: () => this.#callers.runs,
    });
    this.#directory.onLeaving((record) => this.#serverLeaves(record));
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
          serverChanged: (server) => listing.changed(server),
          serverUnreadable: (id) => listing.unreadable(id),
          serverGone: (id) => listing.gone(id),
          isGone: (server) => this.#directory.isGone(server),
        },
      ),
    );
    this.#news = new HostNews({
      clock: ports.clock,
      directory: this.#directory,
      prefixes: this.#prefixes,
      limits: this.#limits,
      readingRates: this.#readingRates,
      dispatches: this.#dispatches,
      meter: this.#meter,
      duties: this.#duties,
      follower: this.#follower,
      quarantine: this.#quarantine,
      rollouts: this.#rollouts,
      turns: this.#turns,
      leavingStatements: this.#leavingStatements,
      turnHolders: () => this.#membership?.turnHolders ?? [],
      wallTime: () => this.#wallTime(),
      stopping: () => this.#life.state === "stopping",
      askConfiguration: (relay) => this.#membership?.askConfiguration(relay),
    });
  }

  /** Starts all parts and listens. */
  static async start(
    settings: ServingSettings,
    ports: ServingPorts,
  ): Promise<ServingHost> {
    const host = new ServingHost(settings, ports);
    await host.#open();
    return host;
  }

  /** Where the host listens, with the ports that the system chose. */
  get addresses(): { readonly callers: string; readonly readiness: string } {
    return this.#listening;
  }

  /** Takes over changed bounds; addresses and names stay as they are. */
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

  /** Ends planned: nothing in progress is cut off before the grace is over. */
  stop(): Promise<void> {
    // A second order must not end before what the first one waits for.
    this.#stopped ??= this.#stop();
    return this.#stopped;
  }

  async #stop(): Promise<void> {
    if (!this.#life.handle({ type: "stop" })) return;
    const { clock, logger } = this.#ports;
    const startedAt = clock.now();
    this.#life.stopStartedAt = startedAt;
    logger.info("stopping", { inProgress: this.#callers.inProgress });
    await this.#duties.release();
    this.#membership?.tell();
    await untilIdle(this.#callers, clock, {
      startedAt,
      graceMilliseconds: this.#settings.bounds.graceMilliseconds,
    });
    this.#callers.stopListening();
    logger.info("stopped", {
      milliseconds: Math.round(clock.now() - startedAt),
      cutOff: this.#callers.inProgress,
    });
    this.#life.handle({ type: "finished" });
  }

  /** Ends what is still in progress; each request leaves its line. */
  cutOff(): void {
    this.#callers.runs.forEach((run) => run.cutOff());
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#ownership[Symbol.asyncDispose]();
  }

  async #open(): Promise<void> {
    const { addresses } = this.#settings;
    const ports = this.#ports;
    const readiness = this.#ownership.own(
      await serveReadiness(addresses.readiness, {
        path: ports.readinessPath,
        ready: () => this.#ready(),
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
      this.#ownership.own(
        await ports.metrics.serve(addresses.metrics, ports.metricsPath),
      );
    }
    this.#membership = this.#ownership.own(await this.#openMembership());
    this.#duties.start();
    ports.logger.info("listening", { ...this.#listening });
  }

  #openMembership(): Promise<Membership> {
    return Membership.open(
      {
        ...this.#ports,
        cautiousClock: this.#cautiousClock,
        host: this.#settings.host,
        dataHall: this.#settings.dataHall,
        cores: this.#settings.cores,
        address: this.#settings.addresses.peers,
      },
      {
        ownNews: (message) => this.#news.own(message),
        stopping: () => this.#life.state === "stopping",
        viewFor: (host) => this.#news.viewFor(host),
        onNews: (news, age) => this.#news.heard(news, age),
        onDigest: (digest) => this.#news.heardDigest(digest),
        configuration: () => this.#follower.newestConfiguration(),
        onConfiguration: (changes) =>
          this.#follower.configurationByRelay(changes),
        onQuestion: (request) => this.#admission.decide(request),
        onTurnQuestion: (request) => this.#turns.give(request),
        onUnused: (request) => this.#admission.giveBack(request),
        onListed: (hosts) => {
          this.#limits.hostsListed();
          hosts.forEach((host) => {
            this.#limits.expected(host, this.#ports.clock.now());
            this.#turns.expected(host);
          });
        },
      },
    );
  }

  #requestContext(): RequestContext {
    const { clock, random, codec, engineControl, logger, metrics } =
      this.#ports;
    return {
      dataHall: this.#settings.dataHall,
      clock,
      random,
      codec,
      engineControl,
      logger,
      metrics,
      client: this.#client,
      directory: this.#directory,
      prefixes: this.#prefixes,
      readingRates: this.#readingRates,
      holdTimes: this.#holdTimes,
      arrivalRates: this.#arrivalRates,
      places: this.#places,
      admission: this.#admission,
      budget: this.#budget,
      quarantine: this.#quarantine,
      rollouts: this.#rollouts,
      turns: this.#turns,
      restWaits: this.#restWaits,
      statements: this.#statements,
      configuration: () => ({
        routes: this.#follower.routes,
        ageMilliseconds: this.#follower.age,
        keysTrusted: this.#keysTrusted(),
      }),
      hosts: () => this.#membership?.size ?? 1,
      listedHosts: () => this.#membership?.listedSize,
      drainMilliseconds: () => this.#settings.bounds.drainMilliseconds,
      newsLagMilliseconds: () =>
        newsLagMilliseconds(this.#membership?.role ?? "direct"),
      hearsDispatches: () => (this.#membership?.role ?? "direct") === "direct",
      startsRequests: () => this.#startsRequests(),
      endsConnections: () => this.#life.state === "stopping",
      began: (workspace) =>
        this.#duties.usage.began(workspace, this.#wallTime()),
      dispatched: ({ entry }, dispatch) => {
        this.#dispatches.add(entry, dispatch.parts);
        this.#meter.read(dispatch.service, dispatch.unreadTokens);
      },
    };
  }

  #startsRequests(): boolean {
    const { stopStartedAt } = this.#life;
    return (
      stopStartedAt === undefined ||
      this.#ports.clock.now() - stopStartedAt < STOP_INTAKE_MILLISECONDS
    );
  }

  #keysTrusted(): boolean {
    const { bounds } = this.#settings;
    if (this.#follower.routes === undefined) return false;
    return (
      !bounds.keysNeedConfirmation ||
      this.#follower.age < bounds.keyRemovalMilliseconds * TRUSTED_SHARE
    );
  }

  #ready(): boolean {
    return (
      this.#life.state === "serving" &&
      this.#follower.serversListed &&
      this.#keysTrusted() &&
      !this.#follower.cutOff
    );
  }

  #wallTime(): number {
    return this.#membership?.agreedWallTime() ?? this.#ports.wallTime();
  }

  #serverLeaves(record: ServerRecord): void {
    void this.#leaving.left(record);
    const { entry } = record;
    const announced = this.#directory.get(entry.id) === record;
    if (!entry.reclaimable || !announced) return;
    const left = this.#directory
      .of(entry.service)
      .filter(
        (other) =>
          other.isReady &&
          other.entry.reclaimable &&
          other.entry.dataHall === entry.dataHall,
      ).length;
    this.#duties.reclaimableLeaves(entry.service, entry.dataHall, left);
  }

  /** Moves runs away from versions that are left, and tells when that is done. */
  #leaveVersions(): void {
    const now = this.#ports.clock.now();
    this.#leaving.leave((record) => this.#rollouts.isLeft(record, now));
    const { goesOn, isNews } = this.#rollouts.leaving(now);
    if (isNews) this.#membership?.tell();
    if (goesOn) this.#leaveVersionsSoon();
  }

  #leaveVersionsSoon(): void {
    this.#cancelLeaving();
    this.#cancelLeaving = this.#ports.clock.after(LEAVING_MILLISECONDS, () =>
      this.#leaveVersions(),
    );
  }

  #configured(routes: RouteIndex): void {
    const { configuration } = routes;
    this.#limits.configure(configuration.workspaces, this.#ports.clock.now());
    this.#callers.limit(configuration.callerLimits);
    if (this.#life.handle({ type: "prepared" })) {
      this.#ports.logger.info("serving", { version: configuration.version });
    }
  }
}

function changedBounds(
  before: ServingBounds,
  after: ServingBounds,
): readonly string[] {
  const names = Object.keys(after) as (keyof ServingBounds)[];
  return names.filter((name) => before[name] !== after[name]);
}
