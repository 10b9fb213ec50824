// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Choice of a backend server: among those allowed and predicted to meet the
 * target, the one of least cost. Its time does not grow with their number: of
 * a large group it looks at the servers that hold the prompt's prefix, a
 * sample of the cheapest, and a sample of all.
 *
 * @module
 */
import type { ChoiceWeights } from "rampswitch-types";
import type { Random } from "rampswitch-utils";
import type { Candidate, Route } from "./routing_table.ts";
import { AffinityRing } from "./affinity_ring.ts";
import type { PrefixIndex } from "./prefix_index.ts";
import type { EstimatedLoad } from "./server_load.ts";

/** Speeds of a service's backend servers, learned or assumed. */
export interface ServiceSpeeds {
  /** Milliseconds to compute a prompt token. */
  readonly promptTokenMilliseconds: number;
  /** Milliseconds between generated tokens. */
  readonly tokenMilliseconds: number;
}

/** A request as the choice sees it. */
export interface ChoiceRequest {
  readonly blocks: readonly string[];
  /**
   * Names the conversation, the same in each of its turns; absent for work
   * that is not part of one.
   */
  readonly conversation?: string | undefined;
  /** Tokens of the prompt that earlier turns of the conversation had. */
  readonly earlierTokens?: number | undefined;
  readonly promptTokens: number;
  readonly expectedTokens: number;
  readonly targetMilliseconds: number;
  readonly weights: ChoiceWeights;
  /** Servers that an earlier attempt failed on. */
  readonly avoid: ReadonlySet<string>;
}

/** What the choice asks its surroundings. */
export interface ChoiceContext {
  readonly now: number;
  readonly random: Random;
  readonly prefixes: PrefixIndex;
  readonly blockTokens: number;
  readonly speeds: ServiceSpeeds;
  load(server: string): EstimatedLoad;
  /** Why a server takes no new work; `undefined` where it does. */
  excluded(candidate: Candidate): string | undefined;
  /** Share of its load that a server should get, at most 1. */
  share(server: string): number;
}

/** Why a candidate scored as it did. */
export interface Score {
  readonly server: string;
  readonly priority: number;
  readonly predictedMilliseconds: number;
  readonly cachedTokens: number;
  readonly meetsTarget: boolean;
  /** US dollars of host time and of tokens computed again, weighted. */
  readonly cost: number;
}

/** A candidate that was left out, and why. */
export interface Exclusion {
  readonly server: string;
  readonly reason: string;
}

/** The outcome of a choice. */
export interface Choice {
  readonly chosen: Score | undefined;
  readonly scores: readonly Score[];
  readonly exclusions: readonly Exclusion[];
}

const MAXIMUM_FULLY_SCORED_GROUP = 24;
const SAMPLE_SIZE = 12;
const MAXIMUM_PREFIX_CANDIDATES = 6;
const MILLISECONDS_PER_HOUR = 3_600_000;
/** A queue is worth this share of the price of host time while it waits. */
const QUEUE_TIME_WEIGHT = 0.25;
const EQUAL_COST_FACTOR = 1.02;

/** Chooses a backend server along a route. */
export function choose(
  route: Route,
  request: ChoiceRequest,
  context: ChoiceContext,
): Choice {
  const cached = new Map(
    context.prefixes
      .matches(request.blocks)
      .slice(0, MAXIMUM_PREFIX_CANDIDATES)
      .map(({ server, blocks }) => [server, blocks * context.blockTokens]),
  );
  const scores: Score[] = [];
  const exclusions: Exclusion[] = [];
  for (const group of route.groups) {
    const preferred = preferredCandidate(group.candidates, request, context);
    const considered = candidatesToScore(group.candidates, cached, {
      preferred: preferred,
      context,
    });
    const scored = considered.flatMap((candidate) => {
      const reason = request.avoid.has(candidate.server.name)
        ? "an earlier attempt failed on it"
        : context.excluded(candidate);
      if (reason === undefined) {
        return [
          score(candidate, request, {
            cached,
            context,
            group,
            preferred: preferred,
          }),
        ];
      }
      exclusions.push({ server: candidate.server.name, reason });
      return [];
    });
    scores.push(...scored);
    const best = lowestCost(
      scored.filter(({ meetsTarget }) => meetsTarget),
      { random: context.random, preferred: preferred?.server.name },
    );
    if (best !== undefined) return { chosen: best, scores, exclusions };
  }
  const [fastest] = scores.toSorted(
    (left, right) => left.predictedMilliseconds - right.predictedMilliseconds,
  );
  return { chosen: fastest, scores, exclusions };
}

function candidatesToScore(
  candidates: readonly Candidate[],
  cached: ReadonlyMap<string, number>,
  options: {
    readonly preferred: Candidate | undefined;
    readonly context: ChoiceContext;
  },
): readonly Candidate[] {
  if (candidates.length <= MAXIMUM_FULLY_SCORED_GROUP) return candidates;
  const { preferred: home, context } = options;
  const index = groupIndexOf(candidates);
  const prefixHolders = [...cached.keys()].flatMap(
    (server) => index.byName.get(server) ?? [],
  );
  const draws = Array.from({ length: SAMPLE_SIZE }, (_, draw) => {
    const pool = draw % 2 === 0 ? index.cheapest : candidates;
    return pool[context.random.below(pool.length)];
  });
  return [...new Set([...prefixHolders, home, ...draws])].filter(
    (candidate) => candidate !== undefined,
  );
}

