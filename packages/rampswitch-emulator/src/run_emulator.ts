// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The emulator's command: one shape, several numbers of engines, several seeds;
 * a line of JSON for each number of engines.
 *
 * @module
 */
import { Command, InvalidArgumentError } from "commander";
import { mean } from "simple-statistics";
import { EmulatedFleet, type FleetFigures } from "./emulated_fleet.ts";
import { type DrawnShape, drawShape, SHAPES } from "./fleet_shape.ts";

interface EmulatorOptions {
  readonly shape: string;
  readonly engines: readonly number[];
  readonly seeds: number;
  readonly seconds: number;
  readonly lost?: number;
  readonly hot?: number;
  readonly drawn?: number;
}

/** Runs the command; returns the exit code. */
export async function runEmulator(
  argv: readonly string[],
  write: (line: string) => void = (line) => process.stdout.write(`${line}\n`),
): Promise<number> {
  let code = 0;
  const command = new Command("emulate")
    .description("play fleets of hosts and engines in simulated time")
    .option(
      "--shape <name>",
      `one of ${Object.keys(SHAPES).join(", ")}`,
      "small-slow",
    )
    .option(
      "--engines <numbers>",
      "numbers of engines, with commas",
      numbersOf,
      [8],
    )
    .option("--drawn <number>", "play so many drawn shapes instead", numberOf)
    .option("--seeds <number>", "seeds of each", numberOf, 3)
    .option("--seconds <number>", "simulated seconds of each", numberOf, 40)
    .option(
      "--hot <share>",
      "share of each kind's requests with one prompt",
      numberOf,
    )
    .option("--lost <share>", "share of the engines lost half way", numberOf)
    .action((options: EmulatorOptions) => {
      code = play(options, write);
    });
  await command.parseAsync([...argv]);
  return code;
}

function play(options: EmulatorOptions, write: (line: string) => void): number {
  const cases = casesOf(options);
  if (cases === undefined) {
    write(JSON.stringify({ error: `unknown shape ${options.shape}` }));
    return 2;
  }
  cases.forEach(({ shape, engines }) => {
    const runs = Array.from({ length: options.seeds }, (_, index) =>
      new EmulatedFleet({
        shape,
        engines,
        seconds: options.seconds,
        seed: index + 1,
        ...(options.lost === undefined ? {} : { lostShare: options.lost }),
        ...(options.hot === undefined ? {} : { hotShare: options.hot }),
      }).play(),
    );
    write(JSON.stringify({ shape: shape.name, engines, ...meanOf(runs) }));
  });
  return 0;
}

/** What is to be played; `undefined` where there is no such shape. */
function casesOf(options: EmulatorOptions): readonly DrawnShape[] | undefined {
  if (options.drawn !== undefined) {
    return Array.from({ length: options.drawn }, (_, index) =>
      drawShape(index + 1),
    );
  }
  const shape = SHAPES[options.shape];
  return shape && options.engines.map((engines) => ({ shape, engines }));
}

function meanOf(runs: readonly FleetFigures[]): Record<string, unknown> {
  const over = (figure: (run: FleetFigures) => number) =>
    Number(mean(runs.map(figure)).toFixed(DECIMALS));
  const kinds = runs[0]?.kinds ?? [];
  return {
    worthInTime: over((run) => run.worthInTime),
    worstInTime: over((run) => run.worstInTime),
    refused: over((run) => run.refused),
    readAgain: over((run) => run.readAgain),
    meanRunning: over((run) => run.meanRunning),
    readTokensPerSecond: over((run) => run.readTokensPerSecond),
    kinds: kinds.map(({ kind }, at) => ({
      kind,
      inTime: over((run) => run.kinds[at]?.inTime ?? 0),
      medianMilliseconds: over((run) => run.kinds[at]?.medianMilliseconds ?? 0),
      p95Milliseconds: over((run) => run.kinds[at]?.p95Milliseconds ?? 0),
    })),
  };
}

const DECIMALS = 4;

function numberOf(text: string): number {
  const number = Number(text);
  if (Number.isFinite(number) && number > 0) return number;
  throw new InvalidArgumentError("expected a number above zero");
}

function numbersOf(text: string): readonly number[] {
  return text.split(",").map(numberOf);
}
