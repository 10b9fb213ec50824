// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Choice of a backend server for one send: the one with the shortest predicted time
 * to the first part of the answer, with penalties for other data halls and for
 * failures. Pure.
 *
 * @module
 */
import type { EngineLimits } from "../model/configuration.ts";
import type { PromptPart } from "../model/request.ts";
import { homeServer } from "./home_server.ts";
import { planCopy, type CopySource, findCopySource } from "./prefix_copy.ts";
import type { PrefixCacheEstimate } from "./prefix_cache_estimate.ts";
import type { ServerRecord } from "./server_record.ts";

/** Inputs of a choice beside the servers. */
export interface ChoiceInputs {
  /** Milliseconds on the monotonic clock. */
  readonly now: number;
  /** Data hall of this host. */
  readonly dataHall: string;
  /** Limits of the service's engines; `undefined` for a plain service. */
  readonly engine: EngineLimits | undefined;
  readonly parts: readonly PromptPart[];
  readonly promptTokens: number;
  /** Prefill rate of an engine, in tokens per millisecond. */
  readonly readingRate: number;
  /** Time for which the request occupies a slot of a plain server, if known. */
  readonly holdMilliseconds?: number | undefined;
  /** Incarnations of servers that must not be chosen, such as those already tried. */
  readonly excluded: ReadonlySet<string>;
  /** Maximum requests of this host at one server at once. */
  readonly maximumOwnRequests: number;
  /**
   * Maximum requests that wait at a server, as a share of its slots, for a request that
   * has other claims to room than a new one.
   */
  readonly maximumQueueShare?: number | undefined;
  /** Whether this host may send one more request to a server. */
  allows?(record: ServerRecord): boolean;
  /**
   * Whether this host receives the dispatches of all other hosts, which report the
   * server that each prompt was sent to. In a large fleet it does not, and assumes
   * that the other hosts use the same home servers.
   */
  readonly receivesDispatches: boolean;
  /**
   * Time after a server announces its end in which it still gets requests that no
   * other server can take, in milliseconds.
   */
  readonly leavingGraceMilliseconds: number;
  /** Returns a random number in [0, 1). */
  draw(): number;
}

/** The chosen server and the figures behind the choice. */
export interface Choice {
  readonly record: ServerRecord;
  readonly predictedMilliseconds: number;
  /** The part of it that is work, at a server of usual speed. */
  readonly workMilliseconds: number;
  /** Factor by which work currently takes longer at the server. */
  readonly slowdown: number;
  /** Prompt tokens that the server has cached or copies, and so need no prefill. */
  readonly cachedTokens: number;
  /** Another engine with more of the prompt cached, to copy from. */
  readonly copyFrom: ServerRecord | undefined;
  /** Requests that run and wait at the server, from all hosts. */
  readonly load: number;
}

/** Outcome of a choice. */
export type ChoiceOutcome =
  | { readonly kind: "chosen"; readonly choice: Choice }
  /** No server of the service takes work. */
  | { readonly kind: "none" }
  /** Servers take work, but their slots and queues are full. */
  | { readonly kind: "full" }
  /** This host backs off from all servers that take work. */
  | { readonly kind: "resting" };

/** Penalty for a server in another data hall, in milliseconds of predicted time. */
const OTHER_DATA_HALL_PENALTY_MILLISECONDS = 6;

/** Penalty for a server that fails all requests, in milliseconds of predicted time. */
const FAILURE_PENALTY_MILLISECONDS = 600;

/** Time that each running request adds, in milliseconds. */
const RUNNING_REQUEST_MILLISECONDS = 1.5;

/** Wait for a slot of an engine per request above its slots, in milliseconds. */
const ENGINE_QUEUED_REQUEST_MILLISECONDS = 60;

/** Time that one request of a plain service takes, in milliseconds. */
const PLAIN_REQUEST_MILLISECONDS = 20;

