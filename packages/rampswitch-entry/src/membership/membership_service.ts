// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The membership of the entry hosts from the view of one host: heartbeats,
 * updates on leaving hosts, and proof that processes are gone.
 *
 * @module
 */
import { create, toBinary } from "@bufbuild/protobuf";
import {
  addMarks,
  digestsToSend,
  removeExpiredMarks,
  removeSilent,
  heartbeatTargets,
  type HostDigest,
  type LeavingMark,
  type LeavingMarks,
  type Member,
  type Members,
  mergeDigests,
  sample,
  silenceLimits,
  suspectSilent,
  trustedMembers,
} from "rampswitch-configuration";
import {
  HeartbeatRequestSchema,
  type HeartbeatRequest,
  type HeartbeatResponse,
  HeartbeatResponseSchema,
  type PeerClients,
} from "rampswitch-peer";
import type { PlacementHost } from "rampswitch-protocol";
import type { ObjectStore } from "rampswitch-store";
import {
  type Host,
  type HostId,
  hostName,
  hostStartedAt,
} from "rampswitch-types";
import {
  type Clock,
  failureReporter,
  jitter,
  type Logger,
  type Metrics,
  Ownership,
  type Random,
  repeat,
  runInBackground,
} from "rampswitch-utils";
import { changeObject } from "rampswitch-store";
import {
  digestsFromWire,
  digestToWire,
  marksFromWire,
  markToWire,
} from "../replication/peer_messages.ts";
import type { CloudClient, HostListClient } from "./platform_clients.ts";
import { isPlatformPoller, PlatformWatch } from "./platform_watch.ts";

/** Key prefix of the store objects in which entry hosts publish themselves. */
export const HOST_PREFIX = "hosts/";

const DIGESTS_PER_MESSAGE = 8;
const HEARTBEAT_TIMEOUT_MILLISECONDS = 800;
/** Multiple of the suspicion time after which a silent member is forgotten. */
const FORGET_SUSPICION_FACTOR = 30;
const PARTNERS_PER_HEARTBEAT = 2;
const SEED_RETRY_MILLISECONDS = 1_000;
/** Multiple of the seed retry time for a host that has unsuspected peers. */
const CONNECTED_SEED_RETRY_FACTOR = 60;
const ANNOUNCEMENT_TARGETS = 4;
/** One message of this many is encoded to estimate the bytes sent. */
const MESSAGES_PER_BYTE_SAMPLE = 8;
const GONE_HOSTS_PER_MESSAGE = 16;

/** An entry host that is listed in the settings. */
export interface SeedPeer {
  readonly name: string;
  readonly dataHall: string;
  readonly address: string;
}

/** The current state that a host advertises in its own digest. */
export interface OwnState {
  /** Revision of the configuration in force. */
  readonly revision: number;
  /**
   * Milliseconds since the revision was confirmed as the head; -1 if it never
   * was.
   */
  readonly confirmedAge: number;
  /** Whether the store answered recently. */
  readonly reachesStore: boolean;
  /** Number of requests that run or wait on the host. */
  readonly load: number;
}

/** Callbacks of the membership service. */
export interface MembershipListener {
  /** Called with digests that a peer sent: its own and those it relayed. */
  received(digests: readonly HostDigest[]): void;
  /** Called with marks of hosts that were newly found to be leaving. */
  leaving(marks: readonly LeavingMark[]): void;
  /** Called for a process that was proved to be gone or was forgotten. */
  gone(host: HostId): void;
  /**
   * Returns the peers that hold slots together with this host. Each round of
   * heartbeats includes some of them in turn.
   */
  partners(): readonly HostId[];
}

/** Options of {@link MembershipService}. */
export interface MembershipOptions {
  /** Returns this host; its addresses are valid once it listens. */
  readonly self: () => Host;
  readonly seeds: readonly SeedPeer[];
  readonly store: ObjectStore;
  readonly hostList: HostListClient;
  readonly cloud: CloudClient;
  readonly clients: PeerClients;
  readonly clock: Clock;
  readonly random: Random;
  readonly metrics: Metrics;
  readonly logger: Logger;
  readonly heartbeatMilliseconds: number;
  readonly heartbeatPeers: number;
  readonly suspectMilliseconds: number;
  readonly listener: MembershipListener;
  readonly ownState: () => OwnState;
}

