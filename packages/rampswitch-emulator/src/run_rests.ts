// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The emulator's command for rests of servers: ways in which hosts return, on fleets
 * of several sizes; a line of JSON for each case.
 *
 * @module
 */
import { Command } from "commander";
import {
  EmulatedRests,
  RETURNS,
  type RestsFigures,
  type ReturnWay,
} from "./emulated_rests.ts";

interface RestsOptions {
  readonly seeds: string;
  readonly first: string;
  readonly hosts: string;
  readonly rests: string;
  readonly demands: string;
  readonly shedding: string;
  readonly ways: string;
}

/** Runs the command; returns the exit code. */
export async function runRests(argv: readonly string[]): Promise<number> {
  const program = new Command("rests")
    .description("plays servers that ask fleets of hosts for rests")
    .option("--seeds <count>", "seeds of each case", "1")
    .option("--first <seed>", "first seed", "1")
    .option("--hosts <counts>", "fleets to play", "1,9,78,195")
    .option("--rests <milliseconds>", "rests that are asked for", "100,3000")
    .option(
      "--demands <multiples>",
      "requests, by what servers take",
      "0.6,1.5",
    )
    .option("--shedding <shares>", "shares of servers that shed", "0.3,1")
    .option("--ways <names>", "ways to play", Object.keys(RETURNS).join(","))
    .action((options: RestsOptions) => playAll(options));
  await program.parseAsync([...argv]);
  return 0;
}

function playAll(options: RestsOptions): void {
  const numbers = (text: string) => text.split(",").map(Number);
  const seeds = Array.from(
    { length: Number(options.seeds) },
    (_, index) => Number(options.first) + index,
  );
  const cases = numbers(options.hosts).flatMap((hosts) =>
    numbers(options.rests).flatMap((restMilliseconds) =>
      numbers(options.shedding).flatMap((shedding) =>
        numbers(options.demands).flatMap((demand) =>
          (options.ways.split(",") as ReturnWay[]).map((way) => ({
            ...{ hosts, restMilliseconds, shedding, demand, way },
          })),
        ),
      ),
    ),
  );
  cases.forEach((one) => {
    const runs = seeds.map((seed) =>
      new EmulatedRests({ ...one, seed }).play(),
    );
    process.stdout.write(`${JSON.stringify({ ...one, ...worst(runs) })}\n`);
  });
}

/** The worst of the seeds. */
function worst(runs: readonly RestsFigures[]): RestsFigures {
  const most = (of: (figures: RestsFigures) => number) =>
    Math.max(...runs.map(of));
  return {
    inTime: rounded(Math.min(...runs.map(({ inTime }) => inTime))),
    sheds: rounded(most(({ sheds }) => sheds)),
    mostAfterRest: most(({ mostAfterRest }) => mostAfterRest),
    withinRests: most(({ withinRests }) => withinRests),
  };
}

function rounded(share: number): number {
  return Math.round(1_000 * share) / 1_000;
}
