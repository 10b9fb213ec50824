// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Membership of the fleet: hosts are discovered through the store, and then exchange
 * updates by gossip, in large fleets through relays. Also estimates fleet time.
 *
 * @module
 */
import {
  type Clock,
  failureReporter,
  jitter,
  type Logger,
  Ownership,
  type Random,
  rendezvousOrder,
  repeat,
  type ReportFailure,
} from "rampswitch-utils";
import type { ChangeBatch, ObjectStore } from "rampswitch-store";
import type { LimitDecision, LimitRequest } from "../admission/mod.ts";
import { PEER_WORK_LIFETIME_MILLISECONDS } from "../choice/mod.ts";
import type { ServingMetrics } from "../observation/mod.ts";
import type { TrialRank } from "../quarantine/mod.ts";
import type { PermitReply, PermitRequest } from "../server_limits/mod.ts";
import type { HostReply, StreamKey, StreamRecord } from "../streams/mod.ts";
import {
  FleetHosts,
  type HostRole,
  type KnownHost,
  GOSSIP_TIMING_BY_ROLE,
} from "./fleet_hosts.ts";
import { FleetTime } from "./fleet_time.ts";
import { ForwardedUpdates, messagesOf } from "./forwarded_updates.ts";
import { PendingQueries } from "./pending_queries.ts";
import { HostRegistry } from "./host_registry.ts";
import { LimitQueries } from "./limit_queries.ts";
import { decodeMessage, encodeMessage } from "./peer_codec.ts";
import type {
  AgedUpdate,
  FleetDigest,
  FleetView,
  LimitQuery,
  PeerMessage,
  PeerUpdate,
  PermitQuery,
} from "./peer_messages.ts";
import { openPeerTransport, type PeerTransport } from "./peer_transport.ts";
import { StreamExchange } from "./stream_exchange.ts";
import type { IsAppliedUpdate } from "./update_codec.ts";

/** Time without a round of gossip, in intervals, that indicates a paused process. */
const PAUSE_INTERVALS = 2.4;

/**
 * Time after a pause in which messages from before it may still be read, in
 * milliseconds: a few event-loop iterations.
 */
const RESUMED_MILLISECONDS = 200;

/**
 * Timeout of an answer to a permit query, in milliseconds: a round trip between two
 * regions and a few iterations of a busy event loop; below the shortest latency
 * targets of requests.
 */
const PERMIT_ANSWER_TIMEOUT_MILLISECONDS = 120;

/** Maximum size of a message, in bytes; the limit of UDP is 65,507. */
const MAXIMUM_DATAGRAM_BYTES = 60_000;

/** Sequence number of no update. */
const UNACKNOWLEDGED = -1;

/** Dependencies and settings of membership. */
export interface MembershipParts {
  readonly host: string;
  readonly dataHall: string;
  /** Processor share of this host, in cores. */
  readonly cores: number;
  readonly incarnation: string;
  /** Address that messages between hosts are received at. */
  readonly address: string;
  readonly store: ObjectStore;
  /** Prefix of the store keys of hosts. */
  readonly hostsPrefix: string;
  /** A monotonic clock. */
  readonly clock: Clock;
  /** A clock that also includes the time of suspensions. */
  readonly cautiousClock: Clock;
  /** Time of day of this host; it may jump. */
  readonly wallTime: () => number;
  readonly random: Random;
  readonly logger: Logger;
  readonly metrics: ServingMetrics;
  /** Whether this host holds the duties, and so removes entries of gone hosts. */
  holdsDuties(): boolean;
  /** Writes that the store takes from all hosts together, by second. */
  storeWritesPerSecond(): number;
}

/** The part of this host's update that its owner provides; membership adds the rest. */
export type OwnUpdate = Omit<
  PeerUpdate,
  | "host"
  | "dataHall"
  | "cores"
  | "incarnation"
  | "sequence"
  | "address"
  | "wallTime"
  | "timeEstimate"
>;

