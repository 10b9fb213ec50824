// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Tracks what the other hosts have admitted, as they or a relay report it, and
 * which share of the limits the silent hosts may be consuming.
 *
 * @module
 */
import { silentPeers } from "../model/silent_peers.ts";
import type { GossipTiming } from "./consumption_pacer.ts";

/**
 * Number of hosts that is assumed before the list of hosts was read. All hosts
 * may have started at once, and without an assumption each would treat a whole
 * bucket as its own.
 */
const ASSUMED_HOSTS_BEFORE_LIST = 32;

/**
 * Silence after which a peer counts as gone while at least half of the peers
 * are active, in milliseconds. Several times the longest network cut during
 * which hosts are known to continue serving.
 */
const PEER_TIMEOUT_MILLISECONDS = 30_000;

/**
 * Silence after which a peer counts as gone while fewer than half of the peers
 * are active, in milliseconds. Longer, since this host may be the one that is
 * cut off.
 */
const ISOLATED_PEER_TIMEOUT_MILLISECONDS = 60_000;

/**
 * Silence after which a peer counts as gone, in milliseconds, given how many of
 * all peers are active (not silent).
 */
export function peerTimeoutMilliseconds(active: number, peers: number): number {
  return active * 2 < peers
    ? ISOLATED_PEER_TIMEOUT_MILLISECONDS
    : PEER_TIMEOUT_MILLISECONDS;
}

/** The newest report of a relay. */
interface FollowedRelay {
  readonly receivedAt: number;
  readonly hosts: number;
  readonly silentShare: number;
}

/** What one peer has consumed, as it last reported. */
interface PeerConsumption {
  /** `undefined` until the peer reports. */
  readonly incarnation: string | undefined;
  /** Tokens that the peer admitted for each workspace since its start. */
  readonly totals: ReadonlyMap<string, number>;
  readonly receivedAt: number;
  readonly stopping: boolean;
}

/** Tokens that a host has admitted for each workspace since its start. */
export type AdmittedTotals = Readonly<Record<string, number>>;

/** A peer's update on its own consumption. */
export interface ConsumptionUpdate {
  readonly incarnation: string;
  readonly totals: AdmittedTotals;
  /** Whether the peer is about to end and will consume nothing more. */
  readonly stopping: boolean;
}

/** Tracks the other hosts' consumption of the limits. */
export class PeerConsumptionTracker {
  readonly #peers = new Map<string, PeerConsumption>();
  /**
   * Set while this host receives updates about the others only from a relay.
   */
  #relay: FollowedRelay | undefined;
  /** Whether the list of hosts was read. */
  #listed = false;
  #timing: GossipTiming;

  constructor(timing: GossipTiming) {
    this.#timing = timing;
  }

  /** Changes how old the updates of other hosts may be. */
  setGossipTiming(timing: GossipTiming): void {
    this.#timing = timing;
  }

  /** Records that the list of hosts was read. */
  markHostsListed(): void {
    this.#listed = true;
  }

  /** Adds a listed peer that may not have reported yet. */
  addExpectedPeer(peer: string, now: number): void {
    if (this.#peers.has(peer)) return;
    this.#forgetSilent(now);
    this.#peers.set(peer, {
      incarnation: undefined,
      totals: new Map(),
      receivedAt: now - this.#timing.silence,
      stopping: false,
    });
  }

  /**
   * Records a peer's totals; returns the tokens of each workspace that were not
   * counted before.
   */
  receiveUpdate(
    peer: string,
    update: ConsumptionUpdate,
    now: number,
  ): ReadonlyMap<string, number> {
    const before = this.#peers.get(peer);
    const sameIncarnation = before?.incarnation === update.incarnation;
    const totals = new Map(Object.entries(update.totals));
    this.#peers.set(peer, {
      incarnation: update.incarnation,
      totals,
      receivedAt: now,
      stopping: update.stopping,
    });
    // Consumption before the first update is already part of the levels that
    // other hosts report.
    if (before?.incarnation === undefined) return new Map();
    const previousTotals = sameIncarnation
      ? before.totals
      : new Map<string, number>();
    return new Map(
      [...totals].map(([name, total]) => [
        name,
        total - (previousTotals.get(name) ?? 0),
      ]),
    );
  }

  /** Uses the updates of the other hosts themselves from now on. */
  followPeers(): void {
    if (this.#relay === undefined) return;
    this.#relay = undefined;
    // Consumption of peers in the meantime is already part of the levels that
    // the relay reported.
    this.#peers.forEach((peer, name) =>
      this.#peers.set(name, { ...peer, incarnation: undefined }),
    );
  }

  /**
   * Uses only the reports of a relay from now on. `silentShare` is `undefined`
   * if the relay has not received the updates of the others itself.
   */
  followRelay(
    view: { readonly hosts: number; readonly silentShare: number | undefined },
    now: number,
  ): void {
    const { hosts } = view;
    const silentShare = view.silentShare ?? otherHostsShare(hosts);
    this.#relay = { hosts, silentShare, receivedAt: now };
  }

  /** Number of peers that are retained. */
  get knownPeers(): number {
    return this.#peers.size;
  }

  /** Number of hosts that may be admitting, including this one. */
  hosts(now: number): number {
    return this.#relay?.hosts ?? this.#possibleConsumers(now).length + 1;
  }

  /** Share of the fleet's limits that silent peers may be consuming. */
  silentShare(now: number): number {
    const relay = this.#relay;
    if (relay !== undefined) {
      const isRecent = now - relay.receivedAt < this.#timing.silence;
      return isRecent ? relay.silentShare : otherHostsShare(relay.hosts);
    }
    if (!this.#listed) return otherHostsShare(ASSUMED_HOSTS_BEFORE_LIST);
    const consumers = this.#possibleConsumers(now);
    const silent = consumers.filter((peer) => this.#isSilent(peer, now)).length;
    return silent / (consumers.length + 1);
  }

  /** Peers that may be consuming: neither stopping nor gone. */
  #possibleConsumers(now: number): readonly PeerConsumption[] {
    this.#forgetSilent(now);
    const peers = [...this.#peers.values()].filter((peer) => !peer.stopping);
    const active = peers.filter((peer) => !this.#isSilent(peer, now)).length;
    const timeout = peerTimeoutMilliseconds(active, peers.length);
    return peers.filter((peer) => now - peer.receivedAt < timeout);
  }

  /** Forgets peers; until then each counts as one that this host should hear. */
  #forgetSilent(now: number): void {
    silentPeers(this.#peers, now).forEach((name) => this.#peers.delete(name));
  }

  #isSilent(peer: PeerConsumption, now: number): boolean {
    return now - peer.receivedAt >= this.#timing.silence;
  }
}

/** Share of all hosts but one, for when all of those are silent. */
function otherHostsShare(hosts: number): number {
  return 1 - 1 / Math.max(1, hosts);
}
