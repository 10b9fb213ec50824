// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * `rampswitch status` and `watch`: the state of an entry host, and where a
 * revision is in force.
 *
 * @module
 */
import type { Command } from "commander";
import { Result } from "true-myth";
import { sleep, SYSTEM_CLOCK } from "rampswitch-utils";
import type { AdministrationClient } from "../administration_client.ts";
import { type CommandResult, failure } from "../command_result.ts";
import {
  clientOf,
  type ConnectionOptions,
  withConnection,
} from "../connection.ts";
import { EXIT } from "../exit_codes.ts";
import type { Finish } from "../command_result.ts";
import { table } from "../table.ts";

interface StatusOptions extends ConnectionOptions {
  readonly revision?: string;
  readonly wait?: boolean;
  readonly seconds: string;
}

interface WatchOptions extends ConnectionOptions {
  readonly seconds: string;
}

interface RevisionStatus {
  readonly revision: number;
  readonly inForceEverywhere: boolean;
  readonly hosts: readonly {
    readonly name: string;
    readonly revision: number;
    readonly inForce: boolean;
  }[];
}

interface HostStatus {
  readonly host: { readonly name: string; readonly dataHall: string };
  readonly state: string;
  readonly freshness: string;
  readonly revision: number;
  readonly members: readonly {
    readonly name: string;
    readonly dataHall: string;
    readonly revision: number;
    readonly suspected: boolean;
    readonly leaving: boolean;
  }[];
  readonly backendServers: readonly {
    readonly name: string;
    readonly service: string;
    readonly health: string;
    readonly excluded?: string;
    readonly inProgress: number;
  }[];
}

const POLL_MILLISECONDS = 200;
const WATCH_MILLISECONDS = 1_000;
const MILLISECONDS = 1_000;

/** Adds the commands. */
export function addStatus(program: Command, finish: Finish): void {
  withConnection(
    program
      .command("status")
      .description("state of an entry host, or where a revision is in force")
      .option("--revision <n>", "a revision")
      .option("--wait", "wait until it is in force everywhere")
      .option("--seconds <n>", "longest wait", "30"),
  ).action(async (options: StatusOptions) =>
    finish(
      options.revision === undefined
        ? await hostStatus(clientOf(options))
        : await revisionStatus(clientOf(options), options.revision, options),
      options.output,
    ),
  );
  withConnection(
    program
      .command("watch")
      .description("print each new revision as it comes into force")
      .option("--seconds <n>", "how long", "3600"),
  ).action(async (options: WatchOptions) =>
    finish(await watch(clientOf(options), options), options.output),
  );
}

async function hostStatus(
  client: AdministrationClient,
): Promise<CommandResult> {
  const answer = await client.get("/v1/status");
  return answer.map(({ body }) => {
    const status = body as HostStatus;
    return { text: statusText(status), value: status };
  });
}

function statusText(status: HostStatus): string {
  const { host, state, freshness, revision } = status;
  return [
    `${host.name} in ${host.dataHall}: ${state}, revision ${revision} ` +
      `(${freshness})`,
    table(
      ["host", "data hall", "revision", "state"],
      status.members.map((member) => [
        member.name,
        member.dataHall,
        member.revision,
        member.suspected ? "suspected" : member.leaving ? "leaving" : "live",
      ]),
    ),
    table(
      ["backend server", "service", "health", "in progress", "excluded"],
      status.backendServers.map((server) => [
        server.name,
        server.service,
        server.health,
        server.inProgress,
        server.excluded ?? "",
      ]),
    ),
  ].join("\n\n");
}

async function revisionStatus(
  client: AdministrationClient,
  revision: string,
  options: { readonly wait?: boolean; readonly seconds: string },
): Promise<CommandResult> {
  if (!/^\d+$/.test(revision)) {
    return Result.err(
      failure(EXIT.usage, `revision ${revision}, expected a number`),
    );
  }
  const until = SYSTEM_CLOCK.now() + Number(options.seconds) * MILLISECONDS;
  for (;;) {
    const answer = await client.get(`/v1/revisions/${revision}`);
    if (answer.isErr) return Result.err(answer.error);
    const status = answer.value.body as RevisionStatus;
    if (status.inForceEverywhere || options.wait !== true) {
      return Result.ok({ text: revisionText(status), value: status });
    }
    if (SYSTEM_CLOCK.now() >= until) {
      return Result.err(failure(EXIT.failed, revisionText(status)));
    }
    await sleep(SYSTEM_CLOCK, POLL_MILLISECONDS);
  }
}

function revisionText(status: RevisionStatus): string {
  const where = status.inForceEverywhere ? "everywhere" : "not everywhere";
  return (
    `revision ${status.revision} is in force ${where}\n` +
    table(
      ["host", "revision", "in force"],
      status.hosts.map(({ name, revision, inForce }) => [
        name,
        revision,
        inForce ? "yes" : "no",
      ]),
    )
  );
}

async function watch(
  client: AdministrationClient,
  options: WatchOptions,
): Promise<CommandResult> {
  const until = SYSTEM_CLOCK.now() + Number(options.seconds) * MILLISECONDS;
  let last = -1;
  while (SYSTEM_CLOCK.now() < until) {
    const answer = await client.get("/v1/status");
    if (answer.isErr) return Result.err(answer.error);
    const { revision } = answer.value.body as HostStatus;
    if (revision !== last) {
      process.stdout.write(
        options.output === "json"
          ? `${JSON.stringify({ revision })}\n`
          : `revision ${revision}\n`,
      );
    }
    last = revision;
    await sleep(SYSTEM_CLOCK, WATCH_MILLISECONDS);
  }
  return Result.ok({
    text: `last revision ${last}`,
    value: { revision: last },
  });
}