/** Callbacks of membership to its owner. */
export interface MembershipListener {
  /** Returns this host's update for the message with this sequence number. */
  ownUpdate(message: {
    readonly sequence: number;
    readonly role: HostRole;
  }): OwnUpdate;
  /** Whether this host is stopping. */
  stopping(): boolean;
  /**
   * Returns the state of all other hosts, for a digest to this host; `undefined`: of
   * all hosts, for a digest to several.
   */
  viewFor(host: string | undefined): FleetView;
  /** Handles an update of a host, which is `age` milliseconds old. */
  onUpdate(update: PeerUpdate, age: number): void;
  /** Handles a relay's digest of the fleet. */
  onDigest(digest: FleetDigest): void;
  /** Handles a read of the store's list; `hosts` are those that are new in it. */
  onListed(hosts: readonly string[]): void;
  /** Returns the newest configuration that this host read from the store. */
  configuration(): ChangeBatch | undefined;
  /** Handles the newest configuration, which a relay forwarded. */
  onConfiguration(changes: ChangeBatch): void;
  /** Decides, as a relay, whether a request fits into a limit. */
  onLimitQuery(request: LimitRequest): LimitDecision;
  /** Handles the query of a host for a permit at a limited server. */
  onPermitQuery(request: PermitRequest): PermitReply;
  /** Handles the version of a stream that another host serves. */
  onStream(record: StreamRecord): void;
  /** Replies to another host's query for the version of a stream. */
  onStreamQuery(key: StreamKey): HostReply;
  /** Handles an admission by a relay that arrived too late to be used. */
  onUnusedAdmission(request: LimitRequest): void;
}

/** Hosts whose updates a host gathers, and those that it sends them to. */
interface Gathering {
  readonly senders: readonly KnownHost[];
  readonly recipients: readonly KnownHost[];
  readonly now: number;
}

/** This host as a member of the fleet. */
export class Membership implements AsyncDisposable {
  readonly #parts: MembershipParts;
  readonly #listener: MembershipListener;
  readonly #hosts: FleetHosts;
  readonly #transport: PeerTransport;
  readonly #ownership = new Ownership();
  readonly #reportFailure: ReportFailure;
  readonly #limitQueries: LimitQueries;
  readonly #permitQueries: PendingQueries<PermitRequest, PermitReply>;
  /** Exchanges the versions that began streams. */
  readonly streams: StreamExchange;
  readonly #registry: HostRegistry;
  readonly #time: FleetTime;
  readonly #forwarded = new ForwardedUpdates();
  #round = 0;
  #role: HostRole = "direct";
  /** When this host last started a round of gossip, on the cautious clock. */
  #lastRound = 0;
  /** When this process last resumed after a pause, on the cautious clock. */
  #resumedAt = -Infinity;

