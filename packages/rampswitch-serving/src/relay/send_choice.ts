// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Chooses a server for one send of a request from the state that this host has of
 * all servers.
 *
 * @module
 */
import {
  type Choice,
  type ChoiceOutcome,
  chooseServer,
  type ServerRecord,
} from "../choice/mod.ts";
import { promptTokensOf } from "../estimates/mod.ts";
import {
  type RoomDecision,
  type RoomRequest,
  roomClassOf,
} from "../room/mod.ts";
import { type VersionChoice, withoutVersions } from "../rollout/mod.ts";
import type { AdmittedRequest } from "./admitted_request.ts";
import { ownConnections } from "./connection_share.ts";
import type { RequestContext } from "./request_context.ts";

/**
 * Share of the time to a leaving server's end in which it is sent requests. The
 * remainder allows for the transmission of a request and for the delay until the
 * announced end is known here.
 */
const LEAVING_SEND_SHARE = 0.6;

/**
 * Maximum requests that wait at a server before a stream that continues, as a share of
 * its slots; larger than before a new request, as the stream has only the servers of its
 * version.
 */
const CONTINUATION_QUEUE_SHARE = 1;

/** Refusal of a request because capacity is short. */
export type RoomRefusal = Extract<RoomDecision, { readonly kind: "short" }> & {
  /** The request as admission saw it. */
  readonly request: RoomRequest;
};

/** What a send depends on beside its request. */
export interface SendTerms {
  /** Server incarnations that the request was sent to. */
  readonly tried: ReadonlySet<string>;
  /** Whether admission has given it room. */
  readonly hasRoom: boolean;
  /** The only version that the send may go to; `undefined`: any. */
  readonly version?: string | undefined;
  /** Whether a server that was tried may get it again if no other is left. */
  readonly mayReturn?: boolean | undefined;
}

/** Result of a choice for one send. */
export interface SendChoice {
  /** Outcome of the choice among the servers that need no permit. */
  readonly outcome: ChoiceOutcome;
  /** Limited servers that may take the request with a permit, preferred ones first. */
  readonly limited: readonly ServerRecord[];
  /** Why a first send finds no capacity; `undefined` if it finds some. */
  readonly refusal: RoomRefusal | undefined;
}

/** Chooses among the servers whose current incarnations were not tried. */
export function chooseForSend(
  request: AdmittedRequest,
  terms: SendTerms,
  context: RequestContext,
): SendChoice {
  const now = context.clock.now();
  const { version } = terms;
  const isFirst = terms.tried.size === 0;
  const asked = { isFirst, version, now };
  const send = { ...terms, request, now };
  const all = atNamedVersions(
    context.rollouts.choice(request.service.name, asked),
    send,
    context,
  );
  return {
    ...chooseWithoutPermit(withoutLimited(all, context), send, context),
    limited: withPermits(all, send, context),
  };
}

/**
 * Keeps a stream that may be taken up to the versions that the store names, as long as
 * one of them has a server for it: hosts that start after the end of all others know no
 * further ones.
 */
function atNamedVersions(
  all: VersionChoice,
  { request, version, tried, now }: SendQuery,
  { streams }: RequestContext,
): VersionChoice {
  const { streaming, resumable } = request.route;
  if (version !== undefined || !streaming || !resumable) return all;
  const unnamed = streams.names.unnamedOf(request.service.name);
  if (unnamed === undefined) return all;
  return withoutVersions(
    all,
    unnamed,
    (record) =>
      record.isReady &&
      !record.isEjected(now) &&
      !record.backOff.isActive(now) &&
      !tried.has(record.incarnation),
  );
}

/** The choice of a limited server for which a permit was given. */
export function choosePermitted(
  record: ServerRecord,
  request: AdmittedRequest,
  context: RequestContext,
): Choice | undefined {
  const send = {
    request,
    tried: new Set<string>(),
    hasRoom: true,
    now: context.clock.now(),
  };
  const outcome = chooseAmong([record], send, context);
  return outcome.kind === "chosen" ? outcome.choice : undefined;
}

