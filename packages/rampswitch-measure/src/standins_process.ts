// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { SYSTEM_CLOCK } from "rampswitch-utils";
import type { PlatformAddresses, StartedServer } from "./deployment_plan.ts";
import { LocalPlatform, type LocalPlatformOptions } from "./local_platform.ts";

/** What the process prints once it listens. */
export interface StandinsListening {
  readonly platform: PlatformAddresses;
  readonly servers: readonly StartedServer[];
}

/** Starts the stand-ins that the first argument describes as JSON. */
export async function runStandins(args: readonly string[]): Promise<void> {
  const options = JSON.parse(args[2] ?? "{}") as LocalPlatformOptions;
  const platform = await LocalPlatform.start(options);
  const listening: StandinsListening = {
    platform: platform.addresses,
    servers: platform.servers,
  };
  process.stdout.write(`${JSON.stringify(listening)}\n`);
  process.on("SIGTERM", () => process.exit(0));
  process.on("disconnect", () => process.exit(0));
  SYSTEM_CLOCK.after(LONGEST_LIFE_MILLISECONDS, () => process.exit(0));
}

/** The process ends by itself after this time. */
const LONGEST_LIFE_MILLISECONDS = 600_000;
