// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Acquires and renews a lease in the platform's store.
 *
 * @module
 */
import {
  decideLease,
  isLeaseHolder,
  type Lease,
  type LeaseTerms,
} from "rampswitch-configuration";
import { changeObject, type ObjectStore } from "rampswitch-store";
import type { Clock, Metrics, Random } from "rampswitch-utils";

/** Key prefix of all lease objects. */
export const LEASE_PREFIX = "leases/";

const WRITE_ATTEMPTS = 3;

/** Options of {@link LeaseKeeper}. */
export interface LeaseKeeperOptions {
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly random: Random;
  readonly metrics: Metrics;
  /** Identity of this process; a later process of the host differs. */
  readonly self: string;
  readonly clockSkewMilliseconds: number;
  readonly leaseMilliseconds: number;
}

/** Acquires one lease and renews it as long as possible. */
export class LeaseKeeper {
  readonly #options: LeaseKeeperOptions;
  readonly #key: string;
  #lease: Lease | undefined;
  #waitUntil = 0;

  constructor(name: string, options: LeaseKeeperOptions) {
    this.#options = options;
    this.#key = `${LEASE_PREFIX}${name}`;
  }

  /** The lease, or undefined while this host does not hold it. */
  get held(): Lease | undefined {
    return isLeaseHolder(this.#lease, this.terms) ? this.#lease : undefined;
  }

  /** The terms for a decision on the lease at the current time. */
  get terms(): LeaseTerms {
    const { self, clock, clockSkewMilliseconds, leaseMilliseconds } =
      this.#options;
    return {
      self,
      now: clock.now(),
      durationMilliseconds: leaseMilliseconds,
      clockSkewMilliseconds,
    };
  }

  /**
   * Acquires or renews the lease if that is due: a held lease after half of its
   * duration, a lease of another holder once it can be taken.
   */
  async acquireOrRenew(): Promise<Lease | undefined> {
    const { clock, random, store, metrics, leaseMilliseconds } = this.#options;
    const now = clock.now();
    const held = this.held;
    const renewalNotDue =
      held !== undefined && held.expiresAt - now > leaseMilliseconds / 2;
    if (renewalNotDue || now < this.#waitUntil) return this.held;
    let wanted: Lease | undefined;
    const settled = await changeObject<Lease | undefined>(
      store,
      {
        key: this.#key,
        attempts: WRITE_ATTEMPTS,
        decide: (current) => {
          const found =
            current === undefined
              ? undefined
              : (JSON.parse(current.value) as Lease);
          if (wanted !== undefined && isSameLease(found, wanted)) {
            return { kind: "keep", refusal: found };
          }
          const decision = decideLease(found, this.terms);
          if (decision.kind === "wait") {
            this.#waitUntil = Math.min(decision.until, now + leaseMilliseconds);
            return { kind: "keep", refusal: found };
          }
          wanted = decision.lease;
          return { kind: "write", value: JSON.stringify(wanted) };
        },
      },
      { clock, random },
    );
    metrics.count("lease", settled.kind);
    if (settled.kind === "written") this.#lease = wanted;
    if (settled.kind === "kept") this.#lease = settled.refusal;
    return this.held;
  }
}

function isSameLease(left: Lease | undefined, right: Lease): boolean {
  return (
    left?.holder === right.holder &&
    left.epoch === right.epoch &&
    left.expiresAt === right.expiresAt
  );
}
