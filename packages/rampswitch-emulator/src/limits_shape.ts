// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Fleets before servers that name limits, the troubles that they meet, and ways to
 * keep the limits.
 *
 * @module
 */

/** How the hosts keep the limits together. */
export type LimitWay =
  /** Any host asks the one that gives turns. */
  | "asked"
  /** Only the host that gives turns sends. */
  | "one_host"
  /** Each host sends in its own slots. */
  | "own_slots"
  /** Each host takes an even share of the limit for itself, one at least. */
  | "even_share";

/** All ways, for comparisons. */
export const LIMIT_WAYS: readonly LimitWay[] = [
  "asked",
  "one_host",
  "own_slots",
  "even_share",
];

/** One run. */
export interface LimitsRun {
  readonly way: LimitWay;
  readonly hosts: number;
  /** Requests a second that each server takes at first. */
  readonly perSecond: number;
  /** Requests of all callers, as a multiple of what the servers take. */
  readonly demand: number;
  readonly trouble: LimitTrouble;
  readonly seconds: number;
  readonly seed: number;
}

/** What goes wrong meanwhile. */
export type LimitTrouble =
  | "none"
  /** A fifth of the news is lost, and the rest is late. */
  | "bad_news"
  /** Hosts end one after the other, and start again. */
  | "deaths"
  /** All hosts end together, and start again. */
  | "all_end"
  /** A third of the hosts hears nobody else, and is not heard. */
  | "cut"
  /** A third of the hosts hears the others, and is not heard. */
  | "cut_one_way"
  /** Each host hears itself alone. */
  | "alone"
  /** Servers raise and lower their limits, end them, and name them again. */
  | "moving"
  /** Servers start again and again. */
  | "reborn";

/** All troubles. */
export const LIMIT_TROUBLES: readonly LimitTrouble[] = [
  "none",
  "bad_news",
  "deaths",
  "all_end",
  "cut",
  "cut_one_way",
  "alone",
  "moving",
  "reborn",
];

/** What came of a run. */
export interface LimitsFigures {
  /** Most requests beyond limit x time at one server, once hosts have to know. */
  readonly mostBeyond: number;
  /** Requests in any 4 s over what one and a half times the limit and 5 allow. */
  readonly mostOverRule: number;
  /** Share of what the servers take that is used, once hosts know. */
  readonly used: number;
  readonly served: number;
  readonly refused: number;
  /** Mean time to a refusal, in milliseconds. */
  readonly refusalMilliseconds: number;
  /** Questions for turns, a second and host. */
  readonly questions: number;
}
