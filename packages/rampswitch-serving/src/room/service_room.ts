// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The room of a service: how much work its servers can take within the lag of the
 * information that hosts have of each other. Pure.
 *
 * @module
 */
import { boundedLoad } from "../choice/slot_admission.ts";
import { boundedSlowdown } from "../estimates/mod.ts";

/** One server that accepts requests. */
export interface ServerRoom {
  readonly slots: number;
  /** Requests that run and wait there, from all hosts; each counts once. */
  readonly load: number;
  /** Those of this host. */
  readonly ownLoad: number;
  /** Factor by which work takes longer than usual; 1 if unknown. */
  readonly slowdown: number;
}

/** Room of a service. */
export interface ServiceRoom {
  readonly slots: number;
  /** Requests at the servers; at each at most twice its slots. */
  readonly load: number;
  /**
   * The same; more if this host has more there than its part of them. Reports of other
   * hosts are old, the host's own requests are known at once.
   */
  readonly knownLoad: number;
  /** Room per millisecond, in slots; never negative. */
  readonly perMillisecond: number;
  /** Whether this host's part of the slots is taken. */
  readonly isFull: boolean;
  /** Whether so much of it is taken that demand above the room counts. */
  readonly isNearlyFull: boolean;
  /** This host's part in the slots that are free or become free, in slot milliseconds. */
  ownAllowance(milliseconds: number): number;
}

/** What the room depends on beside the servers. */
export interface RoomInputs {
  /** Mean time for which a request holds a slot, in milliseconds. */
  readonly holdMilliseconds: number;
  readonly lagMilliseconds: number;
  /** Part of the admitted work that is this host's, 0 to 1. */
  readonly ownPart: number;
  /** Factor by which slots become free sooner than expected. */
  readonly growth: number;
}

/**
 * Share of the slots that is to be taken while capacity is short. Each request that waits
 * at a server delays all behind it and completes none sooner; with all slots taken on
 * average, half of the requests wait. With 8 slots a server, 0.95 of the slots are used.
 */
const KEPT_SHARE = 0.97;

/**
 * Share of the difference from that which is corrected within one lag. Since the load is
 * known one lag late, a share of 1 makes the load swing between empty and overfull.
 */
const CORRECTION_SHARE = 0.2;

/** The same for the host's own requests beside its part, which it knows at once. */
const OWN_CORRECTION_SHARE = 0.5;

/** Maximum cut of the room by that correction, as a share of the slots that become free. */
const MAXIMUM_OWN_CUT = 0.4;

/**
 * Slots in a host's part from which on its own correction counts in full. With less, one
 * request more or less would change the room by a large share.
 */
const TRUSTED_SLOTS = 4;

/** Share of the slots below which free slots are filled within one lag. */
const FILLED_AT_ONCE_BELOW = 0.75;

/** Growth before any request was refused. */
export const INITIAL_GROWTH = 1;

/**
 * Maximum growth: the initial estimate of hold times, 1,000 ms, is that much too long
 * for requests of 125 ms.
 */
const MAXIMUM_GROWTH = 8;

/** Factors of the growth at each computation of the room. */
const GROWTH_STEP = 1.25;
const SHRINKAGE_STEP = 1.05;

/** Share of the slots below which refusals let the room grow. */
const UNUSED_BELOW = 0.9;

/**
 * Share of the slots from which on demand above the room makes capacity short. Below it,
 * the demand or the hold times are estimated too high: no request may be refused while
 * half of the slots are free.
 */
const NEARLY_FULL_SHARE = 0.75;

/** Minimum part of a host that is computed with. */
const MINIMUM_PART = 1e-6;

/** Computes the room of a service. */
export function roomOfServers(
  servers: readonly ServerRoom[],
  inputs: RoomInputs,
): ServiceRoom {
  const { holdMilliseconds, lagMilliseconds } = inputs;
  const { slots, load, ownLoad, served } = totalsOf(servers);
  const part = Math.max(inputs.ownPart, MINIMUM_PART);
  const kept = KEPT_SHARE * slots;
  const freed = (inputs.growth * served * lagMilliseconds) / holdMilliseconds;
  const trust = Math.min(1, (part * slots) / TRUSTED_SLOTS);
  const ownCorrection = Math.max(
    OWN_CORRECTION_SHARE * trust * (kept - ownLoad / part),
    -MAXIMUM_OWN_CUT * freed,
  );
  const filled =
    CORRECTION_SHARE * (kept - load) +
    (1 - CORRECTION_SHARE) * Math.max(0, FILLED_AT_ONCE_BELOW * slots - load) +
    ownCorrection;
  const requests = Math.max(0, freed + filled);
  const knownLoad = trust < 1 ? load : Math.max(load, ownLoad / part);
  return {
    slots,
    load,
    knownLoad,
    perMillisecond: (requests * holdMilliseconds) / lagMilliseconds,
    isFull: knownLoad >= slots,
    isNearlyFull: knownLoad >= NEARLY_FULL_SHARE * slots,
    ownAllowance: (milliseconds) =>
      part *
      (Math.max(0, slots - knownLoad) * holdMilliseconds +
        served * milliseconds),
  };
}

/**
 * Growth of the room after one more computation. If requests are refused while slots are
 * unused, work takes less time than estimated, and the room grows; it shrinks again once
 * requests wait at the servers.
 */
export function grownBy(
  growth: number,
  { slots, load, knownLoad }: ServiceRoom,
  isUnused: boolean,
): number {
  if (isUnused) return Math.min(MAXIMUM_GROWTH, growth * GROWTH_STEP);
  return Math.min(knownLoad, load) > slots
    ? Math.max(INITIAL_GROWTH, growth / SHRINKAGE_STEP)
    : growth;
}

/** Whether so few slots are taken that no request should be refused. */
export function hasUnusedSlots({ slots, knownLoad }: ServiceRoom): boolean {
  return knownLoad < UNUSED_BELOW * slots;
}

function totalsOf(servers: readonly ServerRoom[]): {
  readonly slots: number;
  readonly load: number;
  readonly ownLoad: number;
  /** Slots, each divided by the slowdown of its server. */
  readonly served: number;
} {
  const totals = { slots: 0, load: 0, ownLoad: 0, served: 0 };
  servers.forEach((server) => {
    const load = boundedLoad(server);
    totals.slots += server.slots;
    totals.load += load;
    totals.ownLoad += Math.min(server.ownLoad, load);
    totals.served += server.slots / boundedSlowdown(server.slowdown);
  });
  return totals;
}
