// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * One entry process: puts its parts together, starts them, and stops them
 * without cutting off a request.
 *
 * @module
 */
import {
  type ConfigurationState,
  type Delta,
  type Freshness,
  type HostDigest,
  judgeFreshness,
  type LeavingMark,
  TAKES_NEW_WORK,
} from "rampswitch-configuration";
import { listenForPeers, PeerClients, PeerTokens } from "rampswitch-peer";
import { CallLedger, HttpObjectStore } from "rampswitch-store";
import { type Host, hostId, refused } from "rampswitch-types";
import {
  type Clock,
  createMetrics,
  hash32,
  type Listening,
  type Logger,
  type Metrics,
  Ownership,
  type Random,
  repeat,
  seededRandom,
  sleep,
} from "rampswitch-utils";
import type { Settings } from "rampswitch-validation";
import { randomUUID } from "node:crypto";
import { AdministrationServer } from "./administration_server.ts";
import { AdmissionGate } from "./admission_gate.ts";
import { AnswerBook } from "./answer_book.ts";
import { BackendClient } from "./backend_client.ts";
import { BackendDirectory } from "./backend_directory.ts";
import { CallerServer } from "./caller_server.ts";
import { ChatRunner } from "./chat_runner.ts";
import { ConfigurationService } from "./configuration_service.ts";
import { ControlService } from "./control_service.ts";
import { MembershipService } from "./membership_service.ts";
import { adoptOrphans } from "./orphan_adoption.ts";
import { announce, catchUp, peerHandlers } from "./peer_handlers.ts";
import { slotMessageFromWire } from "./peer_messages.ts";
import { httpCloud, httpHostList } from "./platform_clients.ts";
import { KeptRequests } from "./kept_requests.ts";
import { PrimaryHop } from "./primary_hop.ts";
import { PlainRunner } from "./plain_runner.ts";
import type { ProblemOutcome } from "./problem.ts";
import { ProcessLife } from "./process_machine.ts";
import { ReplicaLinks } from "./replica_link.ts";
import { RequestReplication } from "./request_replication.ts";
import { SlotService } from "./slot_service.ts";

/** What an entry process is made of besides its settings. */
export interface EntrySurroundings {
  readonly clock: Clock;
  readonly logger: Logger;
}

const STORE_CALLS_PER_SECOND = 50;
const CONFIRM_MILLISECONDS = 1_500;
const PREPARE_MILLISECONDS = 50;
const MAINTAIN_MILLISECONDS = 500;
const WATCH_PAUSE_PER_HOST_MILLISECONDS = 5;
const DRAIN_POLL_MILLISECONDS = 25;
const DRAIN_GRACE_MILLISECONDS = 1_000;
const LAST_WORDS_MILLISECONDS = 200;
const RETRY_AFTER = { retryAfterMilliseconds: 1_000 };

/** Addresses that a process listens at. */
export interface EntryAddresses {
  readonly callers: string;
  readonly peers: string;
  readonly administration: string;
}

/** A running entry process. */
export class EntryProcess implements AsyncDisposable {
  readonly #settings: Settings;
  readonly #clock: Clock;
  readonly #logger: Logger;
  readonly #random: Random;
  readonly #owned = new Ownership();
  readonly #life = new ProcessLife();
  readonly metrics: Metrics;
  #self!: Host;
  #book!: AnswerBook;
  #store!: HttpObjectStore;
  #clients!: PeerClients;
  #links!: ReplicaLinks;
  #configuration!: ConfigurationService;
  #membership!: MembershipService;
  #slots!: SlotService;
  #replication!: RequestReplication;
  #directory!: BackendDirectory;
  #chat!: ChatRunner;
  #plain!: PlainRunner;
  #gate!: AdmissionGate;
  #addresses!: EntryAddresses;

