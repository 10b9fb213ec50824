// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The resource model that operators edit: services, backend servers, routing
 * rules, workspaces and host classes. The platform's object API keeps them.
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

/** Chooses resources by their labels; an empty selector matches all. */
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

/** Which calls of a plain service may be run twice. */
export interface CallRule {
  /** HTTP methods, upper case; absent means all. */
  readonly methods?: readonly string[];
  /** Prefix of the path behind the service's name; absent means all. */
  readonly pathPrefix?: string;
  /** Whether running the call twice does no harm. */
  readonly repeatable: boolean;
}

/** What callers address: a model or a plain service. */
export interface Service extends ResourceHeader<"Service"> {
  readonly type: "model" | "plain";
  /** First matching rule decides; without one, plain calls are once only. */
  readonly calls: readonly CallRule[];
  /** Target for the first token or the answer's head, in milliseconds. */
  readonly targetMilliseconds: number;
  /** Longest time that one attempt may take, in milliseconds. */
  readonly timeoutMilliseconds: number;
  /** How much a dollar and a recomputed token weigh in choices. */
  readonly weights: ChoiceWeights;
}

/** Weights of the choice of a backend server, per service. */
export interface ChoiceWeights {
  /** Multiplies the price of host time. */
  readonly cost: number;
  /** Multiplies the price of recomputing tokens. */
  readonly recomputedTokens: number;
}

/** What a backend server is known to do; operators state it. */
export interface BackendContract {
  /** Whether it refuses orders with an epoch below the highest it has seen. */
  readonly checksOrderEpoch: boolean;
  /** Whether a stream can be read again from a token by its attempt id. */
  readonly resumesStreams: boolean;
  /** Whether it exports and imports KV cache. */
  readonly movesKeyValueCache: boolean;
  /** Whether its `x-not-run: true` answer can be trusted. */
  readonly tellsNotRun: boolean;
}

/** One process that runs work: a model engine or a plain service's server. */
export interface BackendServer extends ResourceHeader<"BackendServer"> {
  readonly service: string;
  /** Name of its host on the platform's list and in reclaim notices. */
  readonly host: string;
  /** IP number and port, as `127.0.0.1:8000`. */
  readonly address: string;
  readonly dataHall: string;
  readonly hostClass: string;
  /** Requests that it runs at once; more wait in its queue. */
  readonly concurrency: number;
  readonly contract: BackendContract;
  /** Set by `drain`: no new work. */
  readonly draining: boolean;
}

/** One step of a routing rule: where work may go, in order of priority. */
export interface RoutingTarget {
  readonly selector: Selector;
  /** Lower goes first; targets of equal priority are one group. */
  readonly priority: number;
}

/** Decides which work may go where. */
export interface RoutingRule extends ResourceHeader<"RoutingRule"> {
  /** Lower is asked first; the first rule that matches decides. */
  readonly priority: number;
  /** Matches the labels of services. */
  readonly services: Selector;
  /** Matches the labels of workspaces. */
  readonly workspaces: Selector;
  readonly targets: readonly RoutingTarget[];
}

/** A customer of a deployment. */
export interface Workspace extends ResourceHeader<"Workspace"> {
  /** SHA-256 of each accepted key, in lower-case hexadecimal. */
  readonly keyHashes: readonly string[];
  /** Share of the capacity under contention, relative to the others. */
  readonly weight: number;
  /** Higher goes first where a backend server honours priorities. */
  readonly priority: number;
}

/** A class of hosts in one data hall with its price. */
export interface HostClass extends ResourceHeader<"HostClass"> {
  readonly dataHall: string;
  readonly reclaimable: boolean;
  /** US dollars an hour for one host. */
  readonly dollarsPerHour: number;
  /** Mean time until a reclaim, in hours; large for on-demand hosts. */
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

/** Key of a resource in a configuration: kind and name. */
export function resourceKey(resource: Pick<Resource, "kind" | "name">): string {
  return `${resource.kind}/${resource.name}`;
}

/** Tells whether labels meet a selector. */
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
