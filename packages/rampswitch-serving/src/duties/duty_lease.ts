// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Decisions about the lease of the duties, without store or clock. One object
 * in the store names the holder; its fence rises with each holder. Hosts never
 * compare their clocks: other hosts count from when they observed a change of
 * the object, and the holder counts from when it sent its last successful
 * renewal.
 *
 * @module
 */

import { positionOf } from "rampswitch-store";
import { type FinalUsage, mergeFinalUsage } from "./final_usage.ts";
import type { IncarnationCounts } from "./usage_counter.ts";

/** Value of the lease object. */
export interface DutyLease {
  readonly holder: string;
  /** Incarnation of the holder's process. */
  readonly incarnation: string;
  readonly fence: number;
  /** Era of the store in which it was written. */
  readonly era: number;
  /**
   * Counts renewals. A write that changes nothing does not raise the version in
   * the store, so without this counter other hosts could not observe a renewal.
   */
  readonly renewals: number;
  /** Whether the holder gave the lease up. */
  readonly released: boolean;
  /** Counts of windows that are not final, by incarnation. */
  readonly counts: IncarnationCounts;
  /** Usage that is final; its windows stay final in every later lease. */
  readonly final: FinalUsage;
}

/** Times of the lease, in milliseconds. */
export interface LeaseTimes {
  /** Without a change for this long, others may take the lease. */
  readonly duration: number;
  /** The holder acts only this long after it sent a renewal. */
  readonly acting: number;
  readonly renewal: number;
  /** Wait before acting on a lease that was given up by another host. */
  readonly afterRelease: number;
}

/** The lease object as last observed. */
export interface ObservedLease {
  readonly lease: DutyLease | undefined;
  /** Store version; `undefined` while there is no object. */
  readonly version: number | undefined;
  /** When this version was first observed, on the monotonic clock. */
  readonly since: number;
}

/** What a host knows about the history of the store. */
export interface StoreHistory {
  readonly era: number;
  /** Whether it was restored from a copy since this host started. */
  readonly wasRestored: boolean;
}

/** Era of a store that was never restored from a copy. */
const FIRST_ERA = 1;

/**
 * Whether later leases than the observed one, or than none, may have existed
 * and been lost, because the store was restored from a copy since.
 */
export function isPossiblySuperseded(
  { lease }: ObservedLease,
  { era, wasRestored }: StoreHistory,
): boolean {
  return lease === undefined
    ? wasRestored || era > FIRST_ERA
    : lease.era !== era;
}

/** What a host that is not the holder does about the lease. */
export type TakeDecision =
  | { readonly kind: "take"; readonly canActAt: number }
  | { readonly kind: "wait" };

/** Decides whether to take a lease that another process held. */
export function decideTake(
  observed: ObservedLease,
  self: { readonly host: string; readonly incarnation: string },
  options: {
    readonly now: number;
    readonly times: LeaseTimes;
    readonly history: StoreHistory;
  },
): TakeDecision {
  const { now, times, history } = options;
  const decision = decideTakeInEra(observed, self, { now, times });
  if (decision.kind === "wait" || !isPossiblySuperseded(observed, history))
    return decision;
  // The holder of a lost lease continues until its lease expires.
  const canActAt = Math.max(decision.canActAt, now + times.duration);
  return { kind: "take", canActAt };
}

function decideTakeInEra(
  observed: ObservedLease,
  self: { readonly host: string; readonly incarnation: string },
  options: { readonly now: number; readonly times: LeaseTimes },
): TakeDecision {
  const { now, times } = options;
  const { lease } = observed;
  if (lease === undefined) {
    // The holder of a lease that was corrupted since may still act.
    return observed.version === undefined ||
      now - observed.since >= times.duration
      ? { kind: "take", canActAt: now }
      : { kind: "wait" };
  }
  if (lease.holder === self.host) {
    // A former process of this host has ended; its fence is never used again.
    return { kind: "take", canActAt: now };
  }
  if (lease.released) {
    return { kind: "take", canActAt: now + times.afterRelease };
  }
  return now - observed.since >= times.duration
    ? { kind: "take", canActAt: now }
    : { kind: "wait" };
}

/**
 * Returns the lease that a host writes to become the holder, from the newest
 * lease that it read. The store's position rises with each new fence. Earlier
 * fences therefore can't exceed the position of an object that can't be read,
 * nor the first position of a later era, and the new fence lies above both.
 */
export function newLease(
  observed: ObservedLease,
  self: { readonly host: string; readonly incarnation: string },
  known: {
    readonly lastRead: DutyLease | undefined;
    readonly history: StoreHistory;
  },
): DutyLease {
  const { lease, version } = observed;
  const { lastRead, history } = known;
  const { era } = history;
  const former = lease ?? lastRead;
  const unreadableVersion = lease === undefined ? (version ?? 0) : 0;
  const isFirstLease = former === undefined && version === undefined;
  const isUnknown = lease === undefined && !isFirstLease;
  const final = mergeFinalUsage(lease?.final, lastRead?.final);
  const fences = [lease?.fence, lastRead?.fence, unreadableVersion];
  return {
    holder: self.host,
    incarnation: self.incarnation,
    fence: Math.max(positionOf(era, 0), ...fences.map((one) => one ?? 0)) + 1,
    era,
    renewals: 0,
    released: false,
    counts: former?.counts ?? {},
    // Windows that were final in a lost lease may have been reported.
    final:
      isUnknown || isPossiblySuperseded(observed, history)
        ? { ...final, incomplete: true }
        : final,
  };
}

/** Whether a holder may act at a time. */
export function canAct(
  held: { readonly canActAt: number },
  options: {
    readonly now: number;
    /** Minimum time since the last renewal that took effect was sent. */
    readonly renewalAge: number;
    readonly times: LeaseTimes;
  },
): boolean {
  const { now, renewalAge, times } = options;
  return now >= held.canActAt && renewalAge < times.acting;
}
