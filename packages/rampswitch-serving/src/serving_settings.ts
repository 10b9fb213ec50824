// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Settings of a serving host, independent of the file that they are read from.
 *
 * @module
 */

import type { LimitTolerance, ResendTerms } from "./admission/mod.ts";
import type { ExposureTerms } from "./rollout/mod.ts";

/** Bounds that the deployment sets; the unit is part of each name. */
export interface ServingBounds {
  /** Time from a planned stop to the forced end of the process. */
  readonly graceMilliseconds: number;
  /** Time for which a leaving backend server still serves, unless it reports one. */
  readonly drainMilliseconds: number;
  /** Whether removed keys must stop working within a bound. */
  readonly keysNeedConfirmation: boolean;
  /** Time after which a removed key must not work any more. */
  readonly keyRemovalMilliseconds: number;
  /** Resends that are allowed, as a share of the requests in a window. */
  readonly resendShare: number;
  /** Window of the budget of resends. */
  readonly resendWindowMilliseconds: number;
  /** Resends that are allowed in addition in each window. */
  readonly resendAllowance: number;
  /** Window over which limits of workspaces are evaluated. */
  readonly limitWindowMilliseconds: number;
  /** Share above a workspace's limit that is tolerated in a window. */
  readonly limitOverShare: number;
  /** Tokens that are tolerated in addition in a window. */
  readonly limitSlackTokens: number;
  /** Window of usage reports. */
  readonly usageWindowMilliseconds: number;
  /**
   * Shortest time in which one holder of the lease may act, then another, and then
   * the first again.
   */
  readonly leaseMilliseconds: number;
  /** Share of a service's requests that a version may get before its evaluation. */
  readonly exposureShare: number;
  /** Requests that it may get in addition, over the whole fleet. */
  readonly exposureSlack: number;
  /** Writes that the store takes from all hosts together, by second. */
  readonly storeWritesPerSecond: number;
}

/** The tolerated excess over the limits of workspaces. */
export function limitTolerance(bounds: ServingBounds): LimitTolerance {
  return {
    slackTokens: bounds.limitSlackTokens,
    excessShare: bounds.limitOverShare,
    windowMilliseconds: bounds.limitWindowMilliseconds,
  };
}

/** Terms of the fleet's budget of resends. */
export function resendTerms(bounds: ServingBounds): ResendTerms {
  return {
    share: bounds.resendShare,
    allowance: bounds.resendAllowance,
    windowMilliseconds: bounds.resendWindowMilliseconds,
  };
}

/** Terms under which a version that was not evaluated gets requests. */
export function exposureTerms(bounds: ServingBounds): ExposureTerms {
  return { share: bounds.exposureShare, slack: bounds.exposureSlack };
}

/** Bounds that take effect only at the next start. */
export const BOUNDS_FIXED_AT_START = [
  "drainMilliseconds",
  "leaseMilliseconds",
  "usageWindowMilliseconds",
] as const satisfies readonly (keyof ServingBounds)[];

/** Settings of one serving host. */
export interface ServingSettings {
  readonly host: string;
  readonly dataHall: string;
  /** Processor capacity of this host, in cores. */
  readonly cores: number;
  /** All data halls of the region or regions. */
  readonly dataHalls: readonly string[];
  readonly addresses: {
    readonly callers: string;
    readonly readiness: string;
    readonly metrics: string | undefined;
    readonly peers: string;
  };
  readonly bounds: ServingBounds;
}

/** Names of the bounds that differ. */
export function changedBounds(
  before: ServingBounds,
  after: ServingBounds,
): readonly string[] {
  const names = Object.keys(after) as (keyof ServingBounds)[];
  return names.filter((name) => before[name] !== after[name]);
}
