// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * What a roll-out in simulated time is played with: versions, routes and troubles.
 *
 * @module
 */
import type { Evaluator, StoredRolloutState } from "rampswitch-serving";

/** How the target version behaves. */
export interface VersionBehaviour {
  /** Share of its answers that go wrong. */
  readonly share: number;
  /** How: failures, or answers so many times slower. */
  readonly slower: number | "failing";
  /** Part of the order's time after which it goes wrong. */
  readonly after: number;
  /** Requests at one of its servers from which on it goes wrong. */
  readonly aboveLoad: number;
  /** The only route on which it goes wrong; `undefined` for all. */
  readonly route: string | undefined;
}

/** What goes wrong beside the version. */
export type RolloutTrouble =
  | "none"
  | "hosts_die"
  | "holder_dies"
  | "all_die"
  | "store_away"
  | "server_fails"
  | "hall_slow";

/** One roll-out to play. */
export interface RolloutRun {
  readonly hosts: number;
  readonly requestsPerSecond: number;
  readonly seconds: number;
  readonly seed: number;
  /** `undefined` for a good version. */
  readonly version: VersionBehaviour | undefined;
  readonly trouble: RolloutTrouble;
  readonly judge?: () => Evaluator;
}

/** What came of a roll-out. */
export interface RolloutFigures {
  readonly state: StoredRolloutState;
  /** Time from the order to its final state, in milliseconds. */
  readonly endedAt: number;
  /** Requests to the target version until the deadline, beyond what it may get. */
  readonly overExposed: number;
  /** Bad answers of the target version. */
  readonly badAnswers: number;
  /** Requests sent to it later than the bound after its 50th bad answer. */
  readonly sentTooLate: number;
  /** Requests that a server of the baseline ran when it was ended. */
  readonly cutAtEnd: number;
  /** The same, of requests that must run once. */
  readonly cutOnce: number;
  readonly sentToTarget: number;
}

/** A route of the service. */
export interface Route {
  readonly name: string;
  readonly share: number;
  readonly firstMilliseconds: number;
  readonly holdMilliseconds: number;
  readonly movable: boolean;
}

/** Routes, the rarest last. */
export const ROUTES: readonly Route[] = [
  {
    name: "reviews",
    share: 0.18,
    firstMilliseconds: 500,
    holdMilliseconds: 1_900,
    movable: true,
  },
  {
    name: "questions",
    share: 0.41,
    firstMilliseconds: 120,
    holdMilliseconds: 1_450,
    movable: true,
  },
  {
    name: "triage",
    share: 0.37,
    firstMilliseconds: 160,
    holdMilliseconds: 170,
    movable: false,
  },
  {
    name: "rare",
    share: 0.04,
    firstMilliseconds: 90,
    holdMilliseconds: 100,
    movable: false,
  },
];

/** The rarest route. */
export const RAREST_ROUTE = "rare";

/** What troubles have the play do. */
export interface TroubleParts {
  readonly die: (share: number) => void;
  readonly dieTogether: () => void;
  readonly holderDies: () => void;
  readonly storeAway: () => void;
}

/** Troubles by name. */
export const TROUBLES: Readonly<
  Record<RolloutTrouble, (parts: TroubleParts) => void>
> = {
  none: () => undefined,
  server_fails: () => undefined,
  hosts_die: ({ die }) => die(0.15),
  holder_dies: ({ holderDies }) => holderDies(),
  all_die: ({ dieTogether }) => dieTogether(),
  store_away: ({ storeAway }) => storeAway(),
  hall_slow: () => undefined,
};
