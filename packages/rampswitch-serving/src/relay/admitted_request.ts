// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * A request that passed intake, and the values derived from its head and route.
 *
 * @module
 */
import type { Route, Service, Workspace } from "../model/configuration.ts";
import type { RequestHead } from "../model/request.ts";
import type { Fingerprint } from "../quarantine/mod.ts";

/** A request that passed intake. */
export interface AdmittedRequest {
  readonly head: RequestHead;
  readonly body: Buffer | undefined;
  /** Identifies the request across all its attempts and on all hosts. */
  readonly fingerprint: Fingerprint;
  readonly route: Route;
  readonly service: Service;
  readonly workspace: Workspace | undefined;
  /** Tokens charged against the workspace's limit. */
  readonly chargedTokens: number;
  /** When its head was read, in milliseconds on the monotonic clock. */
  readonly arrivedAt: number;
  readonly configurationVersion: number;
}

/** Most urgent and least urgent priority that engines support. */
const ENGINE_PRIORITY_RANGE = { mostUrgent: 0, leastUrgent: 9 };

/** Number of route priorities within one workspace priority. */
const ROUTE_PRIORITY_LEVELS = 3;

/** Priority of a request at an engine: by workspace first, then by route. */
export function enginePriority(request: AdmittedRequest): number | undefined {
  if (request.service.engine === undefined) return undefined;
  const workspace = request.workspace?.priority ?? 0;
  const route = Math.min(request.route.priority, ROUTE_PRIORITY_LEVELS - 1);
  return Math.min(
    ENGINE_PRIORITY_RANGE.leastUrgent,
    Math.max(
      ENGINE_PRIORITY_RANGE.mostUrgent,
      workspace * ROUTE_PRIORITY_LEVELS + route,
    ),
  );
}

/** Time limit of a request, in milliseconds: the shorter of deadline and timeout. */
export function timeLimitMilliseconds(request: AdmittedRequest): number {
  return Math.min(
    request.head.deadlineMilliseconds ?? Infinity,
    request.route.timeoutMilliseconds,
  );
}
