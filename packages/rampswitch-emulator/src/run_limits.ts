// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The emulator's command for limits of servers: ways to keep them, on fleets of
 * several sizes and in several troubles; a line of JSON for each case.
 *
 * @module
 */
import { Command } from "commander";
import { EmulatedLimits } from "./emulated_limits.ts";
import {
  LIMIT_TROUBLES,
  LIMIT_WAYS,
  type LimitsFigures,
  type LimitsRun,
  type LimitTrouble,
  type LimitWay,
} from "./limits_shape.ts";

interface LimitsOptions {
  readonly seeds: string;
  readonly first: string;
  readonly hosts: string;
  readonly rates: string;
  readonly demands: string;
  readonly seconds: string;
  readonly ways: string;
  readonly troubles: string;
}

/** Runs the command; returns the exit code. */
export async function runLimits(argv: readonly string[]): Promise<number> {
  const program = new Command("limits")
    .description("plays servers that name limits before fleets of hosts")
    .option("--seeds <count>", "seeds of each case", "3")
    .option("--first <seed>", "first seed", "1")
    .option("--hosts <counts>", "fleets to play", "1,9,78,195")
    .option(
      "--rates <numbers>",
      "requests a second that a server takes",
      "0.2,1,5,50",
    )
    .option("--demands <multiples>", "requests, by what servers take", "0.5,4")
    .option("--seconds <seconds>", "length of a run", "40")
    .option("--ways <names>", "ways to play", LIMIT_WAYS.join(","))
    .option("--troubles <names>", "troubles to play", LIMIT_TROUBLES.join(","))
    .action((options: LimitsOptions) => playAll(options));
  await program.parseAsync([...argv]);
  return 0;
}

function playAll(options: LimitsOptions): void {
  const numbers = (text: string) => text.split(",").map(Number);
  const cases = (options.ways.split(",") as LimitWay[]).flatMap((way) =>
    (options.troubles.split(",") as LimitTrouble[]).flatMap((trouble) =>
      numbers(options.hosts).flatMap((hosts) =>
        numbers(options.rates).flatMap((perSecond) =>
          numbers(options.demands).map((demand) => ({
            way,
            trouble,
            hosts,
            perSecond,
            demand,
            seconds: Number(options.seconds),
          })),
        ),
      ),
    ),
  );
  const first = Number(options.first);
  cases.forEach((one) => {
    const runs = Array.from({ length: Number(options.seeds) }, (_, index) =>
      new EmulatedLimits({ ...one, seed: first + index }).play(),
    );
    process.stdout.write(`${JSON.stringify(summary(one, runs))}\n`);
  });
}

/** The worst of the seeds, and means where no seed is worse than another. */
function summary(
  one: Omit<LimitsRun, "seed">,
  runs: readonly LimitsFigures[],
): Readonly<Record<string, string | number>> {
  const mean = (of: (figures: LimitsFigures) => number) =>
    rounded(runs.reduce((sum, run) => sum + of(run), 0) / runs.length);
  const most = (of: (figures: LimitsFigures) => number) =>
    rounded(Math.max(...runs.map(of)));
  return {
    way: one.way,
    trouble: one.trouble,
    hosts: one.hosts,
    perSecond: one.perSecond,
    demand: one.demand,
    mostBeyond: most(({ mostBeyond }) => mostBeyond),
    mostOverRule: most(({ mostOverRule }) => mostOverRule),
    used: mean(({ used }) => used),
    served: mean(({ served }) => served),
    refused: mean(({ refused }) => refused),
    refusalMilliseconds: mean(({ refusalMilliseconds }) => refusalMilliseconds),
    questions: mean(({ questions }) => questions),
  };
}

function rounded(value: number): number {
  return Math.round(value * 100) / 100;
}
