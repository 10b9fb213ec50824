// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The local demonstration: three entry hosts in two data halls, four engines,
 * two plain services and the platform, in one process.
 *
 * @module
 */
import { EntryProcess } from "rampswitch-entry";
import {
  redirectConsoleErrors,
  createLogger,
  Ownership,
  SYSTEM_CLOCK,
} from "rampswitch-utils";
import {
  entrySettings,
  OPERATOR_TOKEN,
  SERVICES,
  workspaceKey,
} from "./deployment_plan.ts";
import { LocalPlatform } from "./local_platform.ts";
import { applyAll, untilInForce } from "./operator.ts";

const DATA_HALLS = ["hall-a", "hall-b"] as const;
const ENTRY_HOSTS = [
  ["entry-1", "hall-a"],
  ["entry-2", "hall-b"],
  ["entry-3", "hall-a"],
] as const;
const IN_FORCE_MILLISECONDS = 10_000;

/** Runs until it is stopped. */
export async function runDemo(): Promise<void> {
  const owned = new Ownership();
  redirectConsoleErrors(createLogger("error", {}));
  const platform = owned.own(
    await LocalPlatform.start({
      dataHalls: DATA_HALLS,
      engines: 4,
      plainServices: 2,
    }),
  );
  const entries = await Promise.all(
    ENTRY_HOSTS.map(([name, dataHall]) =>
      EntryProcess.start(
        entrySettings(name, dataHall, { platform: platform.addresses }),
        {
          clock: SYSTEM_CLOCK,
          logger: createLogger("warn", { host: name, dataHall }),
        },
      ),
    ),
  );
  await Promise.all(entries.map((entry) => entry.untilReady()));
  const administrations = entries.map(
    ({ addresses }) => addresses.administration,
  );
  const revision = await applyAll(
    administrations[0] ?? "",
    platform.resources(),
  );
  await untilInForce(administrations, revision, {
    milliseconds: IN_FORCE_MILLISECONDS,
  });
  show(entries, platform);
  await new Promise<void>((resolve) => {
    process.once("SIGTERM", resolve);
    process.once("SIGINT", resolve);
  });
  await Promise.all(entries.map((entry) => entry.stop()));
  await owned[Symbol.asyncDispose]();
  process.exit(0);
}

function show(entries: readonly EntryProcess[], platform: LocalPlatform): void {
  const say = (line: string) => process.stdout.write(`${line}\n`);
  entries.forEach(({ addresses }, index) =>
    say(
      `entry-${index + 1}: callers ${addresses.callers}, ` +
        `administration ${addresses.administration}`,
    ),
  );
  platform.servers.forEach(({ name, address, service }) =>
    say(`${name}: ${service} at ${address}`),
  );
  const { objects, hostList, cloud } = platform.addresses;
  say(`platform: objects ${objects}, host list ${hostList}, cloud ${cloud}`);
  const callers = entries[0]?.addresses.callers ?? "";
  const administration = entries[0]?.addresses.administration ?? "";
  say(
    `export RAMPSWITCH_ADDRESS=${administration} ` +
      `RAMPSWITCH_TOKEN=${OPERATOR_TOKEN}`,
  );
  say(
    `curl -N http://${callers}/v1/chat/completions ` +
      `-H 'authorization: Bearer ${workspaceKey("landlords")}' ` +
      `-d '{"model":"${SERVICES.model}","stream":true,"max_tokens":16,` +
      `"messages":[{"role":"user","content":"Is the report ready"}]}'`,
  );
  say("ready");
}
