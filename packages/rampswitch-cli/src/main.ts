// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The program `rampswitch`.
 *
 * @module
 */
import { Command, CommanderError } from "commander";
import type { Finish } from "./command_result.ts";
import { addApply } from "./commands/apply.ts";
import { addChecks } from "./commands/check.ts";
import { addEdits } from "./commands/edit.ts";
import { addExplain } from "./commands/explain.ts";
import { addGet } from "./commands/get.ts";
import { addStatus } from "./commands/status.ts";
import { addTrace } from "./commands/trace.ts";
import { EXIT, type ExitCode } from "./exit_codes.ts";

const COMMANDS = [
  addApply,
  addGet,
  addEdits,
  addStatus,
  addExplain,
  addChecks,
  addTrace,
] as const;

/** Runs the program with its arguments; returns the exit code. */
export async function main(args: readonly string[]): Promise<ExitCode> {
  let code: ExitCode = EXIT.done;
  const finish: Finish = (result, output) => {
    if (result.isOk) {
      const { text, value } = result.value;
      process.stdout.write(
        `${output === "json" ? JSON.stringify(value) : text}\n`,
      );
    } else {
      process.stderr.write(`${result.error.message}\n`);
      code = result.error.code;
    }
  };
  const program = new Command("rampswitch")
    .description("Operators' command line of rampswitch")
    .exitOverride();
  COMMANDS.forEach((add) => add(program, finish));
  program.commands.forEach((command) => command.exitOverride());
  try {
    await program.parseAsync([...args]);
  } catch (error) {
    if (error instanceof CommanderError) {
      return error.exitCode === 0 ? EXIT.done : EXIT.usage;
    }
    process.stderr.write(
      `${error instanceof Error ? error.message : String(error)}\n`,
    );
    return EXIT.failed;
  }
  return code;
}
