// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * `rampswitch get`: shows resources.
 *
 * @module
 */
import type { Command } from "commander";
import { Result } from "true-myth";
import type { Resource, ResourceKind } from "rampswitch-types";
import type { ListedResource } from "../administration_client.ts";
import type { CommandResult } from "../command_result.ts";
import {
  clientOf,
  type ConnectionOptions,
  withConnection,
} from "../connection.ts";
import { readKind } from "../kinds.ts";
import type { Finish } from "../command_result.ts";
import { labelText, table } from "../table.ts";

/** Adds the command. */
export function addGet(program: Command, finish: Finish): void {
  withConnection(
    program
      .command("get")
      .description("show resources of a kind, or of all")
      .argument("<kind>", "a kind, or all")
      .argument("[name]", "name of one resource"),
  ).action(
    async (
      kind: string,
      name: string | undefined,
      options: ConnectionOptions,
    ) => finish(await get(kind, name, options), options.output),
  );
}

async function get(
  kindText: string,
  name: string | undefined,
  options: ConnectionOptions,
): Promise<CommandResult> {
  const kind = kindText === "all" ? undefined : readKind(kindText);
  if (kind?.isErr === true) return Result.err(kind.error);
  const list = await clientOf(options).resources({
    ...(kind === undefined ? {} : { kind: kind.value }),
    ...(name === undefined ? {} : { name }),
  });
  return list.map((value) => ({
    text: table(
      ["kind", "name", "revision", "labels", "detail"],
      value.resources.map(row),
    ),
    value,
  }));
}

function row({
  resource,
  revision,
}: ListedResource): readonly (string | number)[] {
  return [
    resource.kind,
    resource.name,
    revision,
    labelText(resource.labels),
    DETAILS[resource.kind](resource),
  ];
}

const DETAILS: Readonly<Record<ResourceKind, (resource: Resource) => string>> =
  {
    Service: (resource) => (resource.kind === "Service" ? resource.type : ""),
    BackendServer: (resource) =>
      resource.kind === "BackendServer"
        ? `${resource.service} ${resource.address} ${resource.dataHall}` +
          (resource.draining ? " draining" : "")
        : "",
    RoutingRule: (resource) =>
      resource.kind === "RoutingRule" ? `priority ${resource.priority}` : "",
    Workspace: (resource) =>
      resource.kind === "Workspace" ? `weight ${resource.weight}` : "",
    HostClass: (resource) =>
      resource.kind === "HostClass"
        ? `${resource.dataHall} $${resource.dollarsPerHour}/h`
        : "",
  };
