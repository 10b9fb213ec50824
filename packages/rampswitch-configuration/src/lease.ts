// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Leases in the platform's store. Their epoch increases with each new holder,
 * so that orders of a former holder can be recognized.
 *
 * @module
 */
import type { BackendContract } from "rampswitch-types";

/** Value of a lease object. */
export interface Lease {
  readonly holder: string;
  /** Increases by one each time that the lease is taken, but not when renewed. */
  readonly epoch: number;
  /** Milliseconds since the epoch, by the holder's clock. */
  readonly expiresAt: number;
  /**
   * When the former lease expired; orders under it may still arrive after that.
   * 0 for the first lease.
   */
  readonly formerExpiresAt: number;
}

/** Decision on a lease object. */
export type LeaseDecision =
  | { readonly kind: "write"; readonly lease: Lease }
  | { readonly kind: "wait"; readonly until: number };

/** The host that requests a lease, and the terms of the lease. */
export interface LeaseTerms {
  /** Name of this host as a holder. */
  readonly self: string;
  readonly now: number;
  readonly durationMilliseconds: number;
  /** Maximum difference between the clocks of two hosts. */
  readonly clockSkewMilliseconds: number;
}

/**
 * Decides whether to take a lease, to renew it or to wait for it. A host waits
 * until the former lease has expired by the clock of every host.
 */
export function decideLease(
  current: Lease | undefined,
  terms: LeaseTerms,
): LeaseDecision {
  const expiresAt = terms.now + terms.durationMilliseconds;
  if (current === undefined) {
    return write({
      holder: terms.self,
      epoch: 1,
      expiresAt,
      formerExpiresAt: 0,
    });
  }
  if (current.holder === terms.self && terms.now < current.expiresAt) {
    return write({ ...current, expiresAt });
  }
  const freeAt = current.expiresAt + terms.clockSkewMilliseconds;
  if (terms.now < freeAt) return { kind: "wait", until: freeAt };
  return write({
    holder: terms.self,
    epoch: current.epoch + 1,
    expiresAt,
    formerExpiresAt: current.expiresAt,
  });
}

function write(lease: Lease): LeaseDecision {
  return { kind: "write", lease };
}

/**
 * Whether this host may act under a lease now. The lease ends early by the clock
 * skew, so that no other host can hold it already.
 */
export function isLeaseHolder(
  lease: Lease | undefined,
  terms: LeaseTerms,
): boolean {
  return (
    lease?.holder === terms.self &&
    terms.now < lease.expiresAt - terms.clockSkewMilliseconds
  );
}

/** Kinds of orders to backend servers. */
export const ORDER_KINDS = [
  "load_model",
  "load_adapter",
  "load_version",
  "change_role",
] as const;

/** One kind of {@link ORDER_KINDS}. */
export type OrderKind = (typeof ORDER_KINDS)[number];

/** An order to a backend server under a lease. */
export interface Order {
  readonly kind: OrderKind;
  readonly name: string;
  readonly holder: string;
  readonly epoch: number;
}

/** Whether an order is harmless if it arrives late. */
export const HARMLESS_WHEN_LATE: Readonly<Record<OrderKind, boolean>> = {
  load_model: false,
  load_adapter: true,
  load_version: false,
  change_role: false,
};

/** Decision on sending an order now. */
export type OrderDecision =
  | { readonly kind: "send" }
  | { readonly kind: "wait"; readonly until: number }
  | { readonly kind: "withhold" };

/** Maximum time from sending an order to its arrival, in milliseconds. */
export const MAXIMUM_ORDER_DELIVERY_MILLISECONDS = 5_000;

/**
 * Decides whether an order may be sent to a backend server now. A server that
 * checks the epoch of orders gets each order at once. A server that does not
 * gets harmless orders at once; any other order is sent only when no order
 * under the former lease can arrive any more, and early enough to arrive before
 * this lease expires.
 */
export function decideOrder(
  kind: OrderKind,
  lease: Lease,
  options: {
    readonly contract: BackendContract;
    readonly terms: LeaseTerms;
  },
): OrderDecision {
  const { contract, terms } = options;
  if (!isLeaseHolder(lease, terms)) return { kind: "withhold" };
  if (contract.checksOrderEpoch || HARMLESS_WHEN_LATE[kind]) {
    return { kind: "send" };
  }
  const clearAt =
    lease.formerExpiresAt +
    terms.clockSkewMilliseconds +
    MAXIMUM_ORDER_DELIVERY_MILLISECONDS;
  if (lease.formerExpiresAt > 0 && terms.now < clearAt) {
    return { kind: "wait", until: clearAt };
  }
  return terms.now + MAXIMUM_ORDER_DELIVERY_MILLISECONDS >= lease.expiresAt
    ? { kind: "withhold" }
    : { kind: "send" };
}
