// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Whether a host may take new work with the configuration that it has.
 *
 * @module
 */

/** What a host knows about the age of its configuration. */
export interface FreshnessInputs {
  readonly now: number;
  /** When somebody last confirmed that this revision is the head. */
  readonly confirmedAt: number | undefined;
  /** Other entry hosts that should be there. */
  readonly peersKnown: number;
  /** Other entry hosts heard from within the limit. */
  readonly peersHeard: number;
  /** Of those, the ones that reach the store. */
  readonly peersReachingStore: number;
}

/** Limits of freshness. */
export interface FreshnessLimits {
  readonly milliseconds: number;
  /** Whether a group smaller than half of the hosts takes new work. */
  readonly minorityServes: boolean;
}

/**
 * `fresh`: confirmed within the limit. `store_down`: nobody within reach sees
 * the store and they are at least half, so nothing can be accepted elsewhere
 * by a larger group. `isolated`: a change may be in force elsewhere.
 * `never`: no configuration was ever confirmed here.
 */
export type Freshness = "fresh" | "store_down" | "isolated" | "never";

/** Judges the freshness of a host's configuration. */
export function judgeFreshness(
  inputs: FreshnessInputs,
  limits: FreshnessLimits,
): Freshness {
  if (inputs.confirmedAt === undefined) return "never";
  if (inputs.now - inputs.confirmedAt <= limits.milliseconds) return "fresh";
  if (inputs.peersReachingStore > 0) return "isolated";
  const groupSize = inputs.peersHeard + 1;
  const fleetSize = inputs.peersKnown + 1;
  const largeEnough = limits.minorityServes
    ? inputs.peersHeard > 0 || inputs.peersKnown === 0
    : groupSize * 2 >= fleetSize;
  return largeEnough ? "store_down" : "isolated";
}

/** Whether a freshness allows new work. */
export const TAKES_NEW_WORK: Readonly<Record<Freshness, boolean>> = {
  fresh: true,
  store_down: true,
  isolated: false,
  never: false,
};
