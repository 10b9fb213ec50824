// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Requests that come late in the planned stop of an entry host. Guards against a host
 * that takes work up to the end of its stop and cuts it off without an answer.
 *
 * @module
 */
import { describe, expect, test } from "@jest/globals";
import { sleep, SYSTEM_CLOCK } from "rampswitch-utils";
import type { Caller, CallResult } from "./caller.ts";
import { TestDeployment } from "./test_deployment.ts";

const WORKSPACE = "landlords";

/** Time of a planned stop, in milliseconds. */
const STOP_MILLISECONDS = 3_000;

/** Time in which requests come then, in milliseconds. */
const ASKING_MILLISECONDS = 2_800;

/** Time of a planned stop that leaves all requests their time, in milliseconds. */
const NOTICED_STOP_MILLISECONDS = 12_000;

/** Time in which load balancers notice that a host stops, in milliseconds. */
const NOTICED_MILLISECONDS = 900;

/** Time between requests, in milliseconds; servers are not full. */
const PACE_MILLISECONDS = 150;

/** Requests by which the host learns how long such requests take. */
const LEARNED_REQUESTS = 6;

const TEST_TIMEOUT_MILLISECONDS = 40_000;

type Ask = (caller: Caller, name: string) => Promise<CallResult>;

/** A call that must run once. */
function check(milliseconds: number): Ask {
  return (caller, name) =>
    caller.plain(`/checks/${name}?milliseconds=${milliseconds}`, {
      method: "POST",
      workspace: WORKSPACE,
    });
}

/** A chat request whose answer comes whole. */
function chat(tokens: number): Ask {
  return (caller, name) =>
    caller.chat({
      prompt: `operation-${name} a b`,
      tokens,
      streamed: false,
      workspace: WORKSPACE,
    });
}

/** Asks a host while it stops; resolves to the results by the names of the requests. */
async function askWhileStopping(
  deployment: TestDeployment,
  { ask, milliseconds }: { readonly ask: Ask; readonly milliseconds: number },
): Promise<ReadonlyMap<string, CallResult>> {
  const caller = deployment.caller(0);
  const learned = Array.from({ length: LEARNED_REQUESTS }, (_, index) =>
    ask(caller, `learned-${index}`),
  );
  const statuses = (await Promise.all(learned)).map(({ status }) => status);
  expect(statuses).toEqual(statuses.map(() => 200));
  const stopped = deployment.entries[0]?.stop();
  const endsAt = SYSTEM_CLOCK.now() + milliseconds;
  const results: Promise<readonly [string, CallResult]>[] = [];
  while (SYSTEM_CLOCK.now() < endsAt) {
    const name = `late-${results.length}`;
    results.push(ask(caller, name).then((result) => [name, result]));
    await sleep(SYSTEM_CLOCK, PACE_MILLISECONDS);
  }
  await stopped;
  return new Map(await Promise.all(results));
}

/** Whether any server ran a request. */
function ran({ platform }: TestDeployment, name: string): boolean {
  return [...platform.plainServices, ...platform.engines]
    .flatMap(({ executions }) => executions)
    .some(({ operation }) => operation.endsWith(name));
}

describe("requests late in the stop of an entry host", () => {
  test.each<[string, Ask]>([
    ["checks of 1.2 s", check(1_200)],
    ["chats", chat(300)],
  ])(
    "%s get an answer or are refused before they run",
    async (_, ask) => {
      await using deployment = await TestDeployment.start({
        entries: 2,
        limits: { stopMilliseconds: STOP_MILLISECONDS },
      });
      const milliseconds = ASKING_MILLISECONDS;
      const results = [
        ...(await askWhileStopping(deployment, { ask, milliseconds })),
      ];
      const cut = results.filter(
        ([name, { whole }]) => !whole && ran(deployment, name),
      );
      expect(cut).toEqual([]);
      const refused = results.filter(([, result]) => result.ran === "no");
      expect(refused.filter(([name]) => ran(deployment, name))).toEqual([]);
      const served = results.filter(([, { status }]) => status === 200);
      expect(served.length).toBeGreaterThan(0);
    },
    TEST_TIMEOUT_MILLISECONDS,
  );

  test.each<[string, Ask]>([
    ["checks", check(1_200)],
    ["chats that run on another host", chat(300)],
  ])(
    "%s that come before it is noticed are answered",
    async (_, ask) => {
      await using deployment = await TestDeployment.start({
        entries: 2,
        limits: { stopMilliseconds: NOTICED_STOP_MILLISECONDS },
      });
      const results = await askWhileStopping(deployment, {
        ask,
        milliseconds: NOTICED_MILLISECONDS,
      });
      const others = [...results].filter(([, { status }]) => status !== 200);
      expect(others).toEqual([]);
    },
    TEST_TIMEOUT_MILLISECONDS,
  );
});
