// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The hosts of the system: found through the store, then kept by the news that
 * they tell each other, in large fleets through relays. Also the fleet's view of
 * the time of day.
 *
 * @module
 */
import {
  type Clock,
  jitter,
  type Logger,
  Ownership,
  type Random,
  rendezvousOrder,
  repeat,
} from "rampswitch-utils";
import type { ChangeBatch, ObjectStore } from "rampswitch-store";
import type { LimitDecision } from "../admission/mod.ts";
import type { ServingMetrics } from "../observation/mod.ts";
import type { TrialTurn } from "../quarantine/mod.ts";
import type { TurnReply, TurnRequest } from "../server_limits/mod.ts";
import {
  FleetHosts,
  type HostRole,
  type KnownHost,
  PACE_BY_ROLE,
} from "./fleet_hosts.ts";
import { FleetTime } from "./fleet_time.ts";
import { Questions } from "./questions.ts";
import { HostRegistry } from "./host_registry.ts";
import { type LimitRequest, LimitQuestions } from "./limit_questions.ts";
import { decodeMessage, encodeMessage } from "./peer_codec.ts";
import type {
  AgedNews,
  FleetDigest,
  FleetView,
  LimitQuestion,
  PeerMessage,
  PeerNews,
  TurnQuestion,
} from "./peer_news.ts";
import { openPeerTransport, type PeerTransport } from "./peer_transport.ts";

/**
 * Time without a round of news, in paces, that tells of a pause of the process.
 */
const PAUSE_PACES = 2.4;

/**
 * Time after a pause in which messages from before it may still be read, in
 * milliseconds; some turns of the loop.
 */
const WOKEN_MILLISECONDS = 200;

/** News of other hosts in one message at most; more go into the next one. */
const NEWS_EACH_MESSAGE = 16;

/**
 * Time for the answer to a question for a turn, in milliseconds: the way between two
 * regions and some turns of a busy loop, below the shortest targets of requests.
 */
const TURN_MILLISECONDS = 120;

/** Most bytes of a message; UDP takes no more than 65,507. */
const LARGEST_DATAGRAM_BYTES = 60_000;

/** What membership works with. */
export interface MembershipParts {
  readonly host: string;
  readonly dataHall: string;
  /** Processor share of this host, in cores. */
  readonly cores: number;
  readonly incarnation: string;
  /** Address for messages between hosts. */
  readonly address: string;
  readonly store: ObjectStore;
  /** Prefix of the keys of hosts in the store. */
  readonly hostsPrefix: string;
  /** A steady clock. */
  readonly clock: Clock;
  /** A clock that tells of pauses, also of those over a suspension. */
  readonly cautiousClock: Clock;
  /** Time of day of this host; it may jump. */
  readonly wallTime: () => number;
  readonly random: Random;
  readonly logger: Logger;
  readonly metrics: ServingMetrics;
}

/** What this host tells with each message, beside its own identity. */
export type OwnNews = Omit<
  PeerNews,
  | "host"
  | "dataHall"
  | "cores"
  | "incarnation"
  | "sequence"
  | "address"
  | "wallTime"
  | "carriedTime"
>;

/** What membership asks of its owner and tells it. */
export interface MembershipListener {
  /** News of this host for the message with this number. */
  ownNews(message: {
    readonly sequence: number;
    readonly role: HostRole;
  }): OwnNews;
  /** Whether this host is about to end. */
  stopping(): boolean;
  /** What to tell a host about all others. */
  viewFor(host: string): FleetView;
  /** A host told its news, so many milliseconds ago. */
  onNews(news: PeerNews, age: number): void;
  /** A relay told of the whole fleet. */
  onDigest(digest: FleetDigest): void;
  /** The store's list was read; these hosts in it were not known. */
  onListed(hosts: readonly string[]): void;
  /** The newest configuration as this host has it from the store. */
  configuration(): ChangeBatch | undefined;
  /** A relay passed the newest configuration on. */
  onConfiguration(changes: ChangeBatch): void;
  /** A host asks this relay whether a request fits into a limit. */
  onQuestion(request: LimitRequest): LimitDecision;
  /** A host asks this one for a turn at a limited server. */
  onTurnQuestion(request: TurnRequest): TurnReply;
  /** A relay admitted a request too late for this host to use that. */
  onUnused(request: LimitRequest): void;
}

