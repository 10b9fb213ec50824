// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Membership of the entry hosts as one of them sees it: heartbeats, news of
 * leaving hosts, and proof that processes are gone.
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
  jitter,
  type Logger,
  type Metrics,
  Ownership,
  type Random,
  repeat,
} from "rampswitch-utils";
import { changeObject } from "rampswitch-store";
import {
  digestsFromWire,
  digestToWire,
  marksFromWire,
  markToWire,
} from "../replication/peer_messages.ts";
import type { CloudClient, HostListClient } from "./platform_clients.ts";
import { asksPlatform, PlatformWatch } from "./platform_watch.ts";

/** Prefix of the status objects of entry hosts. */
export const HOST_PREFIX = "hosts/";

const DIGESTS_PER_MESSAGE = 8;
const HEARTBEAT_DEADLINE_MILLISECONDS = 800;
const FORGET_FACTOR = 30;
const PARTNERS_PER_HEARTBEAT = 2;
const SEED_RETRY_MILLISECONDS = 1_000;
/** How much longer a host waits that knows peers already. */
const SEED_RETRY_FACTOR = 60;
const ANNOUNCE_PEERS = 4;
const BYTES_SAMPLE = 8;
const GONE_PER_MESSAGE = 16;

/** An entry host that the settings name. */
export interface SeedPeer {
  readonly name: string;
  readonly dataHall: string;
  readonly address: string;
}

/** What a host says of itself at the moment. */
export interface OwnState {
  readonly revision: number;
  readonly confirmedAge: number;
  readonly reachesStore: boolean;
  readonly load: number;
}

/** What the service tells its owner. */
export interface MembershipListener {
  /** Digests were heard from a peer or passed on by it. */
  heard(digests: readonly HostDigest[]): void;
  /** Hosts were found to be leaving. */
  leaving(news: readonly LeavingMark[]): void;
  /** A process was proved gone, or was forgotten. */
  gone(host: HostId): void;
  /** Peers that hold slots with this host; checked with each heartbeat. */
  partners(): readonly HostId[];
}

