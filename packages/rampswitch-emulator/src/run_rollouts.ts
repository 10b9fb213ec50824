// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The emulator's command for roll-outs: good and bad versions of each kind, on fleets
 * of several sizes; a line of JSON for each case.
 *
 * @module
 */
import { Command } from "commander";
import { ALTERNATIVE_JUDGES } from "./alternative_judges.ts";
import { EmulatedRollout } from "./emulated_rollout.ts";
import {
  RAREST_ROUTE,
  type RolloutFigures,
  type RolloutRun,
  type RolloutTrouble,
  TROUBLES,
  type VersionBehaviour,
} from "./rollout_shape.ts";
import { seededRandom } from "rampswitch-utils";

/** A fleet and an order. */
export type RolloutFleet = Pick<
  RolloutRun,
  "hosts" | "requestsPerSecond" | "seconds"
>;

/** Fleets and orders to play. */
export const ROLLOUT_FLEETS: readonly RolloutFleet[] = [
  { hosts: 9, requestsPerSecond: 30, seconds: 6 },
  { hosts: 9, requestsPerSecond: 30, seconds: 12 },
  { hosts: 9, requestsPerSecond: 30, seconds: 30 },
  { hosts: 78, requestsPerSecond: 260, seconds: 6 },
  { hosts: 78, requestsPerSecond: 260, seconds: 12 },
  { hosts: 78, requestsPerSecond: 260, seconds: 30 },
  { hosts: 195, requestsPerSecond: 700, seconds: 12 },
];

const TROUBLE_NAMES = Object.keys(TROUBLES) as RolloutTrouble[];

/** A version that goes wrong at once, everywhere and always. */
const ALWAYS_BAD: VersionBehaviour = {
  share: 1,
  slower: "failing",
  after: 0,
  aboveLoad: 0,
  route: undefined,
};

/** Versions by what is wrong with them. */
export const VERSIONS: Readonly<Record<string, VersionBehaviour | undefined>> =
  {
    good: undefined,
    failing_5: { ...ALWAYS_BAD, share: 0.05 },
    failing_10: { ...ALWAYS_BAD, share: 0.1 },
    failing_30: { ...ALWAYS_BAD, share: 0.3 },
    failing_100: ALWAYS_BAD,
    slower_2: { ...ALWAYS_BAD, slower: 2 },
    slower_3: { ...ALWAYS_BAD, slower: 3 },
    slower_8_for_30: { ...ALWAYS_BAD, slower: 8, share: 0.3 },
    slower_8: { ...ALWAYS_BAD, slower: 8 },
    failing_30_after_50: { ...ALWAYS_BAD, share: 0.3, after: 0.5 },
    failing_30_after_90: { ...ALWAYS_BAD, share: 0.3, after: 0.9 },
    slower_3_after_50: { ...ALWAYS_BAD, slower: 3, after: 0.5 },
    failing_30_under_load: { ...ALWAYS_BAD, share: 0.3, aboveLoad: 5 },
    failing_100_rare_route: { ...ALWAYS_BAD, route: RAREST_ROUTE },
    failing_30_rare_route: { ...ALWAYS_BAD, share: 0.3, route: RAREST_ROUTE },
  };

interface RolloutsOptions {
  readonly seeds: string;
  readonly versions?: string;
  readonly judge: string;
  readonly trouble?: string;
  readonly hosts?: string;
  readonly first: string;
}

/** Runs the command; returns the exit code. */
export async function runRollouts(
  argv: readonly string[],
  write: (line: string) => void = (line) => process.stdout.write(`${line}\n`),
): Promise<number> {
  const command = new Command("rollouts")
    .description("play roll-outs of good and bad versions in simulated time")
    .option("--seeds <number>", "seeds of each case", "5")
    .option("--first <number>", "the first seed", "1")
    .option("--versions <names>", "some versions only, with commas")
    .option("--hosts <number>", "fleets of this size only")
    .option("--trouble <name>", "this trouble instead of one a seed")
    .option("--judge <name>", "a way to judge", "kept")
    .action((options: RolloutsOptions) => play(options, write));
  await command.parseAsync([...argv]);
  return 0;
}

function play(options: RolloutsOptions, write: (line: string) => void): void {
  const versions = options.versions?.split(",") ?? Object.keys(VERSIONS);
  const fleets = ROLLOUT_FLEETS.filter(
    ({ hosts }) =>
      options.hosts === undefined || hosts === Number(options.hosts),
  );
  versions.forEach((version) =>
    fleets.forEach((fleet) => {
      const runs = Array.from({ length: Number(options.seeds) }, (_, index) =>
        playOne(fleet, {
          version,
          seed: Number(options.first) + index,
          ...options,
        }),
      );
      write(JSON.stringify({ version, ...fleet, ...summary(runs, fleet) }));
    }),
  );
}

/** Plays one case; the seed draws the trouble. */
export function playOne(
  fleet: RolloutFleet,
  played: {
    readonly version: string;
    readonly seed: number;
    readonly judge?: string;
    readonly trouble?: string;
  },
): RolloutFigures {
  const { version, seed } = played;
  const drawn = seededRandom(seed * 7_919).below(TROUBLE_NAMES.length);
  const trouble = (played.trouble ?? TROUBLE_NAMES[drawn]) as RolloutTrouble;
  const judge = ALTERNATIVE_JUDGES[played.judge ?? ""];
  return new EmulatedRollout({
    ...fleet,
    seed,
    version: VERSIONS[version],
    trouble,
    ...(judge === undefined ? {} : { judge }),
  }).play();
}

function summary(
  runs: readonly RolloutFigures[],
  { seconds }: RolloutFleet,
): Record<string, number> {
  const number = (test: (run: RolloutFigures) => boolean) =>
    runs.filter(test).length;
  const total = (figure: (run: RolloutFigures) => number) =>
    runs.reduce((sum, run) => sum + figure(run), 0);
  return {
    seeds: runs.length,
    completedInTime: number(
      ({ state, endedAt }) =>
        state === "completed" && endedAt <= seconds * 1_000,
    ),
    completed: number(({ state }) => state === "completed"),
    rolledBack: number(({ state }) => state === "rolled_back"),
    running: number(({ state }) => state === "running"),
    overExposed: number(({ overExposed }) => overExposed > 0),
    sentTooLate: number(({ sentTooLate }) => sentTooLate > 0),
    cutOnce: total(({ cutOnce }) => cutOnce),
    cutAtEnd: total(({ cutAtEnd }) => cutAtEnd),
    badAnswers: Math.round(total(({ badAnswers }) => badAnswers) / runs.length),
    sentToTarget: Math.round(
      total(({ sentToTarget }) => sentToTarget) / runs.length,
    ),
  };
}