  private constructor(
    parts: MembershipParts,
    transport: PeerTransport,
    listener: MembershipListener,
  ) {
    const { clock, random, host, dataHall, cores } = parts;
    this.#parts = parts;
    this.#transport = this.#ownership.own(transport);
    this.#listener = listener;
    this.#hosts = new FleetHosts({ name: host, dataHall, cores });
    this.#time = new FleetTime(parts.wallTime, clock.now());
    this.#reportFailure = failureReporter(parts);
    this.#limitQueries = new LimitQueries(clock, (request) =>
      listener.onUnusedAdmission(request),
    );
    this.#permitQueries = new PendingQueries(clock, {
      answerTimeoutMilliseconds: PERMIT_ANSWER_TIMEOUT_MILLISECONDS,
      // A permit that arrives too late is lost.
      onLate: ({ service }, { kind }) => {
        parts.metrics.event(`turn_late_${kind}`);
        parts.logger.debug("answer on a turn came late", { service, kind });
      },
    });
    this.streams = new StreamExchange({
      clock,
      address: transport.address,
      hosts: () => this.#presentPeers(),
      mayAnswer: (host) => this.#hosts.mayAnswer(host, clock.now()),
      fleet: () => this.#hosts.view(clock.now()),
      send: (addresses, message) => {
        const datagram = encodeMessage(message);
        addresses.forEach((address) => transport.send(address, datagram));
      },
      onStream: (record) => listener.onStream(record),
      answerTo: (key) => listener.onStreamQuery(key),
    });
    // A host that finds others in its first list sends them an update at once, so that
    // relays refuse no requests because members are silent after all hosts have ended.
    this.#registry = this.#ownership.own(
      new HostRegistry(
        { name: host, dataHall, cores, address: transport.address },
        parts,
        {
          isGone: (name) => this.#hosts.isGone(name),
          onListed: (listed) => {
            const unknown = this.#hosts.addListed(listed, clock.now());
            listener.onListed(unknown);
            if (this.#round === 0 && unknown.length > 0) this.broadcast();
          },
        },
      ),
    );
    this.#ownership.own(
      repeat(
        clock,
        () => jitter(random, GOSSIP_TIMING_BY_ROLE[this.#role].interval),
        {
          name: "gossip",
          reportFailure: this.#reportFailure,
          run: () => {
            this.broadcast();
            return Promise.resolve();
          },
        },
      ),
    );
  }

  /** Opens the socket and starts gossip. */
  static async open(
    parts: MembershipParts,
    listener: MembershipListener,
  ): Promise<Membership> {
    const opened: { membership?: Membership } = {};
    const transport = await openPeerTransport(
      parts.address,
      (datagram) => opened.membership?.receive(datagram),
      (error) => {
        parts.metrics.event("peer_send_failed");
        parts.logger.debug("peer socket", { detail: error.message });
      },
    );
    const membership = new Membership(parts, transport, listener);
    opened.membership = membership;
    return membership;
  }

  /** Number of hosts that may be serving: not silent or just listed, and this one. */
  get size(): number {
    return this.#hosts.size(this.#parts.clock.now());
  }

  /**
   * The same, but at least the number of hosts in the newest list, silent or not;
   * `undefined` before a list was read.
   */
  get listedSize(): number | undefined {
    return this.#registry.settled
      ? Math.max(this.size, this.#hosts.listedCount)
      : undefined;
  }

  /**
   * Whether this host receives enough updates from others to hold duties. Before the list
   * of hosts was read, each host of a large fleet acts as in a small one.
   */
  get canHoldDuties(): boolean {
    return this.#registry.settled && this.#role !== "member";
  }

  /** Role of this host in gossip. */
  get role(): HostRole {
    return this.#role;
  }

  /**
   * Number of hosts that decide on limits for others: one relay of each data hall.
   * `undefined` if this host is no relay.
   */
  get deciders(): number | undefined {
    return this.#role === "relay" ? this.#hosts.dataHalls : undefined;
  }

  /**
   * Queries the first relay of this data hall whether a request fits into a limit.
   * Resolves to `undefined` if there is no relay or it does not answer in time.
   */
  async queryLimit(request: LimitRequest): Promise<LimitDecision | undefined> {
    const relay = this.#hosts.decider(this.#parts.clock.now());
    if (relay === undefined) return undefined;
    return this.#limitQueries.query(request, (id) => {
      const query = { ...request, id, address: this.#transport.address };
      const datagram = encodeMessage({ kind: "limit_query", query });
      this.#transport.send(relay.address, datagram);
    });
  }

  /** Names of the hosts that may grant permits for limited servers. */
  get permitHolders(): readonly string[] {
    return this.#permitHolders(this.#parts.clock.now());
  }

  /**
   * Queries a host for a permit at a limited server. Resolves to `undefined` if the
   * host is unknown or does not answer in time.
   */
  async queryPermit(
    holder: string,
    request: PermitRequest,
  ): Promise<PermitReply | undefined> {
    const known = this.#hosts.get(holder);
    if (known === undefined) return undefined;
    return this.#permitQueries.query(request, (id) => {
      const query = { ...request, id, address: this.#transport.address };
      const datagram = encodeMessage({ kind: "permit_query", query });
      this.#transport.send(known.address, datagram);
    });
  }

  /** Names of all present hosts, this one included. */
  get presentHosts(): readonly string[] {
    return this.#hosts.present(this.#parts.clock.now());
  }

  #presentPeers(): readonly KnownHost[] {
    return this.presentHosts.flatMap((name) => this.#hosts.get(name) ?? []);
  }

  /** Other hosts that may forward requests. */
  get forwardingHosts(): readonly KnownHost[] {
    return this.#hosts.forwardingHosts(this.#parts.clock.now());
  }

  /** Whether an IP address belongs to a known host. */
  isHostAddress(ip: string): boolean {
    return this.#hosts.isHostAddress(ip);
  }

  /** Rank of this host among all present hosts, in an order derived from a key. */
  rankFor(key: string): TrialRank {
    const order = rendezvousOrder(key, this.presentHosts);
    return {
      rank: order.indexOf(this.#parts.host),
      // Longer than the usual lag, so that two messages may be lost: if two hosts try
      // the same request, two servers may end.
      lagMilliseconds: GOSSIP_TIMING_BY_ROLE[this.#role].silence,
    };
  }

  /** The other present hosts, each as `name/incarnation`. */
  get incarnations(): readonly string[] {
    return this.presentHosts
      .filter((name) => name !== this.#parts.host)
      .map((name) => `${name}/${this.#hosts.get(name)?.incarnation ?? ""}`);
  }

  /** Requests the newest configuration from a relay. */
  requestConfiguration(relay: string): void {
    const known = this.#hosts.get(relay);
    if (known === undefined) return;
    const query = { address: this.#transport.address };
    const datagram = encodeMessage({
      kind: "configuration_query",
      query,
    });
    this.#transport.send(known.address, datagram);
  }

  /**
   * Fleet time, in milliseconds. A step of one clock does not change it, nor does a
   * step of most clocks for a few seconds.
   */
  fleetWallTime(): number {
    return this.#time.at(this.#parts.clock.now());
  }

  /** Whether enough hosts sent their estimates to rely on fleet time. */
  get isTimeSettled(): boolean {
    const now = this.#parts.clock.now();
    return this.#time.isSettled(this.listedSize ?? this.size, now);
  }

  /** Runs a round of gossip: sends updates and digests as the role requires. */
  broadcast(): void {
    const now = this.#parts.clock.now();
    if (this.#isPaused()) this.#resumedAt = this.#parts.cautiousClock.now();
    this.#lastRound = this.#parts.cautiousClock.now();
    this.#round += 1;
    this.#changeRole(this.#hosts.role(now));
    this.#time.sample(this.#hosts.clockOffsets(now), now);
    if (this.#hosts.all().length === 0) return;
    const own = { update: this.#ownUpdate(), age: 0 };
    this.#sendByRole[this.#role](own, now);
    this.#sendDigests(now);
  }

  readonly #sendByRole: Readonly<
    Record<HostRole, (own: AgedUpdate, now: number) => void>
  > = {
    // Members that have read an older list than this host send it their updates alone.
    direct: (own, now) => {
      const senders = this.#hosts.digestRequesters(now);
      const recipients = this.#hosts.all();
      this.#sendGathered(own, { senders, recipients, now });
    },
    member: (own, now) =>
      this.#sendUpdates([own], this.#hosts.relaysToUpdate(now, this.#round)),
    relay: (own, now) => {
      // They include updates of other relays, for relays that receive nothing from
      // each other directly.
      const senders = this.#hosts.directSenders(now);
      const recipients = this.#hosts.otherRelays(now, this.#round);
      this.#sendGathered(own, { senders, recipients, now });
      this.#sendUpdates([own], this.#hosts.silentHostInTurn(now, this.#round));
    },
  };

  readonly #isApplied: IsAppliedUpdate = (host, incarnation, sequence) =>
    this.#hosts.hasApplied(host, incarnation, sequence);

  /** Handles a datagram. */
  receive(datagram: Buffer): void {
    this.#parts.metrics.input("message of a peer");
    const decoded = decodeMessage(datagram, this.#isApplied);
    if (decoded.isErr) {
      this.#parts.metrics.event("peer_news_malformed");
      this.#parts.logger.debug("peer news can't be read", {
        detail: decoded.error,
      });
      return;
    }
    const message = decoded.value;
    const handle = this.#handlers[message.kind] as (
      message: PeerMessage,
    ) => void;
    // A defect that one message meets must not end the process.
    try {
      handle(message);
    } catch (error) {
      this.#reportFailure(`message of a peer: ${message.kind}`, error);
    }
  }

  readonly #handlers: {
    readonly [Kind in PeerMessage["kind"]]: (
      message: Extract<PeerMessage, { readonly kind: Kind }>,
    ) => void;
  } = {
    updates: (message) => this.#receiveUpdates(message),
    digest: ({ digest }) => this.#receiveDigest(digest),
    limit_query: ({ query }) => this.#answerLimitQuery(query),
    limit_answer: ({ answer }) => this.#limitQueries.receiveAnswer(answer),
    permit_query: ({ query }) => this.#answerPermitQuery(query),
    permit_answer: ({ answer: { id, reply } }) =>
      this.#permitQueries.receiveReply(id, reply),
    stream_begun: ({ record }) => this.streams.receive(record),
    stream_query: ({ query }) => this.streams.answer(query),
    stream_answer: ({ answer }) => this.streams.receiveAnswer(answer),
    configuration_query: ({ query }) =>
      this.#forwardConfiguration(query.address),
    configuration: ({ changes }) => this.#listener.onConfiguration(changes),
  };

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#ownership[Symbol.asyncDispose]();
  }

  #permitHolders(now: number): readonly string[] {
    return this.#hosts.permitHolders(now, {
      stopping: this.#listener.stopping(),
    });
  }

  #changeRole(role: HostRole): void {
    if (role === this.#role) return;
    this.#parts.logger.info("news role", {
      role,
      before: this.#role,
      hosts: this.size,
    });
    this.#role = role;
  }

  #ownUpdate(): PeerUpdate {
    const { host, dataHall, cores, incarnation, wallTime, clock } = this.#parts;
    const sequence = this.#round;
    return {
      ...this.#listener.ownUpdate({ sequence, role: this.#role }),
      host,
      dataHall,
      cores,
      incarnation,
      sequence,
      address: this.#transport.address,
      wallTime: wallTime(),
      timeEstimate: this.#time.ownEstimate(clock.now()),
    };
  }

  #sendUpdates(
    updates: readonly AgedUpdate[],
    hosts: readonly KnownHost[],
  ): void {
    if (hosts.length === 0) return;
    const datagram = encodeMessage({
      kind: "updates",
      from: this.#parts.host,
      wantsDigest: this.#role === "member",
      readsSharedDigest: this.#role === "member",
      updates,
    });
    hosts.forEach(({ address }) => this.#transport.send(address, datagram));
  }

  /** Sends this host's update, and new ones of other senders. */
  #sendGathered(
    own: AgedUpdate,
    { senders, recipients, now }: Gathering,
  ): void {
    const gathered = this.#forwarded.take(senders, now);
    messagesOf(own, gathered).forEach((updates) =>
      this.#sendUpdates(updates, recipients),
    );
  }

  #sendDigests(now: number): void {
    const requesters = this.#hosts.digestRequesters(now);
    if (requesters.length === 0) return;
    const time = this.#time.fleetEstimate(now);
    const common = {
      relay: this.#parts.host,
      hosts: this.#hosts.size(now),
      relays: this.#hosts.ownRelays(now),
      permitHolders: this.#permitHolders(now),
      wallTime: time.wallTime,
      timeSamples: time.samples,
    };
    const sharing = requesters.filter((host) => readsSharedDigest(host, now));
    if (sharing.length > 0) {
      const digest = {
        ...this.#listener.viewFor(undefined),
        ...common,
        acknowledged: UNACKNOWLEDGED,
        acknowledgedByHost: Object.fromEntries(
          sharing.map(({ name, sequence }) => [name, sequence]),
        ),
      };
      const datagram = encodeMessage({ kind: "digest", digest });
      sharing.forEach(({ address }) => this.#transport.send(address, datagram));
    }
    requesters
      .filter((host) => !sharing.includes(host))
      .forEach((host) => {
        const digest = {
          ...this.#listener.viewFor(host.name),
          ...common,
          acknowledged: host.sequence,
          acknowledgedByHost: undefined,
        };
        const datagram = encodeMessage({ kind: "digest", digest });
        this.#transport.send(host.address, datagram);
      });
  }

  #receiveUpdates(
    message: Extract<PeerMessage, { readonly kind: "updates" }>,
  ): void {
    const now = this.#parts.clock.now();
    message.updates.forEach(({ update, age }) => {
      if (update.host === this.#parts.host) return;
      const known = this.#hosts.get(update.host);
      if (!this.#hosts.applyUpdate(update, now - age)) return;
      this.#time.receive(update.host, update.timeEstimate, now - age);
      if (
        known?.address !== update.address ||
        known.incarnation === undefined
      ) {
        this.#parts.logger.info("host joined", {
          peer: update.host,
          address: update.address,
          from: message.from,
        });
      }
      const configurationAge = this.#currentAge(update.configurationAge, age);
      this.#listener.onUpdate({ ...update, configurationAge }, age);
    });
    this.#hosts.recordSender(message.from, message, now);
  }

  #receiveDigest(digest: FleetDigest): void {
    const now = this.#parts.clock.now();
    this.#hosts.applyDigest(digest, now);
    const { relay, wallTime, timeSamples } = digest;
    this.#time.receive(relay, { wallTime, samples: timeSamples }, now);
    if (this.#role !== "member") return;
    this.#listener.onDigest({
      ...digest,
      acknowledged:
        digest.acknowledgedByHost === undefined
          ? digest.acknowledged
          : (digest.acknowledgedByHost[this.#parts.host] ?? UNACKNOWLEDGED),
      configurationAge: this.#currentAge(digest.configurationAge, 0),
    });
  }

  /**
   * Answers a limit query as a relay. Other hosts have too little information and send
   * no answer.
   */
  #answerLimitQuery({ id, address, ...request }: LimitQuery): void {
    if (this.#role !== "relay") return;
    const decision = this.#listener.onLimitQuery(request);
    const datagram = encodeMessage({
      kind: "limit_answer",
      answer: { id, decision },
    });
    this.#transport.send(address, datagram);
  }

  #answerPermitQuery({ id, address, ...request }: PermitQuery): void {
    const reply = this.#listener.onPermitQuery(request);
    const answer = { id, reply };
    this.#transport.send(
      address,
      encodeMessage({ kind: "permit_answer", answer }),
    );
  }

  /** Forwards the newest configuration as a relay, if it fits into a datagram. */
  #forwardConfiguration(address: string): void {
    const changes = this.#listener.configuration();
    if (this.#role !== "relay" || changes === undefined) return;
    const datagram = encodeMessage({ kind: "configuration", changes });
    if (datagram.length <= MAXIMUM_DATAGRAM_BYTES) {
      this.#transport.send(address, datagram);
    } else this.#parts.metrics.event("configuration_too_large_to_pass_on");
  }

  /**
   * Current age of a confirmation that a message reported. `undefined` after a pause
   * of this process, as messages may then be as old as the pause.
   */
  #currentAge(reported: number | undefined, age: number): number | undefined {
    const now = this.#parts.cautiousClock.now();
    const resumed = now - this.#resumedAt < RESUMED_MILLISECONDS;
    return reported === undefined || resumed || this.#isPaused()
      ? undefined
      : reported + age;
  }

  /** Whether this process has missed rounds, for instance while it was suspended. */
  #isPaused(): boolean {
    const now = this.#parts.cautiousClock.now();
    const maximum =
      GOSSIP_TIMING_BY_ROLE[this.#role].interval * PAUSE_INTERVALS;
    return this.#lastRound > 0 && now - this.#lastRound > maximum;
  }
}

/**
 * Whether a host takes a digest that includes its own work. It subtracts the work of
 * its newest update, so that work must still count at this relay.
 */
function readsSharedDigest(host: KnownHost, now: number): boolean {
  return (
    host.readsSharedDigest &&
    now - host.receivedAt < PEER_WORK_LIFETIME_MILLISECONDS
  );
}
