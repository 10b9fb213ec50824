// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Choice of a backend server: the one of lowest cost among those that are
 * allowed and predicted to meet the latency target. The time of a choice does
 * not grow with the number of servers: in a large group it scores only the
 * servers that have the prompt's prefix in their cache, a sample of the
 * cheapest servers and a sample of all servers.
 *
 * @module
 */
import type { ChoiceWeights } from "rampswitch-types";
import type { Random } from "rampswitch-utils";
import type { Candidate, Route } from "./routing_table.ts";
import { AffinityRing } from "./affinity_ring.ts";
import type { PrefixIndex } from "./prefix_index.ts";
import type { EstimatedLoad } from "./server_load.ts";

/** Speeds of a service's backend servers, measured or assumed. */
export interface ServiceSpeeds {
  /** Milliseconds to compute one prompt token. */
  readonly promptTokenMilliseconds: number;
  /** Milliseconds between generated tokens. */
  readonly tokenMilliseconds: number;
}

/** The properties of a request that a choice needs. */
export interface ChoiceRequest {
  /** Identifiers of the prompt's prefix blocks, from its start. */
  readonly blocks: readonly string[];
  /**
   * Identifier of the conversation, the same for all its requests; `undefined`
   * if the request does not belong to a conversation.
   */
  readonly conversation?: string | undefined;
  /** Prompt tokens that earlier requests of the conversation already had. */
  readonly earlierTokens?: number | undefined;
  readonly promptTokens: number;
  /** Expected number of tokens of the answer. */
  readonly expectedTokens: number;
  /** Target of the time to the first token. */
  readonly targetMilliseconds: number;
  readonly weights: ChoiceWeights;
  /** Names of servers on which an earlier attempt failed. */
  readonly avoid: ReadonlySet<string>;
}

/** State and dependencies of a choice. */
export interface ChoiceContext {
  readonly now: number;
  readonly random: Random;
  readonly prefixes: PrefixIndex;
  /** Prompt tokens in one prefix block. */
  readonly blockTokens: number;
  readonly speeds: ServiceSpeeds;
  /** Estimated load of a server. */
  load(server: string): EstimatedLoad;
  /** Reason why a server gets no new requests; `undefined` if it does. */
  exclusionReason(candidate: Candidate): string | undefined;
  /** Share of its normal load that a server should get, at most 1. */
  share(server: string): number;
}

/** Score of a candidate and the values that it was computed from. */
export interface Score {
  readonly server: string;
  readonly priority: number;
  /** Predicted time to the first token. */
  readonly predictedMilliseconds: number;
  /** Prompt tokens that the server is expected to have in its prefix cache. */
  readonly cachedTokens: number;
  readonly meetsTarget: boolean;
  /** Weighted cost of host time and of recomputed tokens, in US dollars. */
  readonly cost: number;
}

/** A candidate that was excluded, with the reason. */
export interface Exclusion {
  readonly server: string;
  readonly reason: string;
}

/** Result of a choice. */
export interface Choice {
  /** Score of the chosen server; `undefined` if all were excluded. */
  readonly chosen: Score | undefined;
  readonly scores: readonly Score[];
  readonly exclusions: readonly Exclusion[];
}

/** Number of servers up to which all servers of a group are scored. */
const MAXIMUM_FULLY_SCORED_GROUP = 24;
/** Servers sampled from a larger group: half of the cheapest, half of all. */
const SAMPLE_SIZE = 12;
/** Servers scored because they have a prefix of the prompt in their cache. */
const MAXIMUM_PREFIX_CANDIDATES = 6;
const MILLISECONDS_PER_HOUR = 3_600_000;
/** Cost of time in a queue, as a share of the price of host time. */
const QUEUE_TIME_WEIGHT = 0.25;
/** Costs up to this multiple of the lowest cost count as equal. */
const EQUAL_COST_FACTOR = 1.02;

/**
 * Chooses a backend server of a route: the cheapest one that meets the target,
 * from the first group that has one. If no server meets the target, it chooses
 * the one with the shortest predicted time.
 */
