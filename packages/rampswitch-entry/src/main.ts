// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The program `rampswitchd`, which reads its settings and runs one entry
 * process.
 *
 * @module
 */
import { Command } from "commander";
import { readFileSync } from "node:fs";
import {
  createLogger,
  freeBuffersWhenCollected,
  redirectConsoleErrors,
  runInBackground,
  SYSTEM_CLOCK,
} from "rampswitch-utils";
import {
  checkSettings,
  problemText,
  type Settings,
} from "rampswitch-validation";
import { EntryProcess } from "./entry_process.ts";

const EXIT_SETTINGS = 2;

/** Runs the program with the given command-line arguments. */
export async function main(args: readonly string[]): Promise<void> {
  const program = new Command("rampswitchd")
    .description("Entry process of rampswitch")
    .requiredOption("--settings <file>", "settings file (YAML)")
    .action(async ({ settings }: { readonly settings: string }) => {
      const checked = checkSettings(readFileSync(settings, "utf8"));
      if (checked.isOk) await run(checked.value);
      else {
        checked.error.forEach((problem) =>
          process.stderr.write(`${settings}: ${problemText(problem)}\n`),
        );
        process.exitCode = EXIT_SETTINGS;
      }
    });
  await program.parseAsync([...args]);
}

async function run(settings: Settings): Promise<void> {
  freeBuffersWhenCollected();
  const logger = createLogger(settings.log.level, {
    host: settings.host.name,
    dataHall: settings.host.dataHall,
  });
  redirectConsoleErrors(logger);
  const entry = await EntryProcess.start(settings, {
    clock: SYSTEM_CLOCK,
    logger,
  });
  const stop = () =>
    runInBackground("planned stop", { logger }, async () => {
      await entry.stop();
      process.exitCode = 0;
      setTimeout(() => process.exit(0), EXIT_MILLISECONDS).unref();
    });
  process.on("SIGTERM", stop);
  process.on("SIGINT", stop);
  process.stdout.write(`${JSON.stringify({ listening: entry.addresses })}\n`);
  await entry.untilReady();
  process.stdout.write(`${JSON.stringify({ ready: true })}\n`);
}

const EXIT_MILLISECONDS = 500;
