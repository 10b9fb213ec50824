// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Index for the route of a request and the workspace of a key, built once for each
 * configuration.
 *
 * @module
 */
import type {
  Route,
  Service,
  ServingConfiguration,
  Workspace,
} from "../model/configuration.ts";

/** A configuration with indexes for lookups on each request. */
export class RouteIndex {
  readonly configuration: ServingConfiguration;
  readonly #routesByHost: ReadonlyMap<string, readonly Route[]>;
  readonly #workspaceByKey: ReadonlyMap<string, Workspace>;
  readonly #services: ReadonlyMap<string, Service>;
  /** Services with streaming routes of different ranks or targets. */
  readonly #mixedServices: ReadonlySet<string>;

  constructor(configuration: ServingConfiguration) {
    this.configuration = configuration;
    const byHost = new Map<string, Route[]>();
    configuration.routes
      .toSorted(
        (left, right) => right.pathPrefix.length - left.pathPrefix.length,
      )
      .forEach((route) => {
        const sameHost = byHost.get(route.hostName);
        if (sameHost === undefined) byHost.set(route.hostName, [route]);
        else sameHost.push(route);
      });
    this.#routesByHost = byHost;
    this.#workspaceByKey = new Map(
      configuration.workspaces.flatMap((workspace) =>
        workspace.keys.map((key) => [key, workspace] as const),
      ),
    );
    this.#mixedServices = new Set(
      configuration.services
        .map(({ name }) => name)
        .filter((name) => hasMixedStreams(configuration.routes, name)),
    );
    this.#services = new Map(
      configuration.services.map((service) => [service.name, service]),
    );
  }

  /** Whether requests on routes that are not open need a key. */
  get keysNeeded(): boolean {
    return this.configuration.workspaces.length > 0;
  }

  /** The route with the longest prefix of the path. */
  route(hostName: string, path: string): Route | undefined {
    return this.#routesByHost
      .get(hostName)
      ?.find((route) => path.startsWith(route.pathPrefix));
  }

  /** The workspace that holds a key. */
  workspace(key: string): Workspace | undefined {
    return this.#workspaceByKey.get(key);
  }

  /** Whether a service gets streams of routes with different ranks or targets. */
  runsMixedStreams(service: string): boolean {
    return this.#mixedServices.has(service);
  }

  /** A service by name. */
  service(name: string): Service | undefined {
    return this.#services.get(name);
  }
}

function hasMixedStreams(routes: readonly Route[], service: string): boolean {
  const kinds = routes
    .filter(
      ({ streaming, targets }) =>
        streaming && targets.some((target) => target.service === service),
    )
    .map(
      ({ priority, targetMilliseconds }) => `${priority}|${targetMilliseconds}`,
    );
  return new Set(kinds).size > 1;
}

/** Draws one of a route's targets by weight; `draw` is in [0, 1). */
export function drawTarget(route: Route, draw: number): string | undefined {
  const total = route.targets.reduce((sum, target) => sum + target.weight, 0);
  const cumulative = route.targets.map((_, index) =>
    route.targets
      .slice(0, index + 1)
      .reduce((sum, target) => sum + target.weight, 0),
  );
  const index = cumulative.findIndex((bound) => draw * total < bound);
  return route.targets[index]?.service;
}