/** Maximum requests that wait at a server before a new one, as a share of its slots. */
const MAXIMUM_QUEUE_SHARE = 0.75;

/**
 * Bonus for the servers that have a prompt's shared parts cached, in milliseconds of
 * predicted time. Loads are known with a delay and cached parts are not. The prefill
 * of a prompt on another server also delays all requests that run there.
 */
const PREFERENCE_MILLISECONDS = 200;

/**
 * Share of a prompt's shared parts that its home server is assumed to have cached if
 * this host does not receive the dispatches of other hosts.
 */
const HOME_CACHED_SHARE = 0.6;

/**
 * Random servers that are compared beside the home server if loads are known with a
 * delay. Two are the minimum that spreads load; the third keeps the tail short.
 */
const SAMPLED_SERVERS = 3;

/**
 * Chooses among the servers of a service. Servers that leave soon are considered only
 * if no ready server can be chosen.
 */
export function chooseServer(
  records: readonly ServerRecord[],
  prefixes: PrefixCacheEstimate,
  inputs: ChoiceInputs,
): ChoiceOutcome {
  const copySource = findCopySource(records, prefixes, inputs);
  const withSource = { ...inputs, copySource };
  const ready = selectServers(records, inputs, isReady);
  const outcome = chooseAmong(ready, prefixes, withSource);
  if (outcome.kind === "chosen") return outcome;
  const leaving = selectServers(records, inputs, acceptsLastRequest);
  const fallback = chooseAmong(leaving, prefixes, withSource);
  return fallback.kind === "chosen" ? fallback : outcome;
}

function isReady(record: ServerRecord): boolean {
  return record.isReady;
}

/**
 * Whether a leaving server accepts one more request: its end was announced so recently
 * that the run can complete or migrate in time. If all data halls are reclaimed within
 * seconds, new servers start only when the last old ones end.
 */
function acceptsLastRequest(
  record: ServerRecord,
  inputs: ChoiceInputs,
): boolean {
  const { leavingSince } = record;
  return (
    !record.isReady &&
    leavingSince !== undefined &&
    inputs.now - leavingSince < inputs.leavingGraceMilliseconds
  );
}

/** Servers that may get a request, and why there may be none. */
interface SelectedServers {
  /** Servers with capacity. */
  readonly withCapacity: readonly ServerRecord[];
  /** The outcome if no server has capacity. */
  readonly otherwise: Exclude<ChoiceOutcome["kind"], "chosen">;
}

/** Selects servers in one pass, since a service may have thousands of them. */
function selectServers(
  records: readonly ServerRecord[],
  inputs: ChoiceInputs,
  isCandidate: (record: ServerRecord, inputs: ChoiceInputs) => boolean,
): SelectedServers {
  const { now, excluded } = inputs;
  const healthy: ServerRecord[] = [];
  const ejected: ServerRecord[] = [];
  let hasHealthy = false;
  let hasAvailable = false;
  let hasCandidate = false;
  for (const record of records) {
    if (!isCandidate(record, inputs)) continue;
    if (excluded.size > 0 && excluded.has(record.incarnation)) continue;
    hasCandidate = true;
    if (record.backOff.isActive(now)) continue;
    hasAvailable = true;
    const isEjected = record.isEjected(now);
    hasHealthy ||= !isEjected;
    if (hasCapacity(record, inputs)) {
      (isEjected ? ejected : healthy).push(record);
    }
  }
  return {
    // If all servers failed recently, trying one is better than a refusal.
    withCapacity: hasHealthy ? healthy : ejected,
    otherwise: hasAvailable ? "full" : hasCandidate ? "resting" : "none",
  };
}