function chooseWithoutPermit(
  versions: VersionChoice,
  send: SendQuery,
  context: RequestContext,
): Omit<SendChoice, "limited"> {
  const isFirst = send.tried.size === 0;
  if (isFirst && allBackOff(versions, send.now)) {
    return { outcome: { kind: "resting" }, refusal: undefined };
  }
  // Only first sends are decided on, so a resend is never refused here.
  if (isFirst && !send.hasRoom) {
    const room = roomRequest(versions, send, context);
    // A stream that its caller has a part of comes before new requests.
    const comesFirst =
      send.version !== undefined ||
      context.brittle.hasFreeShare(versions.first);
    const decision = comesFirst
      ? admittedAhead(room, send, context)
      : admission(room, send, context);
    if (decision.kind === "short") {
      const refusal = { ...decision, request: room };
      return { outcome: { kind: "full" }, refusal };
    }
  }
  return {
    outcome:
      send.version === undefined
        ? chooseAtAnyVersion(versions, send, context)
        : chooseForContinuation(versions.first, send, context),
    refusal: undefined,
  };
}

function chooseAtAnyVersion(
  { first, fallback: otherwise }: VersionChoice,
  send: SendQuery,
  context: RequestContext,
): ChoiceOutcome {
  const outcome = chooseAmong(first, send, context);
  return outcome.kind === "chosen" || otherwise === undefined
    ? outcome
    : chooseAmong(otherwise, send, context);
}

/**
 * Chooses for a stream that only servers of one version can continue. If all of them
 * were tried, one may be tried again: often its connection alone broke.
 */
function chooseForContinuation(
  records: readonly ServerRecord[],
  send: SendQuery,
  context: RequestContext,
): ChoiceOutcome {
  const outcome = chooseAmong(records, send, context);
  return outcome.kind === "none" && send.mayReturn === true
    ? chooseAmong(records, { ...send, tried: new Set() }, context)
    : outcome;
}

/** Whether all ready servers have asked for a back-off, so that none takes requests. */
function allBackOff(
  { first, fallback: otherwise = [] }: VersionChoice,
  now: number,
): boolean {
  const isAvailable = ({ isReady, backOff: rest }: ServerRecord) =>
    isReady && !rest.isActive(now);
  // This is cheap: in nearly all cases the first server already decides.
  if (first.some(isAvailable) || otherwise.some(isAvailable)) return false;
  return [...first, ...otherwise].some(({ isReady }) => isReady);
}

function withoutLimited(
  { first, fallback: otherwise }: VersionChoice,
  { permits }: RequestContext,
): VersionChoice {
  return {
    first: permits.unlimited(first),
    fallback:
      otherwise === undefined ? undefined : permits.unlimited(otherwise),
  };
}

/** Connections that this host may use to each server of the request's service. */
function connectionsOf(
  { service }: AdmittedRequest,
  context: RequestContext,
): number {
  const part = context.ownPart(service.name);
  return ownConnections(service, { hosts: context.hosts(), part });
}

/**
 * Limited servers that may take a request now, least loaded first. No requests
 * queue at a limited server, so it needs a free slot.
 */
function withPermits(
  { first, fallback: otherwise = [] }: VersionChoice,
  { request, tried, now }: SendQuery,
  context: RequestContext,
): readonly ServerRecord[] {
  const { permits } = context;
  const limited = [...permits.limited(first), ...permits.limited(otherwise)];
  if (limited.length === 0) return limited;
  context.metrics.event("limited_servers_left_out");
  const connections = connectionsOf(request, context);
  return limited
    .filter((record) => record.isReady && !record.isEjected(now))
    .filter(({ backOff: rest }) => rest.allowsSend(now))
    .filter((record) => !tried.has(record.incarnation))
    .filter((record) => record.load(now) < record.entry.slots)
    .filter((record) => record.ownRunning < connections)
    .filter((record) => context.brittle.allows(record))
    .toSorted((left, right) => left.load(now) - right.load(now));
}

/**
 * Admits a request without a decision: a place at a brittle server is free for it, or
 * its caller has a part of the answer.
 */
function admittedAhead(
  room: RoomRequest,
  { now }: SendQuery,
  { room: admissions }: RequestContext,
): RoomDecision {
  admissions.admitReturned(room, now);
  return { kind: "admitted" };
}