  private constructor(settings: Settings, surroundings: EntrySurroundings) {
    this.#settings = settings;
    this.#clock = surroundings.clock;
    this.#logger = surroundings.logger;
    this.#random = seededRandom(hash32(randomUUID()));
    this.metrics = this.#owned.own(
      createMetrics("rampswitch", settings.statistics),
    );
  }

  /** Starts a process; resolves once it listens. */
  static async start(
    settings: Settings,
    surroundings: EntrySurroundings,
  ): Promise<EntryProcess> {
    const entry = new EntryProcess(settings, surroundings);
    await entry.#start();
    return entry;
  }

  /** Where the process listens. */
  get addresses(): EntryAddresses {
    return this.#addresses;
  }

  /** Whether the balancer should send callers here. */
  get ready(): boolean {
    return this.#life.state === "serving" && TAKES_NEW_WORK[this.freshness];
  }

  /** Freshness of the configuration here. */
  get freshness(): Freshness {
    const now = this.#clock.now();
    const { freshnessMilliseconds, suspectMilliseconds, minorityServes } =
      this.#settings.membership;
    const members = [...this.#membership.members.values()].filter(
      ({ digest }) => !this.#membership.gone.has(digest.host.id),
    );
    const heard = members.filter(
      ({ heardAt }) => now - heardAt <= suspectMilliseconds,
    );
    return judgeFreshness(
      {
        now,
        confirmedAt: this.#configuration.confirmedAt,
        peersKnown: members.length,
        peersHeard: heard.length,
        peersReachingStore: heard.filter(({ digest }) => digest.reachesStore)
          .length,
      },
      { milliseconds: freshnessMilliseconds, minorityServes },
    );
  }

  /** Resolves once the process is ready for callers. */
  async untilReady(): Promise<void> {
    while (!this.ready && this.#life.state !== "stopped") {
      await sleep(this.#clock, PREPARE_MILLISECONDS);
    }
  }

  /**
   * Stops as planned: readiness falls, slots are handed over, running work
   * ends. Requests that come meanwhile are still served, here or elsewhere.
   */
  async stop(): Promise<void> {
    if (!this.#life.handle({ type: "stop" })) return;
    this.#logger.info("stopping");
    this.#membership.leave();
    this.#replication.flush();
    const deadline = this.#clock.now() + this.#settings.limits.stopMilliseconds;
    const quietAfter = this.#clock.now() + DRAIN_GRACE_MILLISECONDS;
    while (this.#clock.now() < deadline) {
      this.#slots.handOverAll();
      const idle = this.#working === 0 && this.#clock.now() >= quietAfter;
      const alone = this.#membership.trusted.length === 0;
      if (idle && (alone || this.#slots.heldSlots === 0)) break;
      await sleep(this.#clock, DRAIN_POLL_MILLISECONDS * 4);
    }
    this.#replication.flush();
    await sleep(this.#clock, LAST_WORDS_MILLISECONDS);
    this.#life.handle({ type: "finished" });
    this.#logger.info("stopped", { working: this.#working });
    await this[Symbol.asyncDispose]();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#owned[Symbol.asyncDispose]();
  }

  get #working(): number {
    return this.#chat.running + this.#plain.running;
  }

  async #start(): Promise<void> {
    const { clock, tokens } = { clock: this.#clock, tokens: this.#tokens() };
    this.#makeParts(tokens);
    const peers = await listenForPeers(
      this.#settings.listen.peers,
      this.#peerHandlers(),
      { tokens, clock },
    );
    this.#owned.own(peers);
    const callers = this.#owned.own(await this.#listenForCallers());
    const administration = this.#owned.own(await this.#administration());
    this.#addresses = {
      callers: callers.address,
      peers: peers.address,
      administration: administration.address,
    };
    this.#self = this.#host(this.#addresses);
    this.#membership = this.#owned.own(this.#makeMembership());
    this.#configuration.start();
    this.#membership.start();
    this.#slots.start();
    this.#directory.start();
    this.#startRounds();
    this.#owned.defer(() => {
      this.#chat.detach();
      this.#plain.detach();
    });
    this.#logger.info("listening", { ...this.#addresses });
  }

  #tokens(): PeerTokens {
    const { peerSecret, host } = this.#settings;
    return new PeerTokens(peerSecret, host.name);
  }

  #host(addresses: EntryAddresses): Host {
    const { host, advertise } = this.#settings;
    return {
      id: this.#self.id,
      name: host.name,
      dataHall: host.dataHall,
      peerAddress: advertise.peers ?? addresses.peers,
      callerAddress: advertise.callers ?? addresses.callers,
      startedAt: this.#self.startedAt,
    };
  }

  #makeParts(tokens: PeerTokens): void {
    const settings = this.#settings;
    const shared = {
      clock: this.#clock,
      random: this.#random,
      metrics: this.metrics,
      logger: this.#logger,
    };
    const { name, dataHall } = settings.host;
    this.#self = {
      id: hostId(name, randomUUID().slice(0, 8)),
      name,
      dataHall,
      peerAddress: settings.listen.peers,
      callerAddress: settings.listen.callers,
      startedAt: this.#clock.now(),
    };
    const self = this.#self.id;
    this.#store = this.#owned.own(
      new HttpObjectStore(settings.platform.objects, {
        ledger: new CallLedger(this.#clock, this.metrics, {
          callsPerSecond: STORE_CALLS_PER_SECOND,
        }),
      }),
    );
    this.#clients = new PeerClients(tokens, this.#clock);
    this.#book = new AnswerBook(this.#clock, this.metrics, {
      answerBytes: settings.limits.answerBytes,
      answersBytes: settings.limits.answersBytes,
      retentionMilliseconds: settings.limits.answerRetentionMilliseconds,
    });
    this.#links = this.#owned.own(
      new ReplicaLinks({
        ...shared,
        self,
        clients: this.#clients,
        listener: {
          answered: (from, answers) =>
            answers.forEach((wire) => {
              const message = slotMessageFromWire(wire);
              if (message !== undefined) this.#slots.receive(from, message);
            }),
          failed: (host) => this.#membership.unreachable(host),
          addressOf: (host) =>
            this.#membership.gone.has(host)
              ? undefined
              : this.#membership.find(host)?.digest.host.peerAddress,
        },
      }),
    );
    this.#configuration = this.#owned.own(
      new ConfigurationService({
        ...shared,
        store: this.#store,
        confirmMilliseconds: CONFIRM_MILLISECONDS,
        watchPause: () => this.#watchPause(),
        listener: { changed: (state, deltas) => this.#changed(state, deltas) },
      }),
    );
    this.#slots = this.#owned.own(
      new SlotService({
        ...shared,
        self,
        slots: settings.slots.count,
        times: {
          retention: settings.limits.keyRetentionMilliseconds,
          clockSkew: settings.limits.clockSkewMilliseconds,
        },
        store: this.#store,
        links: this.#links,
        watchPause: () => this.#watchPause(),
        view: () => ({
          now: this.#clock.now(),
          hosts: this.#membership.placementHosts,
          gone: this.#membership.gone,
          reachesStore: this.#configuration.reachesStore,
        }),
        listener: {
          takenOver: () => this.#adopt(),
          teaching: (slot, host) => this.#replication.teach(slot, host),
        },
      }),
    );
    this.#replication = new RequestReplication({
      ...shared,
      self,
      mode: settings.slots.progress,
      links: this.#links,
      book: this.#book,
      holders: (slot) => this.#slots.holdersOf(slot),
      epochOf: (slot) => this.#slots.epochOf(slot),
    });
    this.#makeRunners();
  }

  #makeRunners(): void {
    const shared = {
      clock: this.#clock,
      random: this.#random,
      metrics: this.metrics,
      logger: this.#logger,
      routing: () => this.#configuration.routing,
    };
    const client = this.#owned.own(new BackendClient());
    this.#directory = this.#owned.own(
      new BackendDirectory({
        ...shared,
        client,
        marks: () => this.#membership.marks,
        hostNames: () =>
          this.#membership.placementHosts.map(({ name }) => name),
        selfName: this.#self.name,
        onLeaving: (server) =>
          this.#membership.mark([
            {
              host: server.host,
              source: "backend_server",
              since: this.#clock.now(),
              deadline: undefined,
            },
          ]),
      }),
    );
    const parts = {
      ...shared,
      client,
      directory: this.#directory,
      replication: this.#replication,
    };
    this.#chat = new ChatRunner({ ...parts, self: this.#self.id });
    this.#plain = new PlainRunner(parts);
    this.#gate = this.#owned.own(
      new AdmissionGate({
        ...shared,
        hosts: () => this.#membership.trusted.length + 1,
        queueRequests: this.#settings.limits.queueRequests,
      }),
    );
  }

  #makeMembership(): MembershipService {
    const { membership, peers, platform } = this.#settings;
    return new MembershipService({
      self: this.#self,
      seeds: peers,
      store: this.#store,
      hostList: httpHostList(platform.hostList),
      cloud: httpCloud(platform.cloud),
      clients: this.#clients,
      clock: this.#clock,
      random: this.#random,
      metrics: this.metrics,
      logger: this.#logger,
      heartbeatMilliseconds: membership.heartbeatMilliseconds,
      heartbeatPeers: membership.heartbeatPeers,
      suspectMilliseconds: membership.suspectMilliseconds,
      ownState: () => ({
        revision: this.#configuration.state.revision,
        confirmedAge:
          this.#configuration.confirmedAt === undefined
            ? -1
            : this.#clock.now() - this.#configuration.confirmedAt,
        reachesStore: this.#configuration.reachesStore,
        load: this.#working,
      }),
      listener: {
        heard: (digests) => this.#heard(digests),
        leaving: (news) => this.#leavingNews(news),
        gone: (host) => this.#links.forget(host),
        partners: () => this.#slots.partners,
      },
    });
  }

  #peerHandlers(): ReturnType<typeof peerHandlers> {
    const parts = () => ({
      self: this.#self.id,
      configuration: this.#configuration,
      membership: this.#membership,
      slots: this.#slots,
      replication: this.#replication,
      clients: this.#clients,
      metrics: this.metrics,
    });
    return {
      heartbeat: (...given) => peerHandlers(parts()).heartbeat(...given),
      replicate: (...given) => peerHandlers(parts()).replicate(...given),
      announce: (...given) => peerHandlers(parts()).announce(...given),
      fetchConfiguration: (...given) =>
        peerHandlers(parts()).fetchConfiguration(...given),
    };
  }

  #listenForCallers(): Promise<Listening> {
    const { limits, listen } = this.#settings;
    const shared = {
      clock: this.#clock,
      metrics: this.metrics,
      routing: () => this.#configuration.routing,
      bodyBytes: limits.bodyBytes,
      gate: this.#gate,
      chat: this.#chat,
    };
    const hop = new PrimaryHop({
      ...shared,
      self: this.#self.id,
      slots: this.#slots,
      client: this.#owned.own(new BackendClient()),
      callerAddressOf: (host) =>
        this.#membership.find(host)?.digest.host.callerAddress,
      idleMilliseconds: limits.stopMilliseconds,
    });
    const kept = new KeptRequests({
      ...shared,
      self: this.#self.id,
      random: this.#random,
      book: this.#book,
      slots: this.#slots,
      hop,
      replication: this.#replication,
      trusts: (host) => this.#membership.trusts(host),
    });
    return new CallerServer({
      ...shared,
      kept,
      plain: this.#plain,
      directory: this.#directory,
      limits,
      logger: this.#logger,
      refusal: () => this.#refusal(),
      ready: () => this.ready,
    }).listen(listen.callers);
  }

  #administration(): Promise<Listening> {
    return new AdministrationServer({
      self: () => this.#self,
      operators: this.#settings.operators,
      clock: this.#clock,
      metrics: this.metrics,
      configuration: this.#configuration,
      membership: () => this.#membership,
      slots: this.#slots,
      directory: this.#directory,
      book: this.#book,
      state: () => this.#life.state,
      freshness: () => this.freshness,
    }).listen(this.#settings.listen.administration);
  }

  #startRounds(): void {
    const { capacity } = this.#settings;
    void this.#prepare();
    this.#owned.own(
      repeat(
        this.#clock,
        () => MAINTAIN_MILLISECONDS * (0.5 + this.#random.next()),
        async () => {
          await this.#slots.maintain();
          this.#adopt();
          this.#book.expire();
          this.#showGauges();
        },
      ),
    );
    this.#owned
      .own(
        new ControlService({
          self: this.#self,
          store: this.#store,
          clock: this.#clock,
          random: this.#random,
          metrics: this.metrics,
          logger: this.#logger,
          configuration: this.#configuration,
          membership: this.#membership,
          directory: this.#directory,
          cloud: httpCloud(this.#settings.platform.cloud),
          clockSkewMilliseconds: this.#settings.limits.clockSkewMilliseconds,
          startsHosts: capacity.enabled,
        }),
      )
      .start();
  }

  /** Begins to serve once the configuration and the slot table are known. */
  async #prepare(): Promise<void> {
    while (this.freshness === "never" || !this.#slots.ready) {
      if (this.#life.state !== "starting") return;
      await sleep(this.#clock, PREPARE_MILLISECONDS);
    }
    if (!this.#life.handle({ type: "prepared" })) return;
    this.#logger.info("ready", {
      revision: this.#configuration.state.revision,
    });
  }

  #showGauges(): void {
    const { slots, metrics } = { slots: this.#slots, metrics: this.metrics };
    metrics.gauge("slots_primary", slots.heldSlots);
    metrics.gauge("slots_without_backup", slots.slotsWithoutBackup);
    metrics.gauge("members_trusted", this.#membership.trusted.length);
    metrics.gauge("answers_bytes", this.#book.size.bytes);
  }

  #refusal(): ProblemOutcome | undefined {
    const state = this.#life.state;
    if (state === "starting") {
      return refused("not_ready", "the host is starting", RETRY_AFTER);
    }
    if (state === "stopped") {
      return refused("stopping", "the host is stopping", RETRY_AFTER);
    }
    return TAKES_NEW_WORK[this.freshness]
      ? undefined
      : refused(
          "configuration_stale",
          "the configuration may have changed elsewhere",
          RETRY_AFTER,
        );
  }

  #watchPause(): number {
    return WATCH_PAUSE_PER_HOST_MILLISECONDS * this.#membership.members.size;
  }

  #adopt(): void {
    adoptOrphans({
      self: this.#self.id,
      book: this.#book,
      slots: this.#slots,
      chat: this.#chat,
      metrics: this.metrics,
      routing: () => this.#configuration.routing,
      trusts: (host) => this.#membership.trusts(host),
    });
  }

  #changed(state: ConfigurationState, deltas: readonly Delta[]): void {
    const routing = this.#configuration.routing;
    const names = new Set(routing.candidates.keys());
    this.#directory.keepOnly(names);
    this.#logger.info("configuration in force", { revision: state.revision });
    void this.#announce(deltas, []);
  }

  #leavingNews(news: readonly LeavingMark[]): void {
    this.#chat.leaving(news);
    void this.#announce([], news);
    const own = news.some(({ host }) => host === this.#self.name);
    if (own) void this.stop();
  }

  #announce(
    deltas: readonly Delta[],
    leaving: readonly LeavingMark[],
  ): Promise<void> {
    const { confirmedAge, revision } = this.#configuration.forPeer(
      this.#configuration.state.revision,
    );
    return announce(
      {
        self: this.#self.id,
        clients: this.#clients,
        membership: this.#membership,
        metrics: this.metrics,
      },
      {
        configuration: { revision, deltas, stateParts: [], confirmedAge },
        leaving,
      },
    );
  }

  #heard(digests: readonly HostDigest[]): void {
    const own = this.#configuration.state.revision;
    digests.forEach(({ revision, confirmedAge }) =>
      this.#configuration.confirmedByPeer(revision, confirmedAge),
    );
    const ahead = digests.toSorted(
      (left, right) => right.revision - left.revision,
    )[0];
    if (ahead !== undefined && ahead.revision > own) {
      void catchUp(
        { clients: this.#clients, configuration: this.#configuration },
        ahead.host.peerAddress,
      );
    }
  }
}
