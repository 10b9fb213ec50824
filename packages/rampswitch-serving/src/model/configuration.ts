// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The configuration that operators put in force, as the request pipeline uses
 * it.
 *
 * @module
 */

/** How often a request on a route may run. */
export type Repeatability = "at_most_once" | "repeatable";

/** A service that a route may send to, and its share of the route's requests. */
export interface RouteTarget {
  readonly service: string;
  readonly weight: number;
}

/** One route: where requests of a host name and path prefix go. */
export interface Route {
  readonly name: string;
  readonly hostName: string;
  readonly pathPrefix: string;
  readonly streaming: boolean;
  readonly repeatability: Repeatability;
  /** Whether a broken stream may go on at another backend server. */
  readonly resumable: boolean;
  /** Whether requests are served without a key. */
  readonly open: boolean;
  readonly targets: readonly RouteTarget[];
  /** Backend servers that may run one request, at most. */
  readonly maximumRuns: number;
  /** Longest time that a request may be held, in milliseconds. */
  readonly timeoutMilliseconds: number;
  /** Time to the first part of an answer that operators want. */
  readonly targetMilliseconds: number;
  /** Rank between routes; 0 is the most urgent. */
  readonly priority: number;
}

/** What a service's model engines can hold. */
export interface EngineLimits {
  /** Requests that run at once on one engine. */
  readonly slots: number;
  /** Tokens of prompts and answers that one engine's memory holds. */
  readonly memoryTokens: number;
  /** Whether a run's memory may be moved to another engine. */
  readonly movable: boolean;
  /**
   * Tokens of memory that the link between two engines takes in a millisecond;
   * `undefined` where engines do not copy kept parts from each other.
   */
  readonly copyTokensPerMillisecond?: number | undefined;
}

/** Bounds and prices of ordered backend servers. */
export interface CapacityLimits {
  /** Fewest and most backend servers in each data hall. */
  readonly minimum: number;
  readonly maximum: number;
  readonly startMilliseconds: number;
  /** Price of a reclaimable server as a share of one on demand. */
  readonly reclaimablePriceShare: number;
  /** Price of one server on demand in a data hall, for one second. */
  readonly dataHallPrices: ReadonlyMap<string, number>;
}

/** One service. */
export interface Service {
  readonly name: string;
  /** Connections that one backend server takes from all hosts together. */
  readonly maximumConnections: number;
  readonly engine: EngineLimits | undefined;
  readonly capacity: CapacityLimits | undefined;
}

/** What one workspace may send. */
export interface Workspace {
  readonly name: string;
  readonly keys: readonly string[];
  readonly priority: number;
  /** Tokens a second over all hosts; 0 means no limit. */
  readonly tokensPerSecond: number;
  /** Tokens that may be sent above the rate at once. */
  readonly burstTokens: number;
  /** Tokens that a request without an estimate counts. */
  readonly tokensWithoutEstimate: number;
  /** Whether the limit counts tokens; otherwise it counts requests. */
  readonly countsTokens: boolean;
}

/** Limits on what callers may send. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerMilliseconds: number;
  readonly idleMilliseconds: number;
}

/** One version of the configuration, whole. */
export interface ServingConfiguration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly Service[];
  readonly workspaces: readonly Workspace[];
  readonly callerLimits: CallerLimits;
}
