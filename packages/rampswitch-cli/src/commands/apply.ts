// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * `rampswitch apply`: puts resources from a file in force.
 *
 * @module
 */
import type { Command } from "commander";
import { readFileSync } from "node:fs";
import { Result } from "true-myth";
import { resourceKey } from "rampswitch-types";
import { checkResources, problemText } from "rampswitch-validation";
import { sendChange } from "../change.ts";
import { type CommandResult, failure } from "../command_result.ts";
import {
  clientOf,
  type ConnectionOptions,
  withConnection,
} from "../connection.ts";
import { EXIT } from "../exit_codes.ts";
import type { Finish } from "../command_result.ts";

interface ApplyOptions extends ConnectionOptions {
  readonly file: string;
  readonly changeId?: string;
  readonly baseRevision?: string;
}

/** Adds the command. */
export function addApply(program: Command, finish: Finish): void {
  withConnection(
    program
      .command("apply")
      .description("put resources from a file in force")
      .requiredOption("--file <file>", "YAML file, - for standard input")
      .option("--change-id <id>", "ask again about an earlier change")
      .option("--base-revision <n>", "revision that the file was made from"),
  ).action(async (options: ApplyOptions) =>
    finish(await apply(options), options.output),
  );
}

async function apply(options: ApplyOptions): Promise<CommandResult> {
  const text = readFileSync(options.file === "-" ? 0 : options.file, "utf8");
  const checked = checkResources(text);
  if (checked.isErr) {
    const problems = checked.error.map(problemText).join("\n");
    return Result.err(failure(EXIT.invalid, problems));
  }
  const client = clientOf(options);
  const present = await client.resources();
  if (present.isErr) return Result.err(present.error);
  const known = new Map(
    present.value.resources.map(({ resource }) => [
      resourceKey(resource),
      JSON.stringify(resource),
    ]),
  );
  const changed = checked.value.filter(
    (resource) => known.get(resourceKey(resource)) !== JSON.stringify(resource),
  );
  if (changed.length === 0) {
    return Result.ok({
      text: `nothing differs from revision ${present.value.revision}`,
      value: { kind: "accepted", revision: present.value.revision },
    });
  }
  return await sendChange(
    client,
    changed.map((resource) => ({ kind: "put", resource })),
    {
      baseRevision: Number(options.baseRevision ?? present.value.revision),
      changeId: options.changeId,
    },
  );
}
