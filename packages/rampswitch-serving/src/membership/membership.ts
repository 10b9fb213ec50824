// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The hosts of the system: found through the store, then kept by the news that
 * they send each other. Also the fleet's view of the time of day.
 *
 * @module
 */
import type { Clock, Logger, Random } from "rampswitch-utils";
import { jitter, repeat, type Repetition, parseJson } from "rampswitch-utils";
import type { ObjectStore } from "rampswitch-store";
import * as z from "zod";
import type { ServingMetrics } from "../observation/mod.ts";
import { decodeNews, encodeNews, type PeerNews } from "./peer_news.ts";
import { openPeerTransport, type PeerTransport } from "./peer_transport.ts";

/** Time between messages to a peer, in milliseconds. */
const NEWS_MILLISECONDS = 250;

/** Peers that get each message; more take turns. Bounds a host's sends. */
const PEERS_EACH_ROUND = 12;

/** Time without a round of news that tells of a pause of the process, in ms. */
const PAUSE_MILLISECONDS = 600;

/** Silence after which a host no longer counts, in milliseconds. */
const GONE_MILLISECONDS = 10_000;

/** Silence after which a peer's clock no longer counts, in milliseconds. */
const CLOCK_MILLISECONDS = 5_000;

/** Time between readings of the list of hosts, in milliseconds. */
const LIST_MILLISECONDS = 15_000;

/**
 * Time from the first reading to the second, in milliseconds; doubled each
 * time. Hosts that start together do not find each other in the first list.
 */
const FIRST_LIST_MILLISECONDS = 400;

/** Time before the list is read again after a failure, in milliseconds. */
const LIST_RETRY_MILLISECONDS = 700;

const HOST_SCHEMA = z.object({ address: z.string() });

interface Peer {
  readonly address: string;
  readonly heardAt: number;
  /** When it was first found in the store's list. */
  readonly listedAt: number;
  /** The peer's time of day less this host's steady time. */
  readonly wallOffset: number | undefined;
  readonly stopping: boolean;
}

/** What membership works with. */
export interface MembershipParts {
  readonly host: string;
  readonly incarnation: string;
  /** Address for messages between hosts. */
  readonly address: string;
  readonly store: ObjectStore;
  /** Prefix of the keys of hosts in the store. */
  readonly hostsPrefix: string;
  /** A steady clock. */
  readonly clock: Clock;
  /** Time of day of this host; it may jump. */
  readonly wallTime: () => number;
  readonly random: Random;
  readonly logger: Logger;
  readonly metrics: ServingMetrics;
}

/** What this host tells with each message, beside its own identity. */
export type OwnNews = Omit<
  PeerNews,
  "host" | "incarnation" | "address" | "wallTime"
>;

/** Peers of this host. */
export class Membership implements AsyncDisposable {
  readonly #parts: MembershipParts;
  readonly #ownNews: () => OwnNews;
  readonly #onNews: (news: PeerNews) => void;
  readonly #onListed: (host: string) => void;
  readonly #peers = new Map<string, Peer>();
  readonly #repetitions: readonly Repetition[];
  readonly #transport: PeerTransport;
  #listed = false;
  /** Readings of the list that found this host in it. */
  #lists = 0;
  #round = 0;
  /** When this host last sent news, on the steady clock. */
  #lastRound = 0;

