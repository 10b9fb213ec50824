// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * A request that passed intake, and what follows from its head and route alone.
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
  /** Names the request whichever attempt it is and whichever host takes it. */
  readonly fingerprint: Fingerprint;
  readonly route: Route;
  readonly service: Service;
  readonly workspace: Workspace | undefined;
  /** What the workspace's limit was charged. */
  readonly chargedTokens: number;
  /** When its head was read, on the steady clock. */
  readonly arrivedAt: number;
  readonly configurationVersion: number;
}

/** Most urgent and least urgent priority that engines know. */
const ENGINE_PRIORITIES = { most: 0, least: 9 };

/** Route priorities that fit between two workspace priorities. */
const ROUTE_PRIORITIES = 3;

/** Urgency of a request at an engine: workspace first, then route. */
export function enginePriority(request: AdmittedRequest): number | undefined {
  if (request.service.engine === undefined) return undefined;
  const workspace = request.workspace?.priority ?? 0;
  const route = Math.min(request.route.priority, ROUTE_PRIORITIES - 1);
  return Math.min(
    ENGINE_PRIORITIES.least,
    Math.max(ENGINE_PRIORITIES.most, workspace * ROUTE_PRIORITIES + route),
  );
}

/** Longest time for which a request may be held, in milliseconds. */
export function limitMilliseconds(request: AdmittedRequest): number {
  return Math.min(
    request.head.deadlineMilliseconds ?? Infinity,
    request.route.timeoutMilliseconds,
  );
}

/** Tokens of a request's prompt, as far as the caller tells. */
export function promptTokens(head: RequestHead): number {
  return (
    head.promptTokens ??
    head.promptParts.reduce((sum, part) => sum + part.tokens, 0)
  );
}