/**
 * Decides on a request: a caller who returns as told is admitted, and requests that
 * wait come before new ones.
 */
function admission(
  room: RoomRequest,
  { request, now }: SendQuery,
  context: RequestContext,
): RoomDecision {
  const { fingerprint } = request;
  const returning = { fingerprint, roomClass: room.roomClass };
  const roomNow = () => context.room.roomOf(room, now);
  if (context.returns.claim(returning, roomNow, now)) {
    context.room.admitReturned(room, now);
    return { kind: "admitted" };
  }
  context.waiting.examine();
  return context.room.decide(room, now);
}

/** A waiting request with the ranks that the configuration gives it now. */
export function withPresentRanks(
  room: RoomRequest,
  request: AdmittedRequest,
  context: Pick<RequestContext, "configuration">,
): RoomRequest {
  const present = context.configuration().routes?.configuration;
  const { route, workspace, service } = request;
  return {
    ...room,
    roomClass: roomClassOf({
      service,
      route: present?.routes.find(({ name }) => name === route.name) ?? route,
      workspace:
        workspace &&
        (present?.workspaces.find(({ name }) => name === workspace.name) ??
          workspace),
    }),
  };
}

/** A request as admission sees it. */
function roomRequest(
  { first, fallback: otherwise = [] }: VersionChoice,
  send: SendQuery,
  context: RequestContext,
): RoomRequest {
  const { request, now } = send;
  const { service, route } = request;
  return {
    roomClass: roomClassOf(request),
    work: context.workEstimates.of(request).holdMilliseconds,
    targetMilliseconds: route.targetMilliseconds,
    sharesAlone: service.engine !== undefined,
    servers: () => {
      const leavingMilliseconds = leavingWindowMilliseconds(send, context);
      return [...first, ...otherwise]
        .filter((record) => acceptsRequests(record, now, leavingMilliseconds))
        .map((record) => ({
          slots: record.entry.slots,
          load: record.load(now),
          ownLoad: record.ownRunning,
          slowdown: record.speed.slowdown(now),
        }));
    },
  };
}

/** Whether a server takes requests now: it is ready, or announced its end recently. */
function acceptsRequests(
  record: ServerRecord,
  now: number,
  leavingMilliseconds: number,
): boolean {
  const leftFor = now - (record.leavingSince ?? -Infinity);
  if (record.backOff.isActive(now)) return false;
  return record.isReady
    ? !record.isEjected(now)
    : leftFor < leavingMilliseconds;
}

/** Time for which a leaving server is sent requests like this one, in milliseconds. */
function leavingWindowMilliseconds(
  { request, version }: Pick<SendQuery, "request" | "version">,
  context: RequestContext,
): number {
  return version !== undefined || endsBeforeServer(request)
    ? context.drainMilliseconds() * LEAVING_SEND_SHARE
    : 0;
}

/** A send for which a server is chosen. */
interface SendQuery extends SendTerms {
  readonly request: AdmittedRequest;
  readonly now: number;
}

function chooseAmong(
  records: readonly ServerRecord[],
  send: SendQuery,
  context: RequestContext,
): ChoiceOutcome {
  const { request, tried, now } = send;
  const { prefixes, workEstimates } = context;
  const { name, engine } = request.service;
  return chooseServer(records, prefixes, {
    now,
    dataHall: context.dataHall,
    engine,
    parts: request.head.promptParts,
    promptTokens: promptTokensOf(request.head),
    readingRate: workEstimates.prefillRate(name),
    holdMilliseconds:
      engine === undefined
        ? workEstimates.of(request).holdMilliseconds
        : undefined,
    excluded: tried,
    maximumOwnRequests: connectionsOf(request, context),
    allows: (record) => context.brittle.allows(record),
    leavingGraceMilliseconds: leavingWindowMilliseconds(send, context),
    maximumQueueShare:
      send.version === undefined ? undefined : CONTINUATION_QUEUE_SHARE,
    receivesDispatches: context.receivesDispatches(),
    draw: () => context.random.next(),
  });
}

/** Whether a request ends, or can migrate, before a leaving server ends. */
function endsBeforeServer({ route, service }: AdmittedRequest): boolean {
  return !route.streaming || (service.engine?.migratable ?? false);
}