/** Tracks the entry hosts from the view of one host. */
export class MembershipService implements AsyncDisposable {
  readonly #options: MembershipOptions;
  readonly #owned = new Ownership();
  readonly #platform: PlatformWatch;
  readonly #gone = new Set<HostId>();
  #members: Members = new Map();
  #marks: LeavingMarks = new Map();
  #latestStarts: {
    readonly members: Members | undefined;
    readonly starts: ReadonlyMap<string, number>;
  } = { members: undefined, starts: new Map() };
  #placement: {
    readonly placementKey: string;
    readonly hosts: readonly PlacementHost[];
  } = { placementKey: "", hosts: [] };
  #messages = 0;
  #heartbeat = 0;
  #leaving = false;
  #peersSoughtAt = Number.NEGATIVE_INFINITY;
  #round = 0;

  constructor(options: MembershipOptions) {
    this.#options = options;
    this.#platform = new PlatformWatch({
      ...options,
      silentMilliseconds: options.suspectMilliseconds,
    });
  }

  /** All members except this host. */
  get members(): Members {
    return this.#members;
  }

  /**
   * Whether a process is proved to be gone, by the platform's host list or by a
   * later process of the same name.
   */
  isGone(host: HostId): boolean {
    const later = this.#startsByName().get(hostName(host));
    return (
      this.#gone.has(host) ||
      (later !== undefined && later > hostStartedAt(host))
    );
  }

  /** Marks of the hosts that are leaving. */
  get marks(): LeavingMarks {
    return this.#marks;
  }

  /** Peers that are not suspected. */
  get trusted(): readonly Member[] {
    return trustedMembers(this.#members);
  }

  /** Whether this host has announced that it is leaving. */
  get selfLeaving(): boolean {
    return this.#leaving;
  }

  /**
   * Trusted members and this host, for the placement of slots. The getter
   * returns the same array until a host or its leaving state changes.
   */
  get placementHosts(): readonly PlacementHost[] {
    const self = this.#options.self();
    const hosts = [
      { ...self, leaving: this.#leaving },
      ...this.trusted.map(({ digest }) => ({
        ...digest.host,
        leaving: digest.leaving,
      })),
    ];
    const placementKey = hosts
      .map(({ id, leaving }) => `${id} ${leaving}`)
      .join();
    if (placementKey !== this.#placement.placementKey)
      this.#placement = { placementKey, hosts };
    return this.#placement.hosts;
  }

  /** Finds a member by its identity. */
  find(host: HostId): Member | undefined {
    return this.#members.get(host);
  }

  /** Whether a process is a trusted member or this process. */
  trusts(host: HostId): boolean {
    return (
      host === this.#options.self().id ||
      this.#members.get(host)?.suspected === false
    );
  }

  /**
   * Publishes this host in the store and starts the heartbeats and the polling
   * of the platform.
   */
  start(): void {
    const { clock, random, heartbeatMilliseconds, logger } = this.#options;
    const reportFailure = failureReporter({ logger });
    runInBackground("entry of this host", { logger }, () => this.#publish());
    this.#owned
      .own(
        repeat(clock, () => jitter(random, heartbeatMilliseconds), {
          name: "heartbeats",
          reportFailure,
          run: () => this.#sendHeartbeats(),
        }),
      )
      .runNow();
    this.#owned
      .own(
        repeat(clock, () => jitter(random, heartbeatMilliseconds), {
          name: "polls of the platform",
          reportFailure,
          run: () => this.#pollPlatform(),
        }),
      )
      .runNow();
  }

  /** Announces in this and all later heartbeats that this host is leaving. */
  leave(): void {
    this.#leaving = true;
    const { logger } = this.#options;
    runInBackground("heartbeats", { logger }, () => this.#sendHeartbeats());
  }

  /** Adds leaving marks and notifies the listener of the new ones. */
  addLeavingMarks(marks: readonly LeavingMark[]): void {
    const added = addMarks(this.#marks, marks, this.#options.clock.now());
    if (added.newMarks.length === 0) return;
    this.#marks = added.marks;
    this.#options.metrics.count(
      "leaving_mark",
      undefined,
      added.newMarks.length,
    );
    added.newMarks.forEach(({ host, source }) =>
      this.#options.logger.info("host is leaving", { host, source }),
    );
    this.#options.listener.leaving(added.newMarks);
  }

  /** Selects some trusted peers for updates that must spread at once. */
  announceTargets(): readonly Member[] {
    return sample(this.trusted, ANNOUNCEMENT_TARGETS, this.#options.random);
  }

  /** Answers a heartbeat. */
  answerHeartbeat(request: HeartbeatRequest): HeartbeatResponse {
    this.#receive([request.sender, ...request.others], request.leaving);
    request.gone.forEach((host) => this.#proveGone(host));
    const response = create(HeartbeatResponseSchema, {
      responder: digestToWire(this.digest()),
      others: this.#sampleDigests(),
      leaving: [...this.#marks.values()].map(markToWire),
      gone: [...this.#gone].slice(-GONE_HOSTS_PER_MESSAGE),
    });
    this.#countBytes(() => toBinary(HeartbeatResponseSchema, response));
    return response;
  }

  /**
   * Suspects a peer at once because its process refused a connection. A peer
   * whose heartbeat advanced within the last two heartbeat intervals is not
   * suspected.
   */
  markUnreachable(host: HostId): void {
    const member = this.#members.get(host);
    if (member === undefined || member.suspected) return;
    const { clock, heartbeatMilliseconds } = this.#options;
    if (clock.now() - member.receivedAt < 2 * heartbeatMilliseconds) return;
    this.#members = new Map(this.#members).set(host, {
      ...member,
      suspected: true,
      heartbeatsSinceSuspected: 0,
    });
  }

  /** This host's own digest. */
  digest(): HostDigest {
    return {
      host: this.#options.self(),
      heartbeat: this.#heartbeat,
      leaving: this.#leaving,
      ...this.#options.ownState(),
    };
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#owned[Symbol.asyncDispose]();
  }

  /** Start time of the latest known process of each host name. */
  #startsByName(): ReadonlyMap<string, number> {
    const { members, starts } = this.#latestStarts;
    if (members === this.#members) return starts;
    const latest = new Map(
      [...this.#members.values()].map(({ digest }) => [
        digest.host.name,
        hostStartedAt(digest.host.id),
      ]),
    );
    const self = this.#options.self();
    latest.set(self.name, hostStartedAt(self.id));
    this.#latestStarts = { members: this.#members, starts: latest };
    return latest;
  }

  /** Writes this host to the store unless a later process has done so. */
  async #publish(): Promise<void> {
    const { store, clock, random } = this.#options;
    const self = this.#options.self();
    await changeObject(
      store,
      {
        key: `${HOST_PREFIX}${self.name}`,
        attempts: 20,
        decide: (current) =>
          current !== undefined &&
          (JSON.parse(current.value) as Host).startedAt >= self.startedAt
            ? { kind: "keep", refusal: "written" }
            : { kind: "write", value: JSON.stringify(self) },
      },
      { clock, random },
    );
  }

  async #sendHeartbeats(): Promise<void> {
    const { clock, random, heartbeatPeers, listener } = this.#options;
    const now = clock.now();
    this.#heartbeat += 1;
    this.#round += 1;
    this.#suspectSilentMembers(now);
    this.#marks = removeExpiredMarks(this.#marks, now);
    this.#forgetSilentMembers(now);
    const partners = listener.partners();
    const duePartners = partners
      .map(
        (_, index) =>
          partners[
            (this.#round * PARTNERS_PER_HEARTBEAT + index) % partners.length
          ],
      )
      .filter((host) => host !== undefined)
      .slice(0, PARTNERS_PER_HEARTBEAT);
    const targets = heartbeatTargets(this.#members, random, {
      count: heartbeatPeers,
      always: duePartners,
    }).map(({ digest }) => ({
      id: digest.host.id,
      address: digest.host.peerAddress,
    }));
    const seeds = await this.#findPeers(now);
    await Promise.all(
      [...targets, ...seeds].map(({ id, address }) =>
        this.#sendHeartbeat(id, address),
      ),
    );
  }

  async #sendHeartbeat(id: HostId | undefined, address: string): Promise<void> {
    const { clients, metrics } = this.#options;
    const request = create(HeartbeatRequestSchema, {
      sender: digestToWire(this.digest()),
      others: this.#sampleDigests(),
      leaving: [...this.#marks.values()].map(markToWire),
      gone: [...this.#gone].slice(-GONE_HOSTS_PER_MESSAGE),
    });
    this.#countBytes(() => toBinary(HeartbeatRequestSchema, request));
    const answer = await clients.call(address, (client) =>
      client.heartbeat(request, {
        timeoutMs: HEARTBEAT_TIMEOUT_MILLISECONDS,
      }),
    );
    metrics.count("heartbeat", answer.isOk ? "answered" : "failed");
    if (answer.isOk) {
      const { responder, others, leaving } = answer.value;
      this.#receive([responder, ...others], leaving);
      answer.value.gone.forEach((host) => this.#proveGone(host));
    } else if (id !== undefined && answer.error.detail.includes("REFUSED")) {
      this.markUnreachable(id);
    }
  }

  /**
   * Counts the bytes of control messages. Only one message of
   * {@link MESSAGES_PER_BYTE_SAMPLE} is encoded, and its size is scaled up.
   */
  #countBytes(encode: () => Uint8Array): void {
    this.#messages += 1;
    if (this.#messages % MESSAGES_PER_BYTE_SAMPLE !== 0) return;
    const bytes = encode().length * MESSAGES_PER_BYTE_SAMPLE;
    this.#options.metrics.count("control_bytes", undefined, bytes);
  }

  #sampleDigests(): ReturnType<typeof digestToWire>[] {
    const { clock, random } = this.#options;
    return digestsToSend(this.#members, clock.now(), {
      count: DIGESTS_PER_MESSAGE,
      random,
    }).map(digestToWire);
  }

  #receive(
    wires: Parameters<typeof digestsFromWire>[0],
    marks: Parameters<typeof marksFromWire>[0],
  ): void {
    const { clock, listener } = this.#options;
    const self = this.#options.self();
    const digests = digestsFromWire(wires).filter(
      ({ host }) => host.name !== self.name,
    );
    const merged = mergeDigests(this.#members, digests, clock.now());
    this.#members = merged.members;
    merged.replaced.forEach((host) => this.#proveGone(host));
    listener.received(digests);
    this.addLeavingMarks(marksFromWire(marks));
  }

  #proveGone(host: HostId): void {
    if (this.#gone.has(host) || host === this.#options.self().id) return;
    this.#gone.add(host);
    this.#options.logger.info("process is gone", { host });
    this.#options.listener.gone(host);
  }

  #suspectSilentMembers(now: number): void {
    const { heartbeatMilliseconds, heartbeatPeers, suspectMilliseconds } =
      this.#options;
    const partners = new Set(this.#options.listener.partners());
    const limits = silenceLimits(
      { members: this.#members.size, partners: partners.size },
      {
        heartbeatMilliseconds,
        suspectMilliseconds,
        peers: heartbeatPeers,
        digests: DIGESTS_PER_MESSAGE,
        partnersPerHeartbeat: PARTNERS_PER_HEARTBEAT,
      },
    );
    this.#members = suspectSilent(this.#members, now, {
      silenceLimitOf: (host) =>
        partners.has(host) ? limits.partners : limits.others,
    });
  }

  #forgetSilentMembers(now: number): void {
    const { suspectMilliseconds, listener } = this.#options;
    const remaining = removeSilent(this.#members, now, {
      afterMilliseconds: suspectMilliseconds * FORGET_SUSPICION_FACTOR,
    });
    [...this.#members.keys()]
      .filter((host) => !remaining.has(host))
      .forEach((host) => listener.gone(host));
    this.#members = remaining;
  }

  /**
   * Finds addresses of peers, from the settings and the store, that are not
   * known as unsuspected members. Searches rarely once any peer is known.
   */
  async #findPeers(
    now: number,
  ): Promise<readonly { readonly id: undefined; readonly address: string }[]> {
    const { seeds, store, random } = this.#options;
    const self = this.#options.self();
    const known = new Set(
      [...this.#members.values()]
        .filter(({ suspected }) => !suspected)
        .map(({ digest }) => digest.host.peerAddress),
    );
    const missing = seeds
      .filter(({ name, address }) => name !== self.name && !known.has(address))
      .map(({ address }) => address);
    const retryMilliseconds =
      SEED_RETRY_MILLISECONDS *
      (known.size === 0 ? 1 : CONNECTED_SEED_RETRY_FACTOR);
    if (now - this.#peersSoughtAt < jitter(random, retryMilliseconds))
      return [];
    this.#peersSoughtAt = now;
    const list = await store.list(HOST_PREFIX);
    const listed = list.isErr
      ? []
      : list.value.objects
          .map(({ value }) => JSON.parse(value) as Host)
          .filter(
            ({ name, peerAddress }) =>
              name !== self.name && !known.has(peerAddress),
          )
          .map(({ peerAddress }) => peerAddress);
    return [...new Set([...missing, ...listed])].map((address) => ({
      id: undefined,
      address,
    }));
  }

  async #pollPlatform(): Promise<void> {
    if (!isPlatformPoller(this.#options.self(), this.placementHosts)) return;
    const update = await this.#platform.poll([...this.#members.values()]);
    update.gone.forEach(({ digest }) => this.#proveGone(digest.host.id));
    this.addLeavingMarks(update.leaving);
  }
}
