// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Creates and connects the parts of one entry process, without starting them.
 *
 * @module
 */
import { randomUUID } from "node:crypto";
import type {
  ConfigurationState,
  Delta,
  HostDigest,
  LeavingMark,
} from "rampswitch-configuration";
import { PeerClients, PeerTokens } from "rampswitch-peer";
import { CallAccounting, HttpObjectStore } from "rampswitch-store";
import { type Host, hostId } from "rampswitch-types";
import {
  type Clock,
  createMetrics,
  hash32,
  type IntakeBudgets,
  intakeBudgets,
  type Logger,
  machineLimits,
  type Metrics,
  Ownership,
  type Random,
  seededRandom,
  MONOTONIC_CLOCK,
} from "rampswitch-utils";
import type { Settings } from "rampswitch-validation";
import { AdmissionGate } from "./admission/admission_gate.ts";
import { AnswerCache } from "./outcome/answer_cache.ts";
import { BackendClient } from "./attempt/backend_client.ts";
import { BackendDirectory } from "./choice/backend_directory.ts";
import { ChatRunner } from "./attempt/chat_runner.ts";
import { ConfigurationService } from "./configuration/configuration_service.ts";
import { MembershipService } from "./membership/membership_service.ts";
import { slotMessageFromWire } from "./replication/peer_messages.ts";
import { httpCloud, httpHostList } from "./membership/platform_clients.ts";
import { PlainRunner } from "./attempt/plain_runner.ts";
import { type LinkListener, ReplicaLinks } from "./replication/replica_link.ts";
import { RequestReplication } from "./replication/request_replication.ts";
import { RetryDecider } from "./admission/retry_decider.ts";
import { SlotService } from "./replication/slot_service.ts";

/** What an entry process needs besides its settings. */
export interface EntryEnvironment {
  readonly clock: Clock;
  readonly logger: Logger;
}

/** Callbacks from the parts to the process. */
export interface PartsListener {
  /** Called once a higher revision is in force on this host. */
  changed(state: ConfigurationState, deltas: readonly Delta[]): void;
  /** Called with digests that were received from peers. */
  received(digests: readonly HostDigest[]): void;
  /** Called with marks of hosts that were newly found to be leaving. */
  leaving(marks: readonly LeavingMark[]): void;
  /** Called when this host has become the primary of a slot. */
  takenOver(): void;
}

/** Store calls per second of all hosts together, divided evenly among them. */
const STORE_CALLS_PER_SECOND = 1_500;
const MINIMUM_STORE_CALLS_PER_SECOND = 5;
const MAXIMUM_STORE_CALLS_PER_SECOND = 50;
const HEAD_CONFIRMATION_MILLISECONDS = 1_500;
const WATCH_PAUSE_PER_HOST_MILLISECONDS = 5;
const INCARNATION_DIGITS = 8;

/** Holds the parts of one entry process. */
export class EntryParts implements AsyncDisposable {
  readonly #owned = new Ownership();
  readonly #listener: PartsListener;
  #started = false;
  readonly settings: Settings;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly random: Random;
  readonly metrics: Metrics;
  readonly tokens: PeerTokens;
  readonly clients: PeerClients;
  /** What the listeners may hold of what callers send. */
  readonly intake: IntakeBudgets;
  readonly store: HttpObjectStore;
  readonly answerCache: AnswerCache;
  readonly links: ReplicaLinks;
  readonly configuration: ConfigurationService;
  readonly membership: MembershipService;
  readonly slots: SlotService;
  readonly replication: RequestReplication;
  /** Connections to backend servers. */
  readonly client: BackendClient;
  readonly directory: BackendDirectory;
  readonly retries: RetryDecider;
  readonly chat: ChatRunner;
  readonly plain: PlainRunner;
  readonly gate: AdmissionGate;
  /** This host; its addresses are valid once the process listens. */
  self: Host;
  /** When this host ends what is in progress; infinite unless it stops. */
  endsAt = Number.POSITIVE_INFINITY;

  constructor(
    settings: Settings,
    environment: EntryEnvironment,
    listener: PartsListener,
  ) {
    this.#listener = listener;
    this.settings = settings;
    this.clock = environment.clock;
    this.logger = environment.logger;
    this.random = seededRandom(hash32(randomUUID()));
    this.self = ownHost(settings, this.clock.now());
    this.metrics = this.#owned.own(
      createMetrics("rampswitch", settings.statistics),
    );
    this.tokens = new PeerTokens(settings.peerSecret, settings.host.name);
    this.clients = new PeerClients(this.tokens, this.clock);
    this.intake = intakeBudgets(machineLimits(settings.machine));
    this.store = this.#owned.own(this.#makeStore());
    this.answerCache = this.#makeAnswerCache();
    this.links = this.#owned.own(this.#makeLinks());
    this.configuration = this.#owned.own(this.#makeConfiguration());
    this.slots = this.#owned.own(this.#makeSlots());
    this.replication = this.#makeReplication();
    this.client = this.#owned.own(new BackendClient());
    this.directory = this.#owned.own(this.#makeDirectory());
    this.retries = new RetryDecider(this.#shared);
    this.chat = new ChatRunner({ ...this.#runnerOptions, self: this.self.id });
    this.plain = new PlainRunner(this.#runnerOptions);
    this.gate = this.#owned.own(this.#makeGate());
    this.membership = this.#owned.own(this.#makeMembership());
    this.#owned.defer(() => {
      this.chat.detach();
      this.plain.detach();
    });
  }

  /** Number of requests in progress on this host. */
  get working(): number {
    return this.chat.running + this.plain.running;
  }

  /** Starts all parts that run in the background. */
  start(): void {
    this.#started = true;
    this.configuration.start();
    this.membership.start();
    this.slots.start();
    this.directory.start();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#owned[Symbol.asyncDispose]();
  }

  get #shared() {
    const { clock, random, metrics, logger } = this;
    return {
      clock,
      random,
      metrics,
      logger,
      routing: () => this.configuration.routing,
    };
  }

