// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The operators' configuration, as the request pipeline uses it.
 *
 * @module
 */

/** Whether a request on a route may run more than once. */
export type Repeatability = "at_most_once" | "repeatable";

/** A service that a route may send to, and its share of the route's requests. */
export interface RouteTarget {
  readonly service: string;
  readonly weight: number;
}

/** A route: the targets of requests with a host name and a path prefix. */
export interface Route {
  readonly name: string;
  readonly hostName: string;
  readonly pathPrefix: string;
  readonly streaming: boolean;
  readonly repeatability: Repeatability;
  /** Whether a broken stream may resume at another backend server. */
  readonly resumable: boolean;
  /** Whether requests are served without a key. */
  readonly open: boolean;
  readonly targets: readonly RouteTarget[];
  /** Maximum number of backend servers that may run one request. */
  readonly maximumRuns: number;
  /** Maximum time for which a request may be held, in milliseconds. */
  readonly timeoutMilliseconds: number;
  /** Target for the time to the first part of an answer, in milliseconds. */
  readonly targetMilliseconds: number;
  /** Rank among routes; 0 is the most urgent. */
  readonly priority: number;
}

/** Capacity of a service's model engines. */
export interface EngineLimits {
  /** Requests that one engine runs at once. */
  readonly slots: number;
  /** Tokens of prompts and answers that one engine's KV-cache memory holds. */
  readonly memoryTokens: number;
  /** Whether a run's memory may be migrated to another engine. */
  readonly migratable: boolean;
  /**
   * Tokens of memory that the link between two engines transfers in a millisecond;
   * `undefined` where engines do not copy cached parts from each other.
   */
  readonly copyTokensPerMillisecond?: number | undefined;
}

/** Bounds and prices of ordered backend servers. */
export interface CapacityLimits {
  /** Minimum number of backend servers in each data hall. */
  readonly minimum: number;
  /** Maximum number of backend servers in each data hall. */
  readonly maximum: number;
  /** Time that a backend server takes to start. */
  readonly startMilliseconds: number;
  /** Price of a reclaimable server, as a share of the on-demand price. */
  readonly reclaimablePriceShare: number;
  /** On-demand price of one server for one second, by data hall. */
  readonly dataHallPrices: ReadonlyMap<string, number>;
}

/** A service that backend servers provide. */
export interface Service {
  readonly name: string;
  /** Connections that one backend server accepts from all hosts together. */
  readonly maximumConnections: number;
  readonly engine: EngineLimits | undefined;
  readonly capacity: CapacityLimits | undefined;
}

/** Keys and limits of one workspace. */
export interface Workspace {
  readonly name: string;
  readonly keys: readonly string[];
  readonly priority: number;
  /** Tokens per second over all hosts; 0 means no limit. */
  readonly tokensPerSecond: number;
  /** Tokens that may be sent at once above the rate. */
  readonly burstTokens: number;
  /** Tokens that are counted for a request without an estimate. */
  readonly tokensWithoutEstimate: number;
  /** Whether the limit counts tokens instead of requests. */
  readonly countsTokens: boolean;
}

/** Limits on the size and duration of callers' requests. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerMilliseconds: number;
  readonly idleMilliseconds: number;
}

/** One complete version of the configuration. */
export interface ServingConfiguration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly Service[];
  readonly workspaces: readonly Workspace[];
  readonly callerLimits: CallerLimits;
}
