// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Leases in the platform's store, with an epoch that grows with each holder so
 * that orders of a former holder can be told apart.
 *
 * @module
 */
import type { BackendContract } from "rampswitch-types";

/** Value of a lease object. */
export interface Lease {
  readonly holder: string;
  /** Grows by one with each change of holder. */
  readonly epoch: number;
  /** Milliseconds since the epoch, by the holder's clock. */
  readonly expiresAt: number;
  /** End of the former holder's lease; its orders may still arrive. */
  readonly formerExpiresAt: number;
}

/** What to do with a lease object. */
export type LeaseDecision =
  | { readonly kind: "write"; readonly lease: Lease }
  | { readonly kind: "wait"; readonly until: number };

/** Who asks for a lease, and on what terms. */
export interface LeaseTerms {
  readonly self: string;
  readonly now: number;
  readonly durationMilliseconds: number;
  /** Largest difference between the clocks of two hosts. */
  readonly clockSkewMilliseconds: number;
}

/** Decides whether to take, renew or wait for a lease. */
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

/** Whether a host may act under a lease at a time. */
export function holds(lease: Lease | undefined, terms: LeaseTerms): boolean {
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

/** An order under a lease. */
export interface Order {
  readonly kind: OrderKind;
  readonly name: string;
  readonly holder: string;
  readonly epoch: number;
}

/** Whether an order does no harm when it arrives late. */
export const HARMLESS_WHEN_LATE: Readonly<Record<OrderKind, boolean>> = {
  load_model: false,
  load_adapter: true,
  load_version: false,
  change_role: false,
};

/** What to do with an order now. */
export type OrderDecision =
  | { readonly kind: "send" }
  | { readonly kind: "wait"; readonly until: number }
  | { readonly kind: "withhold" };

/** Longest time that an order can be on its way, in milliseconds. */
export const MAXIMUM_ORDER_DELIVERY_MILLISECONDS = 5_000;

/**
 * Decides whether an order may go to a backend server. One that checks the
 * epoch gets it at once; another gets harmless orders at once and all others
 * after the former holder's lease and the flight of its orders are over, and
 * none in the last flight time of this lease.
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
  if (!holds(lease, terms)) return { kind: "withhold" };
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