export function choose(
  route: Route,
  request: ChoiceRequest,
  context: ChoiceContext,
): Choice {
  const cachedTokensByServer = new Map(
    context.prefixes
      .matches(request.blocks)
      .slice(0, MAXIMUM_PREFIX_CANDIDATES)
      .map(({ server, blocks }) => [server, blocks * context.blockTokens]),
  );
  const scores: Score[] = [];
  const exclusions: Exclusion[] = [];
  for (const group of route.groups) {
    const preferred = preferredCandidate(group.candidates, request, context);
    const considered = candidatesToScore(
      group.candidates,
      cachedTokensByServer,
      {
        preferred,
        context,
      },
    );
    const scored = considered.flatMap((candidate) => {
      const reason = request.avoid.has(candidate.server.name)
        ? "an earlier attempt failed on it"
        : context.exclusionReason(candidate);
      if (reason === undefined) {
        return [
          score(candidate, request, {
            cachedTokensByServer,
            context,
            group,
            preferred,
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

/** All candidates of a small group; a selection of a large one. */
function candidatesToScore(
  candidates: readonly Candidate[],
  cachedTokensByServer: ReadonlyMap<string, number>,
  options: {
    readonly preferred: Candidate | undefined;
    readonly context: ChoiceContext;
  },
): readonly Candidate[] {
  if (candidates.length <= MAXIMUM_FULLY_SCORED_GROUP) return candidates;
  const { preferred, context } = options;
  const index = groupIndexOf(candidates);
  const prefixHolders = [...cachedTokensByServer.keys()].flatMap(
    (server) => index.byName.get(server) ?? [],
  );
  const draws = Array.from({ length: SAMPLE_SIZE }, (_, draw) => {
    const pool = draw % 2 === 0 ? index.cheapest : candidates;
    return pool[context.random.below(pool.length)];
  });
  return [...new Set([...prefixHolders, preferred, ...draws])].filter(
    (candidate) => candidate !== undefined,
  );
}

/**
 * The preferred server of a conversation, one of the cheapest. All entry hosts
 * find the same one, so that the requests of a conversation find their prefix
 * in its cache at a low price.
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
      context.exclusionReason(candidate) === undefined &&
      context.load(candidate.server.name).requests <
        candidate.server.concurrency,
  );
}

/** Values derived from a group of candidates, cached for each group. */
interface GroupIndex {
  readonly byName: ReadonlyMap<string, Candidate>;
  /** Candidates with the lowest price. */
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

/** Whether a group of candidates has a server with this name. */
export function includesServer(
  candidates: readonly Candidate[],
  server: string,
): boolean {
  return groupIndexOf(candidates).byName.has(server);
}

function score(
  candidate: Candidate,
  request: ChoiceRequest,
  options: {
    readonly cachedTokensByServer: ReadonlyMap<string, number>;
    readonly context: ChoiceContext;
    readonly group: { readonly priority: number };
    readonly preferred: Candidate | undefined;
  },
): Score {
  const { context, cachedTokensByServer } = options;
  const { name, concurrency } = candidate.server;
  const expectedCachedTokens =
    candidate === options.preferred ? (request.earlierTokens ?? 0) : 0;
  const cachedTokens = Math.min(
    request.promptTokens,
    Math.max(expectedCachedTokens, cachedTokensByServer.get(name) ?? 0),
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
      uncachedPromptTokens,
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
  const { runMilliseconds, waitMilliseconds, uncachedPromptTokens } = durations;
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
    (uncachedPromptTokens + expectedTokensLost);
  return (
    request.weights.cost * hostTimeCost +
    request.weights.recomputedTokens * recomputationCost
  );
}

/** A random score of those with the lowest cost; the preferred server wins. */
function lowestCost(
  scores: readonly Score[],
  options: { readonly random: Random; readonly preferred: string | undefined },
): Score | undefined {
  const lowest = Math.min(...scores.map(({ cost }) => cost));
  const equal = scores.filter(({ cost }) => cost <= lowest * EQUAL_COST_FACTOR);
  const preferredScore = equal.find(
    ({ server }) => server === options.preferred,
  );
  if (preferredScore !== undefined || equal.length <= 1)
    return preferredScore ?? equal[0];
  return equal[options.random.below(equal.length)];
}