function chooseAmong(
  { withCapacity, otherwise }: SelectedServers,
  prefixes: PrefixCacheEstimate,
  inputs: ChoiceInputs & { readonly copySource: CopySource | undefined },
): ChoiceOutcome {
  if (withCapacity.length === 0) return { kind: otherwise };
  const withPreferred = {
    ...inputs,
    preferred: preferredServers(withCapacity, prefixes, inputs),
  };
  const choices = candidates(withCapacity, withPreferred).map((record) =>
    predict(record, prefixes, withPreferred),
  );
  return { kind: "chosen", choice: fastestOf(choices, inputs) };
}

/** Returns the choice with the shortest predicted time; ties are broken at random. */
function fastestOf(
  choices: readonly Choice[],
  inputs: Pick<ChoiceInputs, "draw">,
): Choice {
  const best = choices.reduce((fastest, choice) =>
    choice.predictedMilliseconds < fastest.predictedMilliseconds
      ? choice
      : fastest,
  );
  const equal = choices.filter(
    ({ predictedMilliseconds }) =>
      predictedMilliseconds === best.predictedMilliseconds,
  );
  if (equal.length === 1) return best;
  return equal[Math.floor(inputs.draw() * equal.length)] ?? best;
}

/**
 * Returns the servers to compare: all of them in a small fleet, the home server and a
 * random sample in a large one. In a large fleet the known loads are as old as a
 * request takes, so all hosts would choose the one server that was idle a second ago.
 */
function candidates(
  withCapacity: readonly ServerRecord[],
  inputs: ChoiceInputs & Preferred,
): readonly ServerRecord[] {
  if (inputs.receivesDispatches || withCapacity.length <= SAMPLED_SERVERS)
    return withCapacity;
  const sampled = sampleServers(withCapacity, SAMPLED_SERVERS, inputs);
  const preferred = withCapacity.filter(({ entry }) =>
    inputs.preferred.has(entry.id),
  );
  return [
    ...preferred,
    ...sampled.filter((record) => !preferred.includes(record)),
  ];
}

/** Returns up to `count` different servers at random. */
function sampleServers(
  pool: readonly ServerRecord[],
  count: number,
  inputs: ChoiceInputs,
): readonly ServerRecord[] {
  const sampled: number[] = [];
  while (sampled.length < Math.min(count, pool.length)) {
    const index = Math.floor(inputs.draw() * (pool.length - sampled.length));
    sampled.push(indexAmongOthers(index, sampled));
  }
  return sampled.flatMap((index) => pool[index] ?? []);
}

/** Returns the position in the pool of the nth server that is not sampled yet. */
function indexAmongOthers(nth: number, sampled: readonly number[]): number {
  return sampled
    .toSorted((left, right) => left - right)
    .reduce((index, taken) => (taken <= index ? index + 1 : index), nth);
}

/** Whether the server can take one more request of this host, queued or running. */
function hasCapacity(record: ServerRecord, inputs: ChoiceInputs): boolean {
  const { maximumQueueShare = MAXIMUM_QUEUE_SHARE } = inputs;
  const maximumLoad = record.entry.slots * (1 + maximumQueueShare);
  return (
    record.backOff.allowsSend(inputs.now) &&
    inputs.allows?.(record) !== false &&
    record.load(inputs.now) < maximumLoad &&
    record.ownRunning < inputs.maximumOwnRequests
  );
}

