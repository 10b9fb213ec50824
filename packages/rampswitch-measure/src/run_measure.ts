// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { Command } from "commander";
import {
  DEFAULT_SECONDS,
  DEFAULT_SEED,
  type MeasureOptions,
} from "./measure_options.ts";
import { measurePath } from "./path_measure.ts";
import { measureConfiguration } from "./configuration_measure.ts";
import { measureFootprint } from "./footprint_measure.ts";
import { measurePolicy } from "./policy_measure.ts";
import { plotPolicy } from "./policy_plot.ts";
import { measureQuarantine } from "./quarantine_measure.ts";
import { measureSurvive } from "./survive_measure.ts";

type Measure = (options: MeasureOptions) => Promise<unknown>;

const MEASURES: Readonly<Record<string, Measure>> = {
  path: measurePath,
  survive: measureSurvive,
  configuration: measureConfiguration,
  policy: measurePolicy,
  footprint: measureFootprint,
  quarantine: measureQuarantine,
};

/** Runs the program with its arguments; returns the exit code. */
export async function runMeasure(args: readonly string[]): Promise<number> {
  const program = new Command("measure").description(
    "Measurements against stand-ins on this machine",
  );
  Object.entries(MEASURES).forEach(([name, measure]) =>
    program
      .command(name)
      .option("--seed <n>", "seed of the random numbers", String(DEFAULT_SEED))
      .option("--seconds <n>", "rough length", String(DEFAULT_SECONDS))
      .action(async (options: Record<"seed" | "seconds", string>) => {
        const result = await measure({
          seed: Number(options.seed),
          seconds: Number(options.seconds),
        });
        process.stdout.write(`${JSON.stringify(result)}\n`);
      }),
  );
  program
    .command("plot")
    .description("draw the plots of a result of measure policy")
    .requiredOption("--from <file>", "file that holds the printed result")
    .option("--folder <folder>", "where the plots go", "docs/plots")
    .action(async (options: Record<"from" | "folder", string>) => {
      const files = await plotPolicy(options.from, options.folder);
      process.stdout.write(`${JSON.stringify({ files })}\n`);
    });
  await program.parseAsync([...args]);
  return 0;
}