  private constructor(
    parts: MembershipParts,
    transport: PeerTransport,
    callbacks: {
      readonly ownNews: () => OwnNews;
      readonly onNews: (news: PeerNews) => void;
      /** A host was found in the store's list that was not known. */
      readonly onListed: (host: string) => void;
    },
  ) {
    this.#parts = parts;
    this.#transport = transport;
    this.#ownNews = callbacks.ownNews;
    this.#onNews = callbacks.onNews;
    this.#onListed = callbacks.onListed;
    const { clock, random } = parts;
    const listing = repeat(
      clock,
      () =>
        jitter(
          random,
          this.#listed
            ? Math.min(
                LIST_MILLISECONDS,
                FIRST_LIST_MILLISECONDS * 2 ** this.#lists,
              )
            : LIST_RETRY_MILLISECONDS,
        ),
      () => this.#list(),
    );
    listing.hurry();
    this.#repetitions = [
      listing,
      repeat(
        clock,
        () => jitter(random, NEWS_MILLISECONDS),
        () => {
          this.tell();
          return Promise.resolve();
        },
      ),
    ];
  }

  /** Opens the socket and begins to exchange news. */
  static async open(
    parts: MembershipParts,
    callbacks: {
      readonly ownNews: () => OwnNews;
      readonly onNews: (news: PeerNews) => void;
      /** A host was found in the store's list that was not known. */
      readonly onListed: (host: string) => void;
    },
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
    const membership = new Membership(parts, transport, callbacks);
    opened.membership = membership;
    return membership;
  }

  /** Hosts that may be serving, heard or just listed; this one included. */
  get size(): number {
    const oldest = this.#parts.clock.now() - GONE_MILLISECONDS;
    const peers = [...this.#peers.values()].filter(
      (peer) => Math.max(peer.heardAt, peer.listedAt) >= oldest,
    );
    return 1 + peers.length;
  }

  /** Names of live hosts that are not stopping, this one included. */
  get names(): readonly string[] {
    const peers = this.#heardWithin(GONE_MILLISECONDS)
      .filter(([, peer]) => !peer.stopping)
      .map(([name]) => name);
    return [this.#parts.host, ...peers].toSorted();
  }

  /**
   * The time of day on which most hosts agree, in milliseconds: the median of
   * all hosts' clocks, so that a clock that jumps moves nothing.
   */
  agreedWallTime(): number {
    const now = this.#parts.clock.now();
    const offsets = [
      this.#parts.wallTime() - now,
      ...this.#heardWithin(CLOCK_MILLISECONDS).flatMap(([, peer]) =>
        peer.wallOffset === undefined ? [] : [peer.wallOffset],
      ),
    ].toSorted((left, right) => left - right);
    const middle = offsets[Math.floor((offsets.length - 1) / 2)] ?? 0;
    return now + middle;
  }

  /** Sends news to the peers whose turn it is. */
  tell(): void {
    this.#lastRound = this.#parts.clock.now();
    const peers = [...this.#peers.values()];
    if (peers.length === 0) return;
    const datagram = encodeNews({
      ...this.#ownNews(),
      host: this.#parts.host,
      incarnation: this.#parts.incarnation,
      address: this.#transport.address,
      wallTime: this.#parts.wallTime(),
    });
    const count = Math.min(PEERS_EACH_ROUND, peers.length);
    const start = (this.#round * count) % peers.length;
    this.#round += 1;
    Array.from({ length: count }, (_, step) => step).forEach((step) => {
      const peer = peers[(start + step) % peers.length];
      if (peer !== undefined) this.#transport.send(peer.address, datagram);
    });
  }

  /** Takes in a datagram. */
  receive(datagram: Buffer): void {
    const news = decodeNews(datagram);
    if (news.isErr) {
      this.#parts.metrics.event("peer_news_malformed");
      this.#parts.logger.debug("peer news can't be read", {
        detail: news.error,
      });
      return;
    }
    if (news.value.host === this.#parts.host) return;
    const now = this.#parts.clock.now();
    const known = this.#peers.get(news.value.host);
    if (known?.address !== news.value.address) {
      this.#parts.logger.info("host joined", {
        peer: news.value.host,
        address: news.value.address,
      });
    }
    this.#peers.set(news.value.host, {
      address: news.value.address,
      heardAt: now,
      listedAt: known?.listedAt ?? now,
      wallOffset: news.value.wallTime - now,
      stopping: news.value.stopping,
    });
    // After a pause of this process, messages may be as old as the pause.
    const paused = now - this.#lastRound > PAUSE_MILLISECONDS;
    this.#onNews(
      paused ? { ...news.value, configurationAge: undefined } : news.value,
    );
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await Promise.all(
      this.#repetitions.map((repetition) => repetition[Symbol.asyncDispose]()),
    );
    await this.#transport[Symbol.asyncDispose]();
  }

  #heardWithin(milliseconds: number): readonly (readonly [string, Peer])[] {
    const oldest = this.#parts.clock.now() - milliseconds;
    return [...this.#peers].filter(([, peer]) => peer.heardAt >= oldest);
  }

  async #list(): Promise<void> {
    const { store, hostsPrefix } = this.#parts;
    const listed = await store.list(hostsPrefix);
    if (listed.isErr) {
      this.#parts.metrics.event("host_list_failed");
      return;
    }
    const own = `${hostsPrefix}${this.#parts.host}`;
    listed.value.objects
      .filter((object) => object.key !== own)
      .forEach((object) =>
        this.#listedHost(object.key.slice(hostsPrefix.length), object.value),
      );
    const registered = listed.value.objects.find(
      (object) => object.key === own,
    );
    const value = JSON.stringify({ address: this.#transport.address });
    const current = addressOf(registered?.value);
    if (current === this.#transport.address) {
      this.#listed = true;
      this.#lists += 1;
      return;
    }
    const put = await store.put(own, value, {
      expected: registered?.version ?? "absent",
    });
    this.#listed = put.isOk;
  }

  #listedHost(name: string, value: string): void {
    const address = addressOf(value);
    if (address === undefined || this.#peers.has(name)) return;
    this.#peers.set(name, {
      address,
      heardAt: -Infinity,
      listedAt: this.#parts.clock.now(),
      wallOffset: undefined,
      stopping: false,
    });
    this.#onListed(name);
  }
}

function addressOf(value: string | undefined): string | undefined {
  if (value === undefined) return undefined;
  const parsed = parseJson(value);
  if (parsed.isErr) return undefined;
  const checked = HOST_SCHEMA.safeParse(parsed.value);
  return checked.success ? checked.data.address : undefined;
}