/** Predicts the time to the first part of the answer, with penalties and bonuses. */
function predict(
  record: ServerRecord,
  prefixes: PrefixCacheEstimate,
  inputs: ChoiceInputs &
    Preferred & {
      readonly copySource: CopySource | undefined;
    },
): Choice {
  const load = record.load(inputs.now);
  const isPreferred = inputs.preferred.has(record.entry.id);
  const cachedTokens = Math.max(
    prefixes.cachedTokens(record.entry.id, inputs.parts),
    isPreferred && !inputs.receivesDispatches
      ? HOME_CACHED_SHARE * sharedTokens(inputs.parts)
      : 0,
  );
  const copy = planCopy(record, cachedTokens, inputs);
  const distance =
    record.entry.dataHall === inputs.dataHall
      ? 0
      : OTHER_DATA_HALL_PENALTY_MILLISECONDS;
  const failures = record.failureShare * FAILURE_PENALTY_MILLISECONDS;
  const slowdown = record.speed.slowdown(inputs.now);
  const workMilliseconds =
    inputs.engine === undefined
      ? plainMilliseconds(load, record.entry.slots)
      : engineMilliseconds(record, { load, cachedTokens }, inputs);
  // An idle slow server still takes longer for the request itself. At usual speed this
  // adds nothing, since the time is then equal at all servers.
  const ownDelay =
    inputs.engine === undefined
      ? (slowdown - 1) * (inputs.holdMilliseconds ?? PLAIN_REQUEST_MILLISECONDS)
      : 0;
  const work = workMilliseconds * slowdown + ownDelay;
  const preference = isPreferred ? PREFERENCE_MILLISECONDS : 0;
  return {
    record,
    cachedTokens: cachedTokens + copy.tokens,
    copyFrom: copy.from,
    load,
    slowdown,
    workMilliseconds,
    predictedMilliseconds: work + distance + failures - preference,
  };
}

/** Predicted time on a server of a plain service, in milliseconds. */
function plainMilliseconds(load: number, slots: number): number {
  const waiting = Math.max(0, load + 1 - slots);
  return (
    (load / slots) * PLAIN_REQUEST_MILLISECONDS * 0.5 +
    (waiting / slots) * PLAIN_REQUEST_MILLISECONDS * 2
  );
}

/** Predicted time on an engine to the first part of the answer, in milliseconds. */
function engineMilliseconds(
  record: ServerRecord,
  known: { readonly load: number; readonly cachedTokens: number },
  inputs: ChoiceInputs,
): number {
  const queuedTokens = record.pendingPrefillTokens(inputs.now);
  const ownTokens = Math.max(0, inputs.promptTokens - known.cachedTokens);
  const waiting = Math.max(0, known.load + 1 - record.entry.slots);
  return (
    (queuedTokens + ownTokens) / inputs.readingRate +
    known.load * RUNNING_REQUEST_MILLISECONDS +
    waiting * ENGINE_QUEUED_REQUEST_MILLISECONDS
  );
}

/** Ids of the servers that are preferred for their cached parts. */
interface Preferred {
  readonly preferred: ReadonlySet<string>;
}

/**
 * Returns the ids of the servers with most of a prompt's shared parts cached. Falls
 * back to the prompt's home server if none has any, or if this host does not receive
 * the dispatches of all others.
 */
function preferredServers(
  records: readonly ServerRecord[],
  prefixes: PrefixCacheEstimate,
  inputs: ChoiceInputs,
): ReadonlySet<string> {
  const cachingServers = inputs.receivesDispatches
    ? serversWithMostCached(records, prefixes, inputs.parts.slice(0, -1))
    : [];
  // Computed only if needed: finding the home server looks at each server.
  if (cachingServers.length > 0) return new Set(cachingServers);
  const home = homeServer(records, inputs.parts.at(-2)?.id);
  return new Set(home === undefined ? [] : [home]);
}

function serversWithMostCached(
  records: readonly ServerRecord[],
  prefixes: PrefixCacheEstimate,
  shared: readonly PromptPart[],
): readonly string[] {
  let maximum = 0;
  let ids: string[] = [];
  for (const { entry } of records) {
    const tokens = prefixes.cachedTokens(entry.id, shared);
    if (tokens > maximum) {
      maximum = tokens;
      ids = [entry.id];
    } else if (tokens > 0 && tokens === maximum) ids.push(entry.id);
  }
  return ids;
}

/** Counts the tokens of the parts that other prompts may share: all but the last. */
function sharedTokens(parts: readonly PromptPart[]): number {
  return parts.slice(0, -1).reduce((sum, part) => sum + part.tokens, 0);
}
