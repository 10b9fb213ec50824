// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * `rampswitch label`, `drain` and `delete`: edits of one resource.
 *
 * @module
 */
import type { Command } from "commander";
import { createInterface } from "node:readline/promises";
import { Result } from "true-myth";
import type { Labels, Resource } from "rampswitch-types";
import type {
  AdministrationClient,
  ListedResource,
} from "../administration_client.ts";
import { type EditRequest, sendChange } from "../change.ts";
import {
  type CommandFailure,
  type CommandResult,
  failure,
} from "../command_result.ts";
import {
  clientOf,
  type ConnectionOptions,
  withConnection,
} from "../connection.ts";
import { EXIT } from "../exit_codes.ts";
import { readKind } from "../kinds.ts";
import type { Finish } from "../command_result.ts";

interface Found extends ListedResource {
  readonly baseRevision: number;
}

interface DeleteOptions extends ConnectionOptions {
  readonly yes?: boolean;
}

interface DrainOptions extends ConnectionOptions {
  readonly undo?: boolean;
}

/** Adds the commands. */
export function addEdits(program: Command, finish: Finish): void {
  withConnection(
    program
      .command("label")
      .description("set labels (key=value) or remove them (key-)")
      .argument("<kind>")
      .argument("<name>")
      .argument("<labels...>"),
  ).action(
    async (
      ...[kind, name, labels, options]: readonly [
        string,
        string,
        readonly string[],
        ConnectionOptions,
      ]
    ) =>
      finish(
        await edit(clientOf(options), [kind, name], (resource) =>
          relabelled(resource, labels),
        ),
        options.output,
      ),
  );
  withConnection(
    program
      .command("drain")
      .description("give a backend server no new work")
      .argument("<name>")
      .option("--undo", "give it work again"),
  ).action(async (name: string, options: DrainOptions) =>
    finish(
      await edit(clientOf(options), ["BackendServer", name], (resource) =>
        resource.kind === "BackendServer"
          ? Result.ok({
              kind: "put",
              resource: { ...resource, draining: options.undo !== true },
            })
          : Result.err(failure(EXIT.usage, `${name}: not a backend server`)),
      ),
      options.output,
    ),
  );
  withConnection(
    program
      .command("delete")
      .description("delete a resource")
      .argument("<kind>")
      .argument("<name>")
      .option("--yes", "do not ask"),
  ).action(async (kind: string, name: string, options: DeleteOptions) =>
    finish(await remove(kind, name, options), options.output),
  );
}

async function remove(
  kind: string,
  name: string,
  options: DeleteOptions,
): Promise<CommandResult> {
  const sure =
    options.yes === true || (await confirmed(`delete ${kind} ${name}?`));
  return sure
    ? await edit(clientOf(options), [kind, name], (resource) =>
        Result.ok({
          kind: "delete",
          resourceKind: resource.kind,
          name: resource.name,
        }),
      )
    : Result.err(failure(EXIT.usage, "not deleted, expected yes or --yes"));
}

async function confirmed(question: string): Promise<boolean> {
  if (!process.stdin.isTTY) return false;
  const terminal = createInterface({
    input: process.stdin,
    output: process.stderr,
  });
  const answer = await terminal.question(`${question} (yes/no) `);
  terminal.close();
  return answer.trim() === "yes";
}

async function edit(
  client: AdministrationClient,
  [kind, name]: readonly [string, string],
  change: (resource: Resource) => Result<EditRequest, CommandFailure>,
): Promise<CommandResult> {
  const found = await find(client, kind, name);
  if (found.isErr) return Result.err(found.error);
  const edited = change(found.value.resource);
  return edited.isErr
    ? Result.err(edited.error)
    : await sendChange(client, [edited.value], {
        baseRevision: found.value.baseRevision,
      });
}

async function find(
  client: AdministrationClient,
  kindText: string,
  name: string,
): Promise<Result<Found, CommandFailure>> {
  const kind = readKind(kindText);
  if (kind.isErr) return Result.err(kind.error);
  const list = await client.resources({ kind: kind.value, name });
  if (list.isErr) return Result.err(list.error);
  const [first] = list.value.resources;
  return first === undefined
    ? Result.err(
        failure(EXIT.failed, `${kind.value}/${name}, expected a known name`),
      )
    : Result.ok({ ...first, baseRevision: list.value.revision });
}

function relabelled(
  resource: Resource,
  changes: readonly string[],
): Result<EditRequest, CommandFailure> {
  const wrong = changes.find((change) => !/^[^=]+=.*$|^[^=]+-$/.test(change));
  if (wrong !== undefined) {
    return Result.err(
      failure(EXIT.usage, `label ${wrong}, expected key=value or key-`),
    );
  }
  const labels = changes.reduce<Labels>((known, change) => {
    const [key = "", ...value] = change.split("=");
    if (value.length > 0) return { ...known, [key]: value.join("=") };
    return Object.fromEntries(
      Object.entries(known).filter(([name]) => `${name}-` !== change),
    );
  }, resource.labels);
  return Result.ok({ kind: "put", resource: { ...resource, labels } });
}
