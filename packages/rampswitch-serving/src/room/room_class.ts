// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Classes of requests among which the capacity of a service is divided when it is
 * short: workspaces, ordered by the rank of the workspace and then of the route. Pure.
 *
 * @module
 */

/** Requests of one workspace with equal ranks at one service. */
export interface RoomClass {
  readonly service: string;
  /** Rank of the workspace; 0 is the most urgent. */
  readonly workspaceRank: number;
  /** Rank of the route; 0 is the most urgent. */
  readonly routeRank: number;
  /** Name of the workspace; empty for requests without a workspace. */
  readonly workspace: string;
}

/** Maximum rank that is told apart; ranks beyond it are merged. */
const MAXIMUM_RANK = 99;

/** Rank of a class as one number; 0 is the most urgent, the workspace comes first. */
export function rankOf({ workspaceRank, routeRank }: RoomClass): number {
  return (
    boundedRank(workspaceRank) * (MAXIMUM_RANK + 1) + boundedRank(routeRank)
  );
}

/** Rank as shown in log lines and metrics, such as `1.2`: workspace, then route. */
export function rankLabel({ workspaceRank, routeRank }: RoomClass): string {
  return `${boundedRank(workspaceRank)}.${boundedRank(routeRank)}`;
}

/** Key of a class among the classes of its service. */
export function classKey(roomClass: RoomClass): string {
  return `${rankOf(roomClass)}/${roomClass.workspace}`;
}

/** Key of a class among the classes of all services. */
export function serviceClassKey(roomClass: RoomClass): string {
  return `${roomClass.service}/${classKey(roomClass)}`;
}

/** Class of an admitted request. */
export function roomClassOf(request: {
  readonly service: { readonly name: string };
  readonly route: { readonly priority: number };
  readonly workspace:
    { readonly name: string; readonly priority: number } | undefined;
}): RoomClass {
  return {
    service: request.service.name,
    workspaceRank: boundedRank(request.workspace?.priority ?? 0),
    routeRank: boundedRank(request.route.priority),
    workspace: request.workspace?.name ?? "",
  };
}

function boundedRank(rank: number): number {
  return Math.min(MAXIMUM_RANK, Math.max(0, Math.floor(rank)));
}
