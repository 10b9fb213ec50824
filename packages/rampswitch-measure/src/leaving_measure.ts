// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * How long a leaving backend server still gets new work.
 *
 * @module
 */
import { SYSTEM_CLOCK } from "rampswitch-utils";
import { Caller } from "./caller.ts";
import { SERVICES } from "./deployment_plan.ts";
import type { MeasuredDeployment } from "./measured_deployment.ts";

const WATCH_MILLISECONDS = 4_000;
const WORKSPACE = "landlords";

/** Milliseconds from the notice to the last new work of the server. */
export async function leavingMilliseconds(
  deployment: MeasuredDeployment,
): Promise<number> {
  const server = deployment.standins.listening.servers.find(
    ({ service }) => service === SERVICES.plain,
  );
  if (server === undefined) return Number.NaN;
  const noticedAt = SYSTEM_CLOCK.now();
  await deployment.control(deployment.standins.listening.platform.cloud, {
    reclaim: { host: `host-${server.name}`, deadline: noticedAt + 60_000 },
  });
  const until = noticedAt + WATCH_MILLISECONDS;
  await Promise.all(
    deployment.entries.map(async ({ addresses }) => {
      await using caller = new Caller(addresses.callers);
      while (SYSTEM_CLOCK.now() < until) {
        await caller.plain("/leaving", { method: "GET", workspace: WORKSPACE });
      }
    }),
  );
  const runs = (await deployment.read(
    server.address,
    "executions",
  )) as readonly { readonly startedAt: number }[];
  return runs.reduce(
    (last, { startedAt }) => Math.max(last, startedAt - noticedAt),
    0,
  );
}