/** How the service is made. */
export interface MembershipOptions {
  /** This host, with its addresses once it listens. */
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

/** The members as one host sees them. */
export class MembershipService implements AsyncDisposable {
  readonly #options: MembershipOptions;
  readonly #owned = new Ownership();
  readonly #platform: PlatformWatch;
  readonly #gone = new Set<HostId>();
  #members: Members = new Map();
  #marks: LeavingMarks = new Map();
  #starts: {
    readonly members: Members | undefined;
    readonly starts: ReadonlyMap<string, number>;
  } = { members: undefined, starts: new Map() };
  #placement: {
    readonly mark: string;
    readonly hosts: readonly PlacementHost[];
  } = { mark: "", hosts: [] };
  #messages = 0;
  #heartbeat = 0;
  #leaving = false;
  #seedAt = Number.NEGATIVE_INFINITY;
  #tick = 0;

  constructor(options: MembershipOptions) {
    this.#options = options;
    this.#platform = new PlatformWatch({
      ...options,
      silentMilliseconds: options.suspectMilliseconds,
    });
  }

  /** All members but this host. */
  get members(): Members {
    return this.#members;
  }

  /**
   * Whether a process is proved to be gone: by the platform's list, or by a
   * later process of the same name.
   */
  isGone(host: HostId): boolean {
    const later = this.#startsByName().get(hostName(host));
    return (
      this.#gone.has(host) ||
      (later !== undefined && later > hostStartedAt(host))
    );
  }

  /** Hosts that are leaving. */
  get marks(): LeavingMarks {
    return this.#marks;
  }

  /** Trusted peers. */
  get trusted(): readonly Member[] {
    return trustedMembers(this.#members);
  }

  /** Whether this host has said that it is leaving. */
  get selfLeaving(): boolean {
    return this.#leaving;
  }

  /**
   * Trusted members and this host, for the placement of slots. The list stays
   * the same object while it says the same.
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
    const mark = hosts.map(({ id, leaving }) => `${id} ${leaving}`).join();
    if (mark !== this.#placement.mark) this.#placement = { mark, hosts };
    return this.#placement.hosts;
  }

  /** A member by its identity. */
  find(host: HostId): Member | undefined {
    return this.#members.get(host);
  }

  /** Whether a process is a trusted member, or this one. */
  trusts(host: HostId): boolean {
    return (
      host === this.#options.self().id ||
      this.#members.get(host)?.suspected === false
    );
  }

  /** Publishes this host and starts the heartbeats. */
  start(): void {
    const { clock, random, heartbeatMilliseconds } = this.#options;
    void this.#publish();
    this.#owned
      .own(
        repeat(
          clock,
          () => jitter(random, heartbeatMilliseconds),
          () => this.#beat(),
        ),
      )
      .runNow();
    this.#owned
      .own(
        repeat(
          clock,
          () => jitter(random, heartbeatMilliseconds),
          () => this.#pollPlatform(),
        ),
      )
      .runNow();
  }

  /** Says from now on that this host is leaving. */
  leave(): void {
    this.#leaving = true;
    void this.#beat();
  }

  /** Takes in marks and tells about those that are news. */
  mark(marks: readonly LeavingMark[]): void {
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

  /** Some trusted peers, for news that must spread at once. */
  announceTargets(): readonly Member[] {
    return sample(this.trusted, ANNOUNCE_PEERS, this.#options.random);
  }

  /** Answers a heartbeat. */
  answer(request: HeartbeatRequest): HeartbeatResponse {
    this.#hear([request.sender, ...request.others], request.leaving);
    request.gone.forEach((host) => this.#proveGone(host));
    const response = create(HeartbeatResponseSchema, {
      responder: digestToWire(this.digest()),
      others: this.#digests(),
      leaving: [...this.#marks.values()].map(markToWire),
      gone: [...this.#gone].slice(-GONE_PER_MESSAGE),
    });
    this.#countBytes(() => toBinary(HeartbeatResponseSchema, response));
    return response;
  }

  /** A peer's process refused a connection: it is suspected at once. */
  unreachable(host: HostId): void {
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

  /** Start of the latest known process of each name. */
  #startsByName(): ReadonlyMap<string, number> {
    const { members, starts } = this.#starts;
    if (members === this.#members) return starts;
    const fresh = new Map(
      [...this.#members.values()].map(({ digest }) => [
        digest.host.name,
        hostStartedAt(digest.host.id),
      ]),
    );
    const self = this.#options.self();
    fresh.set(self.name, hostStartedAt(self.id));
    this.#starts = { members: this.#members, starts: fresh };
    return fresh;
  }

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

  async #beat(): Promise<void> {
    const { clock, random, heartbeatPeers, listener } = this.#options;
    const now = clock.now();
    this.#heartbeat += 1;
    this.#tick += 1;
    this.#suspect(now);
    this.#marks = removeExpiredMarks(this.#marks, now);
    this.#forget(now);
    const partners = listener.partners();
    const due = partners
      .map(
        (_, index) =>
          partners[
            (this.#tick * PARTNERS_PER_HEARTBEAT + index) % partners.length
          ],
      )
      .filter((host) => host !== undefined)
      .slice(0, PARTNERS_PER_HEARTBEAT);
    const targets = heartbeatTargets(this.#members, random, {
      count: heartbeatPeers,
      always: due,
    }).map(({ digest }) => ({
      id: digest.host.id,
      address: digest.host.peerAddress,
    }));
    const seeds = await this.#seeds(now);
    await Promise.all(
      [...targets, ...seeds].map(({ id, address }) => this.#send(id, address)),
    );
  }

  async #send(id: HostId | undefined, address: string): Promise<void> {
    const { clients, metrics } = this.#options;
    const request = create(HeartbeatRequestSchema, {
      sender: digestToWire(this.digest()),
      others: this.#digests(),
      leaving: [...this.#marks.values()].map(markToWire),
      gone: [...this.#gone].slice(-GONE_PER_MESSAGE),
    });
    this.#countBytes(() => toBinary(HeartbeatRequestSchema, request));
    const answer = await clients.call(address, (client) =>
      client.heartbeat(request, {
        timeoutMs: HEARTBEAT_DEADLINE_MILLISECONDS,
      }),
    );
    metrics.count("heartbeat", answer.isOk ? "answered" : "failed");
    if (answer.isOk) {
      const { responder, others, leaving } = answer.value;
      this.#hear([responder, ...others], leaving);
      answer.value.gone.forEach((host) => this.#proveGone(host));
    } else if (id !== undefined && answer.error.detail.includes("REFUSED")) {
      this.unreachable(id);
    }
  }

  /** Counts bytes of control messages; looks at one message of some. */
  #countBytes(encode: () => Uint8Array): void {
    this.#messages += 1;
    if (this.#messages % BYTES_SAMPLE !== 0) return;
    const bytes = encode().length * BYTES_SAMPLE;
    this.#options.metrics.count("control_bytes", undefined, bytes);
  }

  #digests(): ReturnType<typeof digestToWire>[] {
    const { clock, random } = this.#options;
    return digestsToSend(this.#members, clock.now(), {
      count: DIGESTS_PER_MESSAGE,
      random,
    }).map(digestToWire);
  }

  #hear(
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
    listener.heard(digests);
    this.mark(marksFromWire(marks));
  }

  #proveGone(host: HostId): void {
    if (this.#gone.has(host) || host === this.#options.self().id) return;
    this.#gone.add(host);
    this.#options.logger.info("process is gone", { host });
    this.#options.listener.gone(host);
  }

  #suspect(now: number): void {
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

  #forget(now: number): void {
    const { suspectMilliseconds, listener } = this.#options;
    const kept = removeSilent(this.#members, now, {
      afterMilliseconds: suspectMilliseconds * FORGET_FACTOR,
    });
    [...this.#members.keys()]
      .filter((host) => !kept.has(host))
      .forEach((host) => listener.gone(host));
    this.#members = kept;
  }

  /** Peers to look for while few are known: from settings and the store. */
  async #seeds(
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
    const wait =
      SEED_RETRY_MILLISECONDS * (known.size === 0 ? 1 : SEED_RETRY_FACTOR);
    if (now - this.#seedAt < jitter(random, wait)) return [];
    this.#seedAt = now;
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
    if (!asksPlatform(this.#options.self(), this.placementHosts)) return;
    const news = await this.#platform.poll([...this.#members.values()]);
    news.gone.forEach(({ digest }) => this.#proveGone(digest.host.id));
    this.mark(news.leaving);
  }
}