/** Peers of this host. */
export class Membership implements AsyncDisposable {
  readonly #parts: MembershipParts;
  readonly #listener: MembershipListener;
  readonly #hosts: FleetHosts;
  readonly #transport: PeerTransport;
  readonly #ownership = new Ownership();
  readonly #questions: LimitQuestions;
  readonly #turnQuestions: Questions<TurnRequest, TurnReply>;
  readonly #registry: HostRegistry;
  readonly #time: FleetTime;
  /** Newest message of each host that was passed on, by its life. */
  readonly #passedOn = new Map<string, string>();
  #round = 0;
  #role: HostRole = "direct";
  /** When this host last sent news, on the cautious clock. */
  #lastRound = 0;
  /** When this process last went on after a pause, on the cautious clock. */
  #wokenAt = -Infinity;

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
    this.#questions = new LimitQuestions(clock, (request) =>
      listener.onUnused(request),
    );
    this.#turnQuestions = new Questions(clock, {
      answerMilliseconds: TURN_MILLISECONDS,
      // A turn that comes too late is lost.
      onLate: ({ service }, { kind }) => {
        parts.metrics.event(`turn_late_${kind}`);
        parts.logger.debug("answer on a turn came late", { service, kind });
      },
    });
    // A host that finds others in the list tells them at once: where all hosts
    // were killed together, relays hear their members 20 ms after the start
    // instead of 400 ms, and refuse nobody for not having heard them.
    this.#registry = this.#ownership.own(
      new HostRegistry(
        { name: host, dataHall, cores, address: transport.address },
        parts,
        (listed) => {
          const unknown = this.#hosts.listed(listed, clock.now());
          listener.onListed(unknown);
          if (this.#round === 0 && unknown.length > 0) this.tell();
        },
      ),
    );
    this.#ownership.own(
      repeat(
        clock,
        () => jitter(random, PACE_BY_ROLE[this.#role].interval),
        () => {
          this.tell();
          return Promise.resolve();
        },
      ),
    );
  }

  /** Opens the socket and begins to exchange news. */
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

  /** Hosts that may be serving, heard or just listed; this one included. */
  get size(): number {
    return this.#hosts.size(this.#parts.clock.now());
  }

  /**
   * The same, and no fewer than in the list that was read last, whoever is heard;
   * `undefined` before one was read.
   */
  get listedSize(): number | undefined {
    return this.#registry.settled
      ? Math.max(this.size, this.#hosts.listedCount)
      : undefined;
  }

  /**
   * Whether this host hears enough of the others to hold duties. Before it has
   * read the list of hosts, each host of a large fleet takes itself for one of a
   * few: 42 of 77 that started together tried to take the lease.
   */
  get mayHoldDuties(): boolean {
    return this.#registry.settled && this.#role !== "member";
  }

  /** What this host does with news. */
  get role(): HostRole {
    return this.#role;
  }

  /**
   * Hosts that decide on limits for others: one relay of each data hall, where
   * this host is a relay.
   */
  get deciders(): number | undefined {
    return this.#role === "relay" ? this.#hosts.dataHalls : undefined;
  }

  /**
   * Asks the first relay of this data hall whether a request fits into a limit;
   * `undefined` where there is none or it does not answer in time.
   */
  async ask(request: LimitRequest): Promise<LimitDecision | undefined> {
    const relay = this.#hosts.decider(this.#parts.clock.now());
    if (relay === undefined) return undefined;
    return this.#questions.ask(request, (id) => {
      const question = { ...request, id, address: this.#transport.address };
      const datagram = encodeMessage({ kind: "question", question });
      this.#transport.send(relay.address, datagram);
    });
  }

  /** Hosts that may give turns at limited servers, in the same order at all. */
  get turnHolders(): readonly string[] {
    return this.#turnHolders(this.#parts.clock.now());
  }

  /**
   * Asks a host for a turn at a limited server; `undefined` where it is not known or
   * does not answer in time.
   */
  async askTurn(
    holder: string,
    request: TurnRequest,
  ): Promise<TurnReply | undefined> {
    const known = this.#hosts.get(holder);
    if (known === undefined) return undefined;
    return this.#turnQuestions.ask(request, (id) => {
      const question = { ...request, id, address: this.#transport.address };
      const datagram = encodeMessage({ kind: "turn_question", question });
      this.#transport.send(known.address, datagram);
    });
  }

  /** This host's turn among all that are known, in an order drawn by a key. */
  turn(key: string): TrialTurn {
    const names = this.#hosts.present(this.#parts.clock.now());
    const order = rendezvousOrder(key, names);
    return {
      rank: order.indexOf(this.#parts.host),
      // Not the usual lag: two messages may be lost, and two trials cost two servers.
      lagMilliseconds: PACE_BY_ROLE[this.#role].silence,
    };
  }

  /** The other hosts that are present, each with the life of its process. */
  get lives(): readonly string[] {
    return this.#hosts
      .present(this.#parts.clock.now())
      .filter((name) => name !== this.#parts.host)
      .map((name) => `${name}/${this.#hosts.get(name)?.incarnation ?? ""}`);
  }

  /** Asks a relay for the newest configuration. */
  askConfiguration(relay: string): void {
    const known = this.#hosts.get(relay);
    if (known === undefined) return;
    const question = { address: this.#transport.address };
    const datagram = encodeMessage({
      kind: "configuration_question",
      question,
    });
    this.#transport.send(known.address, datagram);
  }

  /**
   * The time of day on which most hosts agree, in milliseconds: no clock that steps
   * moves it, nor most of them for some seconds.
   */
  agreedWallTime(): number {
    return this.#time.at(this.#parts.clock.now());
  }

  /** Whether enough hosts are heard for the time of day to be relied on. */
  get isTimeSettled(): boolean {
    const now = this.#parts.clock.now();
    return this.#time.isSettled(this.listedSize ?? this.size, now);
  }

  /** Sends news to the hosts whose turn it is. */
  tell(): void {
    const now = this.#parts.clock.now();
    if (this.#isPaused()) this.#wokenAt = this.#parts.cautiousClock.now();
    this.#lastRound = this.#parts.cautiousClock.now();
    this.#round += 1;
    this.#changeRole(this.#hosts.role(now));
    this.#time.sample(this.#hosts.clockOffsets(now), now);
    if (this.#hosts.all().length === 0) return;
    const own = { news: this.#ownNews(), age: 0 };
    this.#tellOthers[this.#role](own, now);
    this.#tellDigests(now);
  }

  readonly #tellOthers: Readonly<
    Record<HostRole, (own: AgedNews, now: number) => void>
  > = {
    direct: (own) => this.#send([own], this.#hosts.all()),
    member: (own, now) =>
      this.#send([own], this.#hosts.relaysToTell(now, this.#round)),
    relay: (own, now) => {
      const gathered = this.#gathered(now);
      const relays = this.#hosts.otherRelays(now, this.#round);
      this.#send([own, ...gathered.slice(0, NEWS_EACH_MESSAGE - 1)], relays);
      chunks(gathered.slice(NEWS_EACH_MESSAGE - 1)).forEach((chunk) =>
        this.#send(chunk, relays),
      );
    },
  };

  /** Takes in a datagram. */
  receive(datagram: Buffer): void {
    const decoded = decodeMessage(datagram);
    if (decoded.isErr) {
      this.#parts.metrics.event("peer_news_malformed");
      this.#parts.logger.debug("peer news can't be read", {
        detail: decoded.error,
      });
      return;
    }
    const message = decoded.value;
    const take = this.#takers[message.kind] as (message: PeerMessage) => void;
    take(message);
  }

  readonly #takers: {
    readonly [Kind in PeerMessage["kind"]]: (
      message: Extract<PeerMessage, { readonly kind: Kind }>,
    ) => void;
  } = {
    news: (message) => this.#takeNews(message),
    digest: ({ digest }) => this.#takeDigest(digest),
    question: ({ question }) => this.#takeQuestion(question),
    answer: ({ answer }) => this.#questions.answered(answer),
    turn_question: ({ question }) => this.#takeTurnQuestion(question),
    turn_answer: ({ answer: { id, reply } }) =>
      this.#turnQuestions.replied(id, reply),
    configuration_question: ({ question }) =>
      this.#passConfiguration(question.address),
    configuration: ({ changes }) => this.#listener.onConfiguration(changes),
  };

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#ownership[Symbol.asyncDispose]();
  }

  #turnHolders(now: number): readonly string[] {
    return this.#hosts.turnHolders(now, {
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

  #ownNews(): PeerNews {
    const { host, dataHall, cores, incarnation, wallTime, clock } = this.#parts;
    const sequence = this.#round;
    return {
      ...this.#listener.ownNews({ sequence, role: this.#role }),
      host,
      dataHall,
      cores,
      incarnation,
      sequence,
      address: this.#transport.address,
      wallTime: wallTime(),
      carriedTime: this.#time.carried(clock.now()),
    };
  }

  #send(news: readonly AgedNews[], hosts: readonly KnownHost[]): void {
    const datagram = encodeMessage({
      kind: "news",
      from: this.#parts.host,
      wantsDigest: this.#role === "member",
      news,
    });
    hosts.forEach(({ address }) => this.#transport.send(address, datagram));
  }

  /**
   * News of the hosts that tell this relay, each message once. That of other
   * relays is among it, so that relays which do not hear each other do.
   */
  #gathered(now: number): readonly AgedNews[] {
    return this.#hosts.telling(now).flatMap(({ name, news, heardAt }) => {
      if (news === undefined) return [];
      const mark = `${news.incarnation}/${news.sequence}`;
      if (this.#passedOn.get(name) === mark) return [];
      this.#passedOn.set(name, mark);
      return [{ news: withoutLevels(news), age: now - heardAt }];
    });
  }

  #tellDigests(now: number): void {
    const asking = this.#hosts.asking(now);
    if (asking.length === 0) return;
    const time = this.#time.supported(now);
    const common = {
      relay: this.#parts.host,
      hosts: this.#hosts.size(now),
      relays: this.#hosts.ownRelays(now),
      turnHolders: this.#turnHolders(now),
      wallTime: time.wallTime,
      timeSamples: time.samples,
    };
    asking.forEach((host) => {
      const datagram = encodeMessage({
        kind: "digest",
        digest: {
          ...this.#listener.viewFor(host.name),
          ...common,
          acknowledged: host.sequence,
        },
      });
      this.#transport.send(host.address, datagram);
    });
  }

  #takeNews(message: Extract<PeerMessage, { readonly kind: "news" }>): void {
    const now = this.#parts.clock.now();
    message.news.forEach(({ news, age }) => {
      if (news.host === this.#parts.host) return;
      const known = this.#hosts.get(news.host);
      if (!this.#hosts.heard(news, now - age)) return;
      this.#time.heard(news.host, news.carriedTime, now - age);
      if (known?.address !== news.address || known.incarnation === undefined) {
        this.#parts.logger.info("host joined", {
          peer: news.host,
          address: news.address,
          from: message.from,
        });
      }
      const configurationAge = this.#ageNow(news.configurationAge, age);
      this.#listener.onNews({ ...news, configurationAge }, age);
    });
    this.#hosts.sentBy(message.from, message.wantsDigest, now);
  }

  #takeDigest(digest: FleetDigest): void {
    const now = this.#parts.clock.now();
    this.#hosts.digested(digest, now);
    const { relay, wallTime, timeSamples } = digest;
    this.#time.heard(relay, { wallTime, samples: timeSamples }, now);
    if (this.#role !== "member") return;
    this.#listener.onDigest({
      ...digest,
      configurationAge: this.#ageNow(digest.configurationAge, 0),
    });
  }

  /** A host that is no relay knows too little, and lets the asker wait. */
  #takeQuestion({ id, address, ...request }: LimitQuestion): void {
    if (this.#role !== "relay") return;
    const decision = this.#listener.onQuestion(request);
    const datagram = encodeMessage({
      kind: "answer",
      answer: { id, decision },
    });
    this.#transport.send(address, datagram);
  }

  #takeTurnQuestion({ id, address, ...request }: TurnQuestion): void {
    const reply = this.#listener.onTurnQuestion(request);
    const answer = { id, reply };
    this.#transport.send(
      address,
      encodeMessage({ kind: "turn_answer", answer }),
    );
  }

  /** Passes the newest configuration on, where it fits into a datagram. */
  #passConfiguration(address: string): void {
    const changes = this.#listener.configuration();
    if (this.#role !== "relay" || changes === undefined) return;
    const datagram = encodeMessage({ kind: "configuration", changes });
    if (datagram.length <= LARGEST_DATAGRAM_BYTES) {
      this.#transport.send(address, datagram);
    } else this.#parts.metrics.event("configuration_too_large_to_pass_on");
  }

  /**
   * Age of a confirmation that a message told of. After a pause of this
   * process, messages may be as old as the pause.
   */
  #ageNow(told: number | undefined, age: number): number | undefined {
    const now = this.#parts.cautiousClock.now();
    const woken = now - this.#wokenAt < WOKEN_MILLISECONDS;
    return told === undefined || woken || this.#isPaused()
      ? undefined
      : told + age;
  }

  /** Whether this process has missed rounds, as one does that was stopped. */
  #isPaused(): boolean {
    const now = this.#parts.cautiousClock.now();
    const longest = PACE_BY_ROLE[this.#role].interval * PAUSE_PACES;
    return this.#lastRound > 0 && now - this.#lastRound > longest;
  }
}

/** Relays keep the levels of the limits themselves. */
function withoutLevels(news: PeerNews): PeerNews {
  return { ...news, levels: {} };
}

function chunks(news: readonly AgedNews[]): readonly (readonly AgedNews[])[] {
  return Array.from(
    { length: Math.ceil(news.length / NEWS_EACH_MESSAGE) },
    (_, index) =>
      news.slice(index * NEWS_EACH_MESSAGE, (index + 1) * NEWS_EACH_MESSAGE),
  );
}
