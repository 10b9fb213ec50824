// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * `measure policy`: our policy and four baselines at equal load and seeds, and
 * the time of one decision against the number of backend servers.
 *
 * @module
 */
import {
  choose,
  PrefixIndex,
  RoutingTable,
  ServerLoad,
} from "rampswitch-policy";
import type { Resource } from "rampswitch-types";
import { seededRandom } from "rampswitch-utils";
import { exampleResources, SERVICES } from "./deployment_plan.ts";
import type { MeasureOptions } from "./measure_options.ts";
import { ASSUMED_SPEEDS, CHOOSERS } from "./policy_choosers.ts";
import { type PolicyFigures, PolicySimulation } from "./policy_simulation.ts";
import {
  BLOCK_TOKENS,
  type DeploymentShape,
  drawTurns,
} from "./policy_workload.ts";
import { rounded } from "./statistics.ts";

/** Shapes of the two first users. */
export const SHAPES: readonly DeploymentShape[] = [
  {
    name: "logisFiable",
    engines: 6,
    recomputedWeight: 1,
    sessionsPerSecond: 2.2,
  },
  {
    name: "catracaSul",
    engines: 13,
    recomputedWeight: 4,
    sessionsPerSecond: 4.8,
  },
];

const SIMULATED_MILLISECONDS_PER_SECOND = 25_000;
const SERVER_COUNTS = [10, 100, 1_000, 6_600] as const;
const DECISIONS = 4_000;

/** Figures of all policies for one deployment. */
export interface DeploymentFigures {
  readonly deployment: string;
  readonly turns: number;
  readonly policies: Readonly<Record<string, PolicyFigures>>;
}

/** Runs the measurement. */
export function measurePolicy(options: MeasureOptions): Promise<unknown> {
  const deployments = SHAPES.map((shape) => compare(shape, options));
  return Promise.resolve({
    deployments,
    ratios: deployments.map(ratios),
    decisionMicroseconds: decisionTimes(options.seed),
  });
}

function compare(
  shape: DeploymentShape,
  options: MeasureOptions,
): DeploymentFigures {
  const milliseconds = options.seconds * SIMULATED_MILLISECONDS_PER_SECOND;
  const turns = drawTurns(shape, seededRandom(options.seed), milliseconds);
  const policies = Object.fromEntries(
    Object.entries(CHOOSERS).map(([name, factory]) => [
      name,
      new PolicySimulation(shape, factory, {
        seed: options.seed,
        milliseconds,
      }).run(turns),
    ]),
  );
  return { deployment: shape.name, turns: turns.length, policies };
}

/** Ours against round robin, and against the best baseline in each figure. */
function ratios({ deployment, policies }: DeploymentFigures): unknown {
  const { ours, roundRobin, ...others } = policies;
  if (ours === undefined || roundRobin === undefined) return undefined;
  const baselines = [roundRobin, ...Object.values(others)];
  const best = (key: keyof PolicyFigures) =>
    Math.min(...baselines.map((figures) => figures[key]));
  return {
    deployment,
    recomputedToRoundRobin: rounded(
      ours.recomputedTokens / roundRobin.recomputedTokens,
      3,
    ),
    recomputedToBest: rounded(
      ours.recomputedTokens / best("recomputedTokens"),
      3,
    ),
    costToBest: rounded(
      ours.costPerThousandAnswersAtTarget /
        best("costPerThousandAnswersAtTarget"),
      3,
    ),
    firstTokenP95ToBest: rounded(
      ours.firstTokenMillisecondsP95 / best("firstTokenMillisecondsP95"),
      3,
    ),
    betweenTokensP95ToBest: rounded(
      ours.betweenTokensMillisecondsP95 / best("betweenTokensMillisecondsP95"),
      3,
    ),
  };
}

/** Microseconds of one decision, by number of backend servers. */
export function decisionTimes(seed: number): Readonly<Record<string, number>> {
  return Object.fromEntries(
    SERVER_COUNTS.map((count) => [
      String(count),
      rounded(decisionTime(count, seed)),
    ]),
  );
}

function decisionTime(count: number, seed: number): number {
  const servers = Array.from({ length: count }, (_, index) => ({
    name: `engine-${index}`,
    address: "127.0.0.1:1",
    dataHall: `hall-${index % 8}`,
    service: SERVICES.model,
  }));
  const resources: readonly Resource[] = exampleResources(servers);
  const table = new RoutingTable(resources);
  const service = table.services.get(SERVICES.model);
  const workspace = table.workspaces.get("landlords");
  if (service === undefined || workspace === undefined) return Number.NaN;
  const random = seededRandom(seed);
  const prefixes = new PrefixIndex(100_000);
  const loads = new Map(servers.map(({ name }) => [name, new ServerLoad()]));
  const blocks = Array.from({ length: 40 }, (_, index) => `block-${index}`);
  prefixes.stored("engine-3", blocks);
  const decide = () =>
    choose(
      table.route(service, workspace),
      {
        blocks,
        promptTokens: blocks.length * BLOCK_TOKENS,
        expectedTokens: 100,
        targetMilliseconds: 620,
        weights: service.weights,
        avoid: new Set(),
      },
      {
        now: 0,
        random,
        prefixes,
        blockTokens: BLOCK_TOKENS,
        speeds: ASSUMED_SPEEDS,
        load: (server) =>
          loads.get(server)?.estimate(0, 9) ?? { requests: 0, promptTokens: 0 },
        exclusionReason: () => undefined,
        share: () => 1,
      },
    );
  Array.from({ length: DECISIONS }, decide);
  const started = performance.now();
  Array.from({ length: DECISIONS }, decide);
  return ((performance.now() - started) * 1000) / DECISIONS;
}
