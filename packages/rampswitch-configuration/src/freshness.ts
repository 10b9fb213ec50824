// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Decides whether a host's configuration is fresh enough to take new work.
 *
 * @module
 */

/** Inputs of the freshness of a host's configuration. */
export interface FreshnessInputs {
  readonly now: number;
  /**
   * When this revision was last confirmed to be the head; `undefined` if it
   * never was.
   */
  readonly confirmedAt: number | undefined;
  /** Number of other entry hosts that are expected. */
  readonly peersKnown: number;
  /** Number of other entry hosts from which gossip was received in time. */
  readonly peersInContact: number;
  /** Number of these hosts that reach the store. */
  readonly peersReachingStore: number;
}

/** Limits of the freshness. */
export interface FreshnessLimits {
  /** Maximum time since the configuration was confirmed. */
  readonly milliseconds: number;
  /** Whether a group smaller than half of the hosts takes new work. */
  readonly minorityServes: boolean;
}

/**
 * Freshness of a host's configuration:
 *
 * - `fresh`: confirmed within the limit.
 * - `store_down`: none of the hosts in contact reaches the store, and they are
 *   at least half of all hosts, so that no larger group can accept a change.
 * - `isolated`: a change may be in force on other hosts.
 * - `never`: no configuration was ever confirmed on this host.
 */
export type Freshness = "fresh" | "store_down" | "isolated" | "never";

/** Evaluates the freshness of a host's configuration. */
export function evaluateFreshness(
  inputs: FreshnessInputs,
  limits: FreshnessLimits,
): Freshness {
  if (inputs.confirmedAt === undefined) return "never";
  if (inputs.now - inputs.confirmedAt <= limits.milliseconds) return "fresh";
  if (inputs.peersReachingStore > 0) return "isolated";
  const groupSize = inputs.peersInContact + 1;
  const fleetSize = inputs.peersKnown + 1;
  const largeEnough = limits.minorityServes
    ? inputs.peersInContact > 0 || inputs.peersKnown === 0
    : groupSize * 2 >= fleetSize;
  return largeEnough ? "store_down" : "isolated";
}

/** Whether a host takes new work, by the freshness of its configuration. */
export const TAKES_NEW_WORK: Readonly<Record<Freshness, boolean>> = {
  fresh: true,
  store_down: true,
  isolated: false,
  never: false,
};
