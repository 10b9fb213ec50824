// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The resource model that operators edit: services, backend servers, routing
 * rules, workspaces and host classes. Resources are stored in the platform's
 * object API.
 *
 * @module
 */

/** Labels that operators attach to a resource. */
export type Labels = Readonly<Record<string, string>>;

/** One requirement of a set-based selector. */
export interface SelectorExpression {
  readonly key: string;
  readonly operator: "In" | "NotIn" | "Exists" | "DoesNotExist";
  /** Values for `In` and `NotIn`; empty for the others. */
  readonly values?: readonly string[];
}

/** Selects resources by their labels; an empty selector matches all. */
export interface Selector {
  /** Labels that must be equal. */
  readonly matchLabels?: Labels;
  /** Set-based requirements; all must hold. */
  readonly matchExpressions?: readonly SelectorExpression[];
}

/** Name, labels and kind shared by all resources. */
export interface ResourceHeader<Kind extends string> {
  readonly kind: Kind;
  /** Unique within the kind. */
  readonly name: string;
  readonly labels: Labels;
}

/** Whether some calls of a plain service may run twice. */
export interface CallRule {
  /** HTTP methods in upper case; absent means all. */
  readonly methods?: readonly string[];
  /** Prefix of the path after the service's name; absent means all. */
  readonly pathPrefix?: string;
  /** Whether the call is idempotent: it may run twice. */
  readonly repeatable: boolean;
}

/** A model or a plain service that callers send requests to. */
export interface Service extends ResourceHeader<"Service"> {
  readonly type: "model" | "plain";
  /** The first matching rule applies; without one, a plain call runs at most once. */
  readonly calls: readonly CallRule[];
  /** Target latency of the first token or the response headers, in milliseconds. */
  readonly targetMilliseconds: number;
  /** Maximum duration of one attempt, in milliseconds. */
  readonly timeoutMilliseconds: number;
  /** Weights of cost and recomputed tokens in the choice of a backend server. */
  readonly weights: ChoiceWeights;
}

/** A service's weights for the choice of a backend server. */
export interface ChoiceWeights {
  /** Factor for the price of host time. */
  readonly cost: number;
  /** Factor for the price of recomputing tokens. */
  readonly recomputedTokens: number;
}

/** Capabilities of a backend server, as declared by operators. */
export interface BackendContract {
  /** Whether it refuses orders with an epoch below the highest one received. */
  readonly checksOrderEpoch: boolean;
  /** Whether a stream can be resumed from a given token by its attempt id. */
  readonly resumesStreams: boolean;
  /** Whether it exports and imports its KV cache. */
  readonly movesKeyValueCache: boolean;
  /** Whether an answer with `x-not-run: true` can be trusted. */
  readonly tellsNotRun: boolean;
}

/** A process that runs requests: a model engine or a plain service's server. */
export interface BackendServer extends ResourceHeader<"BackendServer"> {
  readonly service: string;
  /** Name of its host on the platform's list and in reclaim notices. */
  readonly host: string;
  /** IP address and port, such as `127.0.0.1:8000`. */
  readonly address: string;
  readonly dataHall: string;
  readonly hostClass: string;
  /** Maximum number of concurrent requests; further ones wait in its queue. */
  readonly concurrency: number;
  readonly contract: BackendContract;
  /** Set by `drain`: the server gets no new requests. */
  readonly draining: boolean;
}

/** A group of backend servers that a routing rule allows, with its priority. */
export interface RoutingTarget {
  readonly selector: Selector;
  /** Lower values come first; targets of equal priority form one group. */
  readonly priority: number;
}

/** Determines which backend servers may run which requests. */
export interface RoutingRule extends ResourceHeader<"RoutingRule"> {
  /** Lower values come first; the first matching rule applies. */
  readonly priority: number;
  /** Matches the labels of services. */
  readonly services: Selector;
  /** Matches the labels of workspaces. */
  readonly workspaces: Selector;
  readonly targets: readonly RoutingTarget[];
}

/** A customer of a deployment. */
export interface Workspace extends ResourceHeader<"Workspace"> {
  /** SHA-256 of each accepted API key, in lower-case hexadecimal. */
  readonly keyHashes: readonly string[];
  /** Share of the capacity under contention, relative to other workspaces. */
  readonly weight: number;
  /** Higher values come first, if the backend server honours priorities. */
  readonly priority: number;
}

/** A class of hosts in one data hall, with its price. */
export interface HostClass extends ResourceHeader<"HostClass"> {
  readonly dataHall: string;
  readonly reclaimable: boolean;
  /** Price of one host, in US dollars per hour. */
  readonly dollarsPerHour: number;
  /** Mean time until a host is reclaimed, in hours; large for on-demand hosts. */
  readonly meanHoursToReclaim: number;
}

/** Any resource. */
export type Resource =
  Service | BackendServer | RoutingRule | Workspace | HostClass;

/** Kind of a resource. */
export type ResourceKind = Resource["kind"];

/** All kinds, in the order in which `get all` lists them. */
export const RESOURCE_KINDS: readonly ResourceKind[] = [
  "Service",
  "BackendServer",
  "RoutingRule",
  "Workspace",
  "HostClass",
];

/** Returns the key of a resource in a configuration: kind and name. */
export function resourceKey(resource: Pick<Resource, "kind" | "name">): string {
  return `${resource.kind}/${resource.name}`;
}

/** Returns whether labels match a selector. */
export function selectorMatches(selector: Selector, labels: Labels): boolean {
  const equal = Object.entries(selector.matchLabels ?? {}).every(
    ([key, value]) => labels[key] === value,
  );
  return (
    equal &&
    (selector.matchExpressions ?? []).every((expression) =>
      EXPRESSION_MATCHERS[expression.operator](
        labels[expression.key],
        expression.values ?? [],
      ),
    )
  );
}

const EXPRESSION_MATCHERS: Readonly<
  Record<
    SelectorExpression["operator"],
    (value: string | undefined, values: readonly string[]) => boolean
  >
> = {
  In: (value, values) => value !== undefined && values.includes(value),
  NotIn: (value, values) => value === undefined || !values.includes(value),
  Exists: (value) => value !== undefined,
  DoesNotExist: (value) => value === undefined,
};
