// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * `rampswitch validate`, `settings check` and `key hash`: work without a host.
 *
 * @module
 */
import type { Command } from "commander";
import { readFileSync } from "node:fs";
import { Result } from "true-myth";
import { sha256 } from "rampswitch-utils";
import {
  checkResources,
  checkSettings,
  type Problem,
  problemText,
} from "rampswitch-validation";
import { type CommandResult, failure } from "../command_result.ts";
import { outputOption } from "../connection.ts";
import { EXIT } from "../exit_codes.ts";
import type { Finish } from "../command_result.ts";

interface OutputOption {
  readonly output: "table" | "json";
}

/** Adds the commands. */
export function addChecks(program: Command, finish: Finish): void {
  program
    .command("validate")
    .description("check a file of resources")
    .argument("<file>")
    .addOption(outputOption())
    .action((file: string, { output }: OutputOption) =>
      finish(checked(file, checkResources), output),
    );
  program
    .command("settings")
    .description("settings of rampswitchd")
    .command("check")
    .description("check a settings file")
    .argument("<file>")
    .addOption(outputOption())
    .action((file: string, { output }: OutputOption) =>
      finish(checked(file, checkSettings), output),
    );
  program
    .command("key")
    .description("keys of workspaces and tokens of operators")
    .command("hash")
    .description("print the hash to write into a resource or settings")
    .argument("<key>")
    .addOption(outputOption())
    .action((key: string, { output }: OutputOption) =>
      finish(
        Result.ok({ text: sha256(key), value: { hash: sha256(key) } }),
        output,
      ),
    );
}

function checked(
  file: string,
  check: (text: string) => Result<unknown, readonly Problem[]>,
): CommandResult {
  return check(readFileSync(file, "utf8"))
    .map(() => ({ text: `${file}: right`, value: { file, right: true } }))
    .mapErr((problems) =>
      failure(
        EXIT.invalid,
        problems
          .map((problem) => `${file}: ${problemText(problem)}`)
          .join("\n"),
      ),
    );
}