  get #runnerOptions() {
    const { client, directory, replication, retries } = this;
    return { ...this.#shared, client, directory, replication, retries };
  }

  #makeStore(): HttpObjectStore {
    return new HttpObjectStore(this.settings.platform.objects, {
      accounting: new CallAccounting(this.clock, this.metrics, {
        callsPerSecond: () => this.#storeCallsPerSecond(),
      }),
    });
  }

  #makeAnswerCache(): AnswerCache {
    const { limits } = this.settings;
    return new AnswerCache(this.clock, this.metrics, {
      answerBytes: limits.answerBytes,
      answersBytes: limits.answersBytes,
      retentionMilliseconds: limits.answerRetentionMilliseconds,
    });
  }

  #makeLinks(): ReplicaLinks {
    const listener: LinkListener = {
      answered: (from, answers) =>
        answers.forEach((wire) => {
          const message = slotMessageFromWire(wire);
          if (message !== undefined) this.slots.receive(from, message);
        }),
      failed: (host) => this.membership.markUnreachable(host),
      addressOf: (host) =>
        this.membership.isGone(host)
          ? undefined
          : this.membership.find(host)?.digest.host.peerAddress,
    };
    const { clients } = this;
    return new ReplicaLinks({
      ...this.#shared,
      self: this.self.id,
      clients,
      listener,
    });
  }

  #makeConfiguration(): ConfigurationService {
    return new ConfigurationService({
      ...this.#shared,
      store: this.store,
      confirmMilliseconds: HEAD_CONFIRMATION_MILLISECONDS,
      watchPause: () => this.#watchPause(),
      listener: {
        changed: (state, deltas) => this.#listener.changed(state, deltas),
      },
    });
  }

  #makeSlots(): SlotService {
    const { limits, slots } = this.settings;
    return new SlotService({
      ...this.#shared,
      monotonicClock: MONOTONIC_CLOCK,
      self: this.self.id,
      slots: slots.count,
      times: {
        retention: limits.keyRetentionMilliseconds,
        clockSkew: limits.clockSkewMilliseconds,
      },
      store: this.store,
      links: this.links,
      watchPause: () => this.#watchPause(),
      view: () => ({
        now: this.clock.now(),
        hosts: this.membership.placementHosts,
        isGone: (host) => this.membership.isGone(host),
        reachesStore: this.configuration.reachesStore,
      }),
      listener: {
        takenOver: () => this.#listener.takenOver(),
        teaching: (slot, host) => this.replication.teach(slot, host),
      },
    });
  }

  #makeReplication(): RequestReplication {
    const { links, answerCache: book } = this;
    return new RequestReplication({
      ...this.#shared,
      self: this.self.id,
      mode: this.settings.slots.progress,
      links,
      answerCache: book,
      holders: (slot) => this.slots.holdersOf(slot),
      epochOf: (slot) => this.slots.epochOf(slot),
    });
  }

  #makeDirectory(): BackendDirectory {
    return new BackendDirectory({
      ...this.#shared,
      client: this.client,
      marks: () => this.membership.marks,
      hostNames: () => this.membership.placementHosts.map(({ name }) => name),
      selfName: this.self.name,
      onLeaving: (server) =>
        this.membership.addLeavingMarks([
          {
            host: server.host,
            source: "backend_server",
            since: this.clock.now(),
            deadline: undefined,
          },
        ]),
    });
  }

  #makeGate(): AdmissionGate {
    return new AdmissionGate({
      ...this.#shared,
      hosts: () => this.membership.trusted.length + 1,
      queueRequests: this.settings.limits.queueRequests,
      endsAt: () => this.endsAt,
    });
  }

  #makeMembership(): MembershipService {
    const { membership, peers, platform } = this.settings;
    return new MembershipService({
      ...this.#shared,
      ...membership,
      self: () => this.self,
      seeds: peers,
      store: this.store,
      hostList: httpHostList(platform.hostList),
      cloud: httpCloud(platform.cloud),
      clients: this.clients,
      ownState: () => ({
        revision: this.configuration.state.revision,
        confirmedAge:
          this.configuration.confirmedAt === undefined
            ? -1
            : this.clock.now() - this.configuration.confirmedAt,
        reachesStore: this.configuration.reachesStore,
        load: this.working + this.gate.counts.waiting,
      }),
      listener: {
        received: (digests) => this.#listener.received(digests),
        leaving: (marks) => this.#listener.leaving(marks),
        gone: (host) => this.links.forget(host),
        partners: () => this.slots.partners,
      },
    });
  }

  /** This host's share of the permitted store calls, within its bounds. */
  #storeCallsPerSecond(): number {
    const hosts = (this.#started ? this.membership.members.size : 0) + 1;
    const share = STORE_CALLS_PER_SECOND / hosts;
    return Math.min(
      MAXIMUM_STORE_CALLS_PER_SECOND,
      Math.max(MINIMUM_STORE_CALLS_PER_SECOND, share),
    );
  }

  /** Pause after each watch call in milliseconds; grows with the member count. */
  #watchPause(): number {
    return WATCH_PAUSE_PER_HOST_MILLISECONDS * this.membership.members.size;
  }
}

function ownHost(settings: Settings, now: number): Host {
  const { name, dataHall } = settings.host;
  return {
    id: hostId(name, now, randomUUID().slice(0, INCARNATION_DIGITS)),
    name,
    dataHall,
    peerAddress: settings.listen.peers,
    callerAddress: settings.listen.callers,
    startedAt: now,
  };
}
