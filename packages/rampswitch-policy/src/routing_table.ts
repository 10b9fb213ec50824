// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Routing rules compiled once per revision: the groups of backend servers that
 * may serve a service for a workspace, in order of priority.
 *
 * @module
 */
import {
  type BackendServer,
  type HostClass,
  type Resource,
  type RoutingRule,
  selectorMatches,
  type Service,
  type Workspace,
} from "rampswitch-types";

/** A backend server with the properties of its host that a choice needs. */
export interface Candidate {
  readonly server: BackendServer;
  /** Price of the server's host, in US dollars an hour. */
  readonly dollarsPerHour: number;
  /** Mean time until a host of this class is reclaimed, in hours. */
  readonly meanHoursToReclaim: number;
  readonly reclaimable: boolean;
}

/** Backend servers of equal priority. */
export interface CandidateGroup {
  readonly priority: number;
  readonly candidates: readonly Candidate[];
}

/** The backend servers that one service may use for one workspace. */
export interface Route {
  /** Name of the rule that matched; `undefined` if no rule matched. */
  readonly rule: string | undefined;
  readonly groups: readonly CandidateGroup[];
}

/** Values for a host class that is not configured; 8760 hours are a year. */
const UNKNOWN_HOST_CLASS = { dollarsPerHour: 1, meanHoursToReclaim: 8760 };

/** Routes of one revision; each is compiled at its first use and cached. */
export class RoutingTable {
  readonly services: ReadonlyMap<string, Service>;
  readonly workspaces: ReadonlyMap<string, Workspace>;
  readonly candidates: ReadonlyMap<string, Candidate>;
  readonly #rules: readonly RoutingRule[];
  readonly #byService: ReadonlyMap<string, readonly Candidate[]>;
  readonly #routes = new Map<string, Route>();

  constructor(resources: readonly Resource[]) {
    this.services = resourcesByName(resources, "Service");
    this.workspaces = resourcesByName(resources, "Workspace");
    const hostClasses = resourcesByName(resources, "HostClass");
    const candidates = [
      ...resourcesByName(resources, "BackendServer").values(),
    ].map((server) => candidateOf(server, hostClasses));
    this.candidates = new Map(
      candidates.map((candidate) => [candidate.server.name, candidate]),
    );
    this.#byService = groupBy(candidates, ({ server }) => server.service);
    this.#rules = [
      ...resourcesByName(resources, "RoutingRule").values(),
    ].toSorted(
      (left, right) =>
        left.priority - right.priority || (left.name < right.name ? -1 : 1),
    );
  }

  /** All candidates of a service, regardless of the routing rules. */
  serviceCandidates(service: string): readonly Candidate[] {
    return this.#byService.get(service) ?? [];
  }

  /** The route of a service for a workspace. */
  route(service: Service, workspace: Workspace): Route {
    const key = `${service.name}|${workspace.name}`;
    const cached = this.#routes.get(key);
    if (cached !== undefined) return cached;
    const route = this.#compile(service, workspace);
    this.#routes.set(key, route);
    return route;
  }

  #compile(service: Service, workspace: Workspace): Route {
    const all = this.serviceCandidates(service.name);
    const rule = this.#rules.find(
      (candidate) =>
        selectorMatches(candidate.services, service.labels) &&
        selectorMatches(candidate.workspaces, workspace.labels),
    );
    if (rule === undefined) {
      return {
        rule: undefined,
        groups: all.length === 0 ? [] : [{ priority: 0, candidates: all }],
      };
    }
    const prioritized = all.flatMap((candidate) => {
      const priorities = rule.targets
        .filter(({ selector }) =>
          selectorMatches(selector, candidate.server.labels),
        )
        .map(({ priority }) => priority);
      return priorities.length === 0
        ? []
        : [{ candidate, priority: Math.min(...priorities) }];
    });
    const groups = [...groupBy(prioritized, ({ priority }) => priority)]
      .toSorted(([left], [right]) => left - right)
      .map(([priority, members]) => ({
        priority,
        candidates: members.map(({ candidate }) => candidate),
      }));
    return { rule: rule.name, groups };
  }
}

function candidateOf(
  server: BackendServer,
  classes: ReadonlyMap<string, HostClass>,
): Candidate {
  const hostClass = classes.get(server.hostClass);
  return {
    server,
    dollarsPerHour:
      hostClass?.dollarsPerHour ?? UNKNOWN_HOST_CLASS.dollarsPerHour,
    meanHoursToReclaim:
      hostClass?.meanHoursToReclaim ?? UNKNOWN_HOST_CLASS.meanHoursToReclaim,
    reclaimable: hostClass?.reclaimable ?? false,
  };
}

function resourcesByName<Kind extends Resource["kind"]>(
  resources: readonly Resource[],
  kind: Kind,
): ReadonlyMap<string, Extract<Resource, { readonly kind: Kind }>> {
  return new Map(
    resources
      .filter(
        (resource): resource is Extract<Resource, { kind: Kind }> =>
          resource.kind === kind,
      )
      .map((resource) => [resource.name, resource]),
  );
}

function groupBy<Key, Item>(
  items: readonly Item[],
  keyOf: (item: Item) => Key,
): ReadonlyMap<Key, readonly Item[]> {
  const groups = new Map<Key, Item[]>();
  items.forEach((item) => {
    const key = keyOf(item);
    const group = groups.get(key);
    if (group === undefined) groups.set(key, [item]);
    else group.push(item);
  });
  return groups;
}
