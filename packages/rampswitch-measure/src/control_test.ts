// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { afterEach, describe, expect, test } from "@jest/globals";
import { Engine } from "rampswitch-standins";
import type { Resource } from "rampswitch-types";
import { sleep, SYSTEM_CLOCK } from "rampswitch-utils";
import type { ChatCall } from "./caller.ts";
import { administration } from "./operator.ts";
import { SERVICES } from "./deployment_plan.ts";
import { TestDeployment, until } from "./test_deployment.ts";

/** Time after which a caller who was turned away comes back, in milliseconds. */
const COME_BACK_MILLISECONDS = 500;

/** Time that patient callers leave, in milliseconds; enough to wait for others. */
const PATIENT_MILLISECONDS = 600_000;

let deployment: TestDeployment | undefined;

afterEach(async () => {
  const ended = deployment;
  deployment = undefined;
  await ended?.[Symbol.asyncDispose]();
});

async function serverNames(
  started: TestDeployment,
): Promise<readonly string[]> {
  const list = (await administration(
    started.administration(0),
    "/v1/resources?kind=BackendServer",
  )) as { readonly resources: readonly { readonly resource: Resource }[] };
  return list.resources.map(({ resource }) => resource.name);
}

/** How callers overload a deployment. */
interface Overload {
  readonly callers?: number;
  readonly deadlineMilliseconds?: number;
}

/** Callers who ask for more than the engines can bear until the test ends. */
function overload(
  started: TestDeployment,
  { callers = 40, deadlineMilliseconds }: Overload = {},
): void {
  const deadline =
    deadlineMilliseconds === undefined ? {} : { deadlineMilliseconds };
  Array.from({ length: callers }).forEach(
    (_, index) =>
      void askAgainAndAgain(started, {
        prompt: `operation-${index}`,
        tokens: 3_000,
        streamed: true,
        workspace: "landlords",
        ...deadline,
      }),
  );
}

/** A caller who is turned away comes back, as long as the test goes on. */
async function askAgainAndAgain(
  started: TestDeployment,
  call: ChatCall,
): Promise<void> {
  while (deployment === started) {
    await started.caller().chat(call);
    await sleep(SYSTEM_CLOCK, COME_BACK_MILLISECONDS);
  }
}

describe("capacity", () => {
  test("asks again for hosts that an outage of the cloud kept back", async () => {
    deployment = await TestDeployment.start({ capacity: { enabled: true } });
    const { cloud } = deployment.platform;
    const classes = deployment.platform
      .resources()
      .filter(({ kind }) => kind === "HostClass").length;
    cloud.setOutage(true);
    overload(deployment);
    // Each class was asked for once, so none is left that was not refused.
    await until(() => cloud.startsInOutage >= classes);
    cloud.setOutage(false);
    await until(() => cloud.starts.length > 0);
    expect(cloud.starts.length).toBeGreaterThan(0);
  });

  // Admission lets requests in by their predicted tokens, so long ones wait at the
  // hosts while engines have places. A plan that counted only what engines work
  // on saw no need for a further host while callers waited: beside 37 to 39 busy
  // processes nine requests ran, six waited, 21 were refused, and no host was
  // asked for in 20 s, in ten plays of 24.
  test("asks for hosts while requests wait", async () => {
    deployment = await TestDeployment.start({
      capacity: { enabled: true },
      resources: (resources) =>
        resources.map((resource) =>
          resource.kind === "Service"
            ? { ...resource, timeoutMilliseconds: PATIENT_MILLISECONDS }
            : resource,
        ),
    });
    const { cloud } = deployment.platform;
    overload(deployment, {
      callers: 20,
      deadlineMilliseconds: PATIENT_MILLISECONDS,
    });
    await until(() => cloud.starts.length > 0);
    expect(cloud.starts.length).toBeGreaterThan(0);
  });

  test("starts a host under load and puts it into the configuration", async () => {
    deployment = await TestDeployment.start({ capacity: { enabled: true } });
    const started = deployment;
    const { cloud } = started.platform;
    overload(started);
    await until(() => cloud.starts.length > 0);
    const [start] = cloud.starts;
    const { metrics } = started.entries[0]!;
    const revision = metrics.totals()["configuration_revision"] ?? 0;
    await using engine = await Engine.start();
    cloud.serves(start!.host, engine.address);
    await until(
      () => (metrics.totals()["configuration_revision"] ?? 0) > revision,
    );
    expect(await serverNames(started)).toContain(start!.host);
  });
});

describe("orders", () => {
  test("go to every engine once, with the lease's epoch", async () => {
    deployment = await TestDeployment.start({
      resources: (resources) =>
        resources.map((resource) =>
          resource.name === SERVICES.model && resource.kind === "Service"
            ? { ...resource, labels: { "order/version": "v7" } }
            : resource,
        ),
      entries: 2,
    });
    const { engines } = deployment.platform;
    await until(() => engines.every(({ orders }) => orders.taken.length > 0));
    const taken = engines.map(({ orders }) => orders.taken);
    expect(taken.map((orders) => orders.length)).toEqual([1, 1]);
    expect(taken.flat()).toEqual([
      expect.objectContaining({ kind: "load_version", name: "v7", epoch: 1 }),
      expect.objectContaining({ kind: "load_version", name: "v7", epoch: 1 }),
    ]);
  });
});