/**
 * The server where a conversation belongs: among the cheapest, so that its
 * turns find their prefix at a low price, whichever host they come through.
 */
function preferredCandidate(
  candidates: readonly Candidate[],
  request: ChoiceRequest,
  context: ChoiceContext,
): Candidate | undefined {
  const { conversation } = request;
  if (conversation === undefined) return undefined;
  return groupIndexOf(candidates).ring.find(
    conversation,
    (candidate) =>
      !request.avoid.has(candidate.server.name) &&
      context.excluded(candidate) === undefined &&
      context.load(candidate.server.name).requests <
        candidate.server.concurrency,
  );
}

interface GroupIndex {
  readonly byName: ReadonlyMap<string, Candidate>;
  /** Candidates that share the lowest price. */
  readonly cheapest: readonly Candidate[];
  readonly ring: AffinityRing;
}

const GROUP_INDEXES = new WeakMap<readonly Candidate[], GroupIndex>();

function groupIndexOf(candidates: readonly Candidate[]): GroupIndex {
  const cached = GROUP_INDEXES.get(candidates);
  if (cached !== undefined) return cached;
  const lowest = Math.min(
    ...candidates.map(({ dollarsPerHour }) => dollarsPerHour),
  );
  const cheapest = candidates.filter(
    ({ dollarsPerHour }) => dollarsPerHour === lowest,
  );
  const index = {
    byName: new Map(
      candidates.map((candidate) => [candidate.server.name, candidate]),
    ),
    cheapest,
    ring: new AffinityRing(cheapest),
  };
  GROUP_INDEXES.set(candidates, index);
  return index;
}

/** Whether a server is among candidates. */
export function serverIn(
  candidates: readonly Candidate[],
  server: string,
): boolean {
  return groupIndexOf(candidates).byName.has(server);
}

function score(
  candidate: Candidate,
  request: ChoiceRequest,
  options: {
    readonly cached: ReadonlyMap<string, number>;
    readonly context: ChoiceContext;
    readonly group: { readonly priority: number };
    readonly preferred: Candidate | undefined;
  },
): Score {
  const { context, cached } = options;
  const { name, concurrency } = candidate.server;
  const expectedCachedTokens =
    candidate === options.preferred ? (request.earlierTokens ?? 0) : 0;
  const cachedTokens = Math.min(
    request.promptTokens,
    Math.max(expectedCachedTokens, cached.get(name) ?? 0),
  );
  const uncachedPromptTokens = request.promptTokens - cachedTokens;
  const load = context.load(name);
  const { promptTokenMilliseconds, tokenMilliseconds } = context.speeds;
  const runMilliseconds =
    uncachedPromptTokens * promptTokenMilliseconds +
    request.expectedTokens * tokenMilliseconds;
  const waitingRequests = Math.max(0, load.requests + 1 - concurrency);
  const waitMilliseconds =
    (waitingRequests * runMilliseconds) / concurrency +
    load.promptTokens * promptTokenMilliseconds;
  const firstTokenMilliseconds =
    uncachedPromptTokens * promptTokenMilliseconds + tokenMilliseconds;
  const predictedMilliseconds =
    (waitMilliseconds + firstTokenMilliseconds) / context.share(name);
  return {
    server: name,
    priority: options.group.priority,
    predictedMilliseconds,
    cachedTokens,
    meetsTarget: predictedMilliseconds <= request.targetMilliseconds,
    cost: costOf(candidate, request, {
      uncachedPromptTokens: uncachedPromptTokens,
      runMilliseconds,
      waitMilliseconds,
      promptTokenMilliseconds,
    }),
  };
}

function costOf(
  candidate: Candidate,
  request: ChoiceRequest,
  durations: {
    readonly uncachedPromptTokens: number;
    readonly runMilliseconds: number;
    readonly waitMilliseconds: number;
    readonly promptTokenMilliseconds: number;
  },
): number {
  const {
    runMilliseconds,
    waitMilliseconds,
    uncachedPromptTokens: uncached,
  } = durations;
  const pricePerMillisecond = candidate.dollarsPerHour / MILLISECONDS_PER_HOUR;
  const hostTimeCost =
    pricePerMillisecond *
    (runMilliseconds + QUEUE_TIME_WEIGHT * waitMilliseconds);
  const expectedTokensLost =
    (runMilliseconds / (candidate.meanHoursToReclaim * MILLISECONDS_PER_HOUR)) *
    (request.promptTokens + request.expectedTokens / 2);
  const recomputationCost =
    pricePerMillisecond *
    durations.promptTokenMilliseconds *
    (uncached + expectedTokensLost);
  return (
    request.weights.cost * hostTimeCost +
    request.weights.recomputedTokens * recomputationCost
  );
}

function lowestCost(
  scores: readonly Score[],
  options: { readonly random: Random; readonly preferred: string | undefined },
): Score | undefined {
  const lowest = Math.min(...scores.map(({ cost }) => cost));
  const equal = scores.filter(({ cost }) => cost <= lowest * EQUAL_COST_FACTOR);
  const home = equal.find(({ server }) => server === options.preferred);
  if (home !== undefined || equal.length <= 1) return home ?? equal[0];
  return equal[options.random.below(equal.length)];
}
