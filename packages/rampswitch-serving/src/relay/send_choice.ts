// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The choice of a server for one send of a request, from all that this host
 * knows.
 *
 * @module
 */
import {
  type Choice,
  type ChoiceOutcome,
  chooseServer,
  type ServerRecord,
  shareWithPlaces,
} from "../choice/mod.ts";
import type { VersionChoice } from "../rollout/mod.ts";
import { type AdmittedRequest, promptTokens } from "./admitted_request.ts";
import { ownConnections } from "./connection_share.ts";
import type { RequestContext } from "./request_context.ts";

/**
 * Part of the time to the end of a leaving server in which it takes requests; the
 * rest is for the way there, and for the news of its end.
 */
const LEAVING_SHARE = 0.6;

/** Outcome of a choice among the servers that need no turn. */
export interface SendChoice {
  readonly outcome: ChoiceOutcome;
  /** Servers that may take the request too, with a turn; the preferred ones first. */
  readonly limited: readonly ServerRecord[];
}

/** Chooses among the servers whose present lives were not tried. */
export function chooseFor(
  request: AdmittedRequest,
  tried: ReadonlySet<string>,
  context: RequestContext,
): SendChoice {
  const now = context.clock.now();
  const isFirst = tried.size === 0;
  const all = context.rollouts.choice(request.service.name, { isFirst, now });
  const send = { request, tried, now };
  return {
    outcome: chooseUnlimited(withoutLimited(all, context), send, context),
    limited: withTurns(all, send, context),
  };
}

/** The choice of a server that gave a turn. */
export function chooseGiven(
  record: ServerRecord,
  request: AdmittedRequest,
  context: RequestContext,
): Choice | undefined {
  const send = { request, tried: new Set<string>(), now: context.clock.now() };
  const outcome = chooseAmong([record], send, context);
  return outcome.kind === "chosen" ? outcome.choice : undefined;
}

const FULL: ChoiceOutcome = { kind: "full" };

const RESTING: ChoiceOutcome = { kind: "resting" };

function chooseUnlimited(
  versions: VersionChoice,
  send: Send,
  context: RequestContext,
): ChoiceOutcome {
  const isFirst = send.tried.size === 0;
  if (isFirst && allRest(versions, send.now)) return RESTING;
  if (isFirst && !getsPlace(versions, send.request, context)) return FULL;
  const { first, otherwise } = versions;
  const outcome = chooseAmong(first, send, context);
  return outcome.kind === "chosen" || otherwise === undefined
    ? outcome
    : chooseAmong(otherwise, send, context);
}

/** Whether all servers that are ready rest, so that none has a place. */
function allRest(
  { first, otherwise = [] }: VersionChoice,
  now: number,
): boolean {
  const isAwake = ({ isReady, rest }: ServerRecord) =>
    isReady && !rest.holds(now);
  // Nearly always the first server tells.
  if (first.some(isAwake) || otherwise.some(isAwake)) return false;
  return [...first, ...otherwise].some(({ isReady }) => isReady);
}

function withoutLimited(
  { first, otherwise }: VersionChoice,
  { turns }: RequestContext,
): VersionChoice {
  return {
    first: turns.unlimited(first),
    otherwise: otherwise === undefined ? undefined : turns.unlimited(otherwise),
  };
}

/**
 * Limited servers that may take a request now. Nothing waits behind their limits, so
 * they need a free place.
 */
function withTurns(
  { first, otherwise = [] }: VersionChoice,
  { request, tried, now }: Send,
  context: RequestContext,
): readonly ServerRecord[] {
  const { turns } = context;
  const limited = [...turns.limited(first), ...turns.limited(otherwise)];
  if (limited.length === 0) return limited;
  context.metrics.event("limited_servers_left_out");
  const connections = ownConnections(request.service, context.hosts());
  return limited
    .filter((record) => record.isReady && !record.isEjected(now))
    .filter(({ rest }) => rest.takes(now))
    .filter((record) => !tried.has(record.life))
    .filter((record) => record.load(now) < record.entry.slots)
    .filter((record) => record.ownRunning < connections)
    .toSorted((left, right) => left.load(now) - right.load(now));
}

/**
 * Whether a request that comes now is among those that engines can take. What was
 * sent once already is not turned away here.
 */
function getsPlace(
  { first, otherwise = [] }: VersionChoice,
  request: AdmittedRequest,
  context: RequestContext,
): boolean {
  const { service, route } = request;
  if (service.engine === undefined) return true;
  const now = context.clock.now();
  const leavingMilliseconds = timeToLeave(request, context);
  const totals = context.places.of(service.name, now, () =>
    [...first, ...otherwise]
      .filter((record) => takesWork(record, now, leavingMilliseconds))
      .map((record) => ({
        slots: record.entry.slots,
        load: record.load(now),
      })),
  );
  const share = shareWithPlaces(totals, {
    arrivalsPerMillisecond:
      context.arrivalRates.noted(service.name, now) * context.hosts(),
    holdMilliseconds: context.holdTimes.of(service.name),
    targetMilliseconds: route.targetMilliseconds,
    lagMilliseconds: context.newsLagMilliseconds(),
  });
  context.metrics.gauge("share_with_places", share);
  return share >= 1 || context.random.next() < share;
}

/** Whether a server takes requests now: it is ready, or began to leave lately. */
function takesWork(
  record: ServerRecord,
  now: number,
  leavingMilliseconds: number,
): boolean {
  const leftFor = now - (record.leavingSince ?? -Infinity);
  if (record.rest.holds(now)) return false;
  return record.isReady
    ? !record.isEjected(now)
    : leftFor < leavingMilliseconds;
}

/** Time for which a leaving server takes a request like this one, in milliseconds. */
function timeToLeave(
  request: AdmittedRequest,
  context: RequestContext,
): number {
  return endsInTime(request) ? context.drainMilliseconds() * LEAVING_SHARE : 0;
}

interface Send {
  readonly request: AdmittedRequest;
  readonly tried: ReadonlySet<string>;
  readonly now: number;
}

function chooseAmong(
  records: readonly ServerRecord[],
  { request, tried, now }: Send,
  context: RequestContext,
): ChoiceOutcome {
  const { prefixes, readingRates } = context;
  const { name } = request.service;
  return chooseServer(records, prefixes, {
    now,
    dataHall: context.dataHall,
    engine: request.service.engine,
    parts: request.head.promptParts,
    promptTokens: promptTokens(request.head),
    readingRate: readingRates.of(name),
    excluded: tried,
    ownConnections: ownConnections(request.service, context.hosts()),
    leavingMilliseconds: timeToLeave(request, context),
    hearsDispatches: context.hearsDispatches(),
    draw: () => context.random.next(),
  });
}

/** Whether a request ends, or can be moved, before a leaving server ends. */
function endsInTime({ route, service }: AdmittedRequest): boolean {
  return !route.streaming || (service.engine?.movable ?? false);
}
