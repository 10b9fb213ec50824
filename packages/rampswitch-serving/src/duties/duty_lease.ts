// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The lease of the duties: decisions without store or clock. One object in the
 * store names the holder; its fence rises with each holder. No host compares
 * clocks: who watches counts from when it saw the object change, and the holder
 * counts from when it sent its last successful renewal.
 *
 * @module
 */

import { type FinalUsage, NO_FINAL_USAGE } from "./final_usage.ts";
import type { LifeCounts } from "./usage_counter.ts";

/** Value of the lease object. */
export interface DutyLease {
  readonly holder: string;
  /** Life of the holder's process. */
  readonly incarnation: string;
  readonly fence: number;
  /**
   * Counts renewals. A write that changes nothing raises no version in the
   * store, so without it a renewal could not be seen.
   */
  readonly renewals: number;
  /** Whether the holder gave the lease up. */
  readonly released: boolean;
  /** Counts of windows that are not final, by life of a process. */
  readonly counts: LifeCounts;
  /** Usage that is final; its windows stay so in every later lease. */
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

/** The lease object as last seen. */
export interface SeenLease {
  readonly lease: DutyLease | undefined;
  /** Store version; `undefined` while there is no object. */
  readonly version: number | undefined;
  /** When this version was first seen, on the steady clock. */
  readonly since: number;
}

/** What a host that is not the holder does about the lease. */
export type TakeDecision =
  | { readonly kind: "take"; readonly mayActAt: number }
  | { readonly kind: "wait" };

/** Decides whether to take a lease that another process held. */
export function decideTake(
  seen: SeenLease,
  self: { readonly host: string; readonly incarnation: string },
  options: { readonly now: number; readonly times: LeaseTimes },
): TakeDecision {
  const { now, times } = options;
  const { lease } = seen;
  if (lease === undefined) {
    // Whoever held a lease that was spoilt since may still act.
    return seen.version === undefined || now - seen.since >= times.duration
      ? { kind: "take", mayActAt: now }
      : { kind: "wait" };
  }
  if (lease.holder === self.host) {
    // A former process of this host is gone; its fence is never used again.
    return { kind: "take", mayActAt: now };
  }
  if (lease.released) {
    return { kind: "take", mayActAt: now + times.afterRelease };
  }
  return now - seen.since >= times.duration
    ? { kind: "take", mayActAt: now }
    : { kind: "wait" };
}

/**
 * The lease that a host writes to become its holder, from the newest that it read.
 * Each new fence is written with a higher version of the store, so above the
 * version of an object that can't be read lies no fence of before.
 */
export function takenLease(
  { lease, version }: SeenLease,
  self: { readonly host: string; readonly incarnation: string },
  lastRead: DutyLease | undefined,
): DutyLease {
  const seen = lease ?? lastRead;
  const unreadable = lease === undefined ? (version ?? 0) : 0;
  const isFirst = seen === undefined && version === undefined;
  const final = seen?.final ?? NO_FINAL_USAGE;
  return {
    holder: self.host,
    incarnation: self.incarnation,
    fence: Math.max(seen?.fence ?? 0, unreadable) + 1,
    renewals: 0,
    released: false,
    counts: seen?.counts ?? {},
    // What an object held that can't be read or is gone may have been reported.
    final:
      lease === undefined && !isFirst ? { ...final, incomplete: true } : final,
  };
}

/** Whether a holder may act at a time. */
export function mayAct(
  held: { readonly mayActAt: number },
  options: {
    readonly now: number;
    /** Time since the last renewal that took effect was sent, at least. */
    readonly renewalAge: number;
    readonly times: LeaseTimes;
  },
): boolean {
  const { now, renewalAge, times } = options;
  return now >= held.mayActAt && renewalAge < times.acting;
}
