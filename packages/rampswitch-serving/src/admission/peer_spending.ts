// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * What the other hosts have admitted, as they or a relay tell, and which share
 * of the limits those may be spending that are not heard.
 *
 * @module
 */
import type { SpendingPace } from "./spending_pacer.ts";

/**
 * Hosts that a host takes there to be before it has read the list of hosts. All
 * may have started at once, and each would take a whole bucket for its own.
 */
const HOSTS_BEFORE_LIST = 32;

/**
 * Peers silent for longer than this are taken to be gone, if most others are
 * heard; in milliseconds. Several times the longest cut that hosts are known to
 * serve through.
 */
const PEER_GONE_MILLISECONDS = 30_000;

/**
 * The same for a host that hears few of the others: it may be the one that is
 * cut off, and waits longer.
 */
const MOST_GONE_MILLISECONDS = 60_000;

/**
 * Silence after which a peer is taken to be gone, in milliseconds, where so many of
 * all peers are heard.
 */
export function goneAfterMilliseconds(heard: number, peers: number): number {
  return heard * 2 < peers ? MOST_GONE_MILLISECONDS : PEER_GONE_MILLISECONDS;
}

interface FollowedRelay {
  readonly heardAt: number;
  readonly hosts: number;
  readonly silentShare: number;
}

interface PeerSpending {
  /** `undefined` before the peer told anything. */
  readonly incarnation: string | undefined;
  /** Total that the peer has told for each workspace since its start. */
  readonly totals: ReadonlyMap<string, number>;
  readonly heardAt: number;
  readonly stopping: boolean;
}

/** What a host has admitted for each workspace since its start, in tokens. */
export type AdmittedTotals = Readonly<Record<string, number>>;

/** A peer's word on its own spending. */
export interface SpendingNews {
  readonly incarnation: string;
  readonly totals: AdmittedTotals;
  /** Whether the peer is about to end and to spend nothing more. */
  readonly stopping: boolean;
}

/** The other hosts as spenders of the limits. */
export class PeerSpenders {
  readonly #peers = new Map<string, PeerSpending>();
  /** Set while this host hears of the others by a relay alone. */
  #relay: FollowedRelay | undefined;
  /** Whether the list of hosts was read. */
  #listed = false;
  #pace: SpendingPace;

  constructor(pace: SpendingPace) {
    this.#pace = pace;
  }

  /** Changes how old the news of others may be. */
  setPace(pace: SpendingPace): void {
    this.#pace = pace;
  }

  /** Takes in that the list of hosts was read. */
  hostsListed(): void {
    this.#listed = true;
  }

  /** Takes in that a peer is listed that has told nothing yet. */
  expected(peer: string, now: number): void {
    if (this.#peers.has(peer)) return;
    this.#peers.set(peer, {
      incarnation: undefined,
      totals: new Map(),
      heardAt: now - this.#pace.silence,
      stopping: false,
    });
  }

  /** Takes in what a peer has admitted; returns what is new of it. */
  heard(
    peer: string,
    news: SpendingNews,
    now: number,
  ): ReadonlyMap<string, number> {
    const before = this.#peers.get(peer);
    const sameLife = before?.incarnation === news.incarnation;
    const totals = new Map(Object.entries(news.totals));
    this.#peers.set(peer, {
      incarnation: news.incarnation,
      totals,
      heardAt: now,
      stopping: news.stopping,
    });
    // What was spent before the first news is in the levels that others tell.
    if (before?.incarnation === undefined) return new Map();
    const known = sameLife ? before.totals : new Map<string, number>();
    return new Map(
      [...totals].map(([name, total]) => [
        name,
        total - (known.get(name) ?? 0),
      ]),
    );
  }

  /** Hears of the other hosts from themselves from now on. */
  followPeers(): void {
    if (this.#relay === undefined) return;
    this.#relay = undefined;
    // What peers spent meanwhile is in the levels that the relay told.
    this.#peers.forEach((peer, name) =>
      this.#peers.set(name, { ...peer, incarnation: undefined }),
    );
  }

  /**
   * Hears of the other hosts by a relay's word alone from now on; without a
   * share, the relay has not heard the others itself.
   */
  followRelay(
    told: { readonly hosts: number; readonly silentShare: number | undefined },
    now: number,
  ): void {
    const { hosts } = told;
    const silentShare = told.silentShare ?? evenSilentShare(hosts);
    this.#relay = { hosts, silentShare, heardAt: now };
  }

  /** Hosts that may be admitting, this one included. */
  hosts(now: number): number {
    return this.#relay?.hosts ?? this.#spenders(now).length + 1;
  }

  /** Share of the fleet's limits that silent peers may be spending. */
  silentShare(now: number): number {
    const relay = this.#relay;
    if (relay !== undefined) {
      const heard = now - relay.heardAt < this.#pace.silence;
      return heard ? relay.silentShare : evenSilentShare(relay.hosts);
    }
    if (!this.#listed) return evenSilentShare(HOSTS_BEFORE_LIST);
    const spenders = this.#spenders(now);
    const silent = spenders.filter((peer) => this.#isSilent(peer, now)).length;
    return silent / (spenders.length + 1);
  }

  /** Peers that may be spending. */
  #spenders(now: number): readonly PeerSpending[] {
    const peers = [...this.#peers.values()].filter((peer) => !peer.stopping);
    const heard = peers.filter((peer) => !this.#isSilent(peer, now)).length;
    const gone = goneAfterMilliseconds(heard, peers.length);
    return peers.filter((peer) => now - peer.heardAt < gone);
  }

  #isSilent(peer: PeerSpending, now: number): boolean {
    return now - peer.heardAt >= this.#pace.silence;
  }
}

/** Share of all hosts but one, none of which is heard. */
function evenSilentShare(hosts: number): number {
  return 1 - 1 / Math.max(1, hosts);
}
