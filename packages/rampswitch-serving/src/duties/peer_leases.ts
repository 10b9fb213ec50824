// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The leases that peers report, for a relay that forwards them. Only hosts that hold the
 * duties, or gave them up, report one.
 *
 * @module
 */
import type { Clock } from "rampswitch-utils";
import type { LeaseUpdate } from "../membership/peer_messages.ts";

/** Time for which a received lease is forwarded, in milliseconds. */
const LIFETIME_MILLISECONDS = 3_000;

/** A peer's lease and when this host received it. */
interface ReceivedLease {
  readonly lease: LeaseUpdate;
  readonly receivedAt: number;
}

/** The newest lease of each peer. */
export class PeerLeases {
  readonly #clock: Clock;
  readonly #leases = new Map<string, ReceivedLease>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Number of peers whose leases are retained. */
  get knownPeers(): number {
    return this.#leases.size;
  }

  /** Records the lease that a peer reports. */
  receive(peer: string, lease: LeaseUpdate): void {
    if (!this.#leases.has(peer)) this.#forgetOld();
    this.#leases.set(peer, { lease, receivedAt: this.#clock.now() });
  }

  /** Leases that were reported recently. */
  get recent(): readonly LeaseUpdate[] {
    return [...this.#leases.values()]
      .filter((received) => this.#isRecent(received))
      .map(({ lease }) => lease);
  }

  #forgetOld(): void {
    [...this.#leases]
      .filter(([, received]) => !this.#isRecent(received))
      .forEach(([peer]) => this.#leases.delete(peer));
  }

  #isRecent({ receivedAt }: ReceivedLease): boolean {
    return this.#clock.now() - receivedAt < LIFETIME_MILLISECONDS;
  }
}
