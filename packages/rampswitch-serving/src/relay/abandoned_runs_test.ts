// Copyright 2026 the rampswitch authors. Apache-2.0 license.

// Guards against a run that goes on at the server that a host gave it up at, while
// another one works on the same request.

import { describe, expect, test } from "@jest/globals";
import { Result } from "true-myth";
import { ManualClock, SILENT_LOGGER } from "rampswitch-utils";
import { ServerDirectory, type ServerRecord } from "../choice/mod.ts";
import type {
  EngineControl,
  MemoryCopy,
  MemoryCopyError,
  RetainedMemory,
} from "../model/engine_control.ts";
import { ServingMetrics } from "../observation/mod.ts";
import { type AbandonedRunParts, stopAbandonedRun } from "./abandoned_runs.ts";

const ATTEMPT = "attempt";

/** Longest time for which two servers may work on one request, in milliseconds. */
const MAXIMUM_OVERLAP_MILLISECONDS = 400;

/** Time in which all calls are made, in milliseconds. */
const ALL_CALLS_MILLISECONDS = 6_000;

const STEP_MILLISECONDS = 10;

const STOPPED = Result.ok<RetainedMemory, MemoryCopyError>({
  handle: "h1",
  copied: true,
});

/** The answer to a call; `undefined` if it never comes. */
type Answer = Result<RetainedMemory, MemoryCopyError> | undefined;

function entryOf(name: string) {
  return {
    id: name,
    born: 1,
    service: "models",
    address: `${name}:1`,
    dataHall: "a",
    slots: 8,
    state: "ready" as const,
    version: "v1",
    reclaimable: true,
  };
}

/** Stops a run at server `a`, whose calls are answered in turn; the last one stays. */
async function stop(
  answers: readonly Answer[],
  options: {
    readonly mayWait?: boolean;
    readonly present?: "a" | "b";
    readonly restartsAfter?: number;
  } = {},
) {
  const clock = new ManualClock();
  const directory = new ServerDirectory();
  ["a", "b"].forEach((name) => directory.put(entryOf(name), 0));
  const calls: (MemoryCopy & { readonly at: number })[] = [];
  const drops: string[] = [];
  const engineControl: EngineControl = {
    report: () => Promise.resolve(undefined),
    copyMemory: (copy) => {
      const answer = answers[Math.min(calls.length, answers.length - 1)];
      calls.push({ ...copy, at: clock.now() });
      return answer === undefined
        ? new Promise(() => undefined)
        : Promise.resolve(answer);
    },
    dropCopy: (from, handle) => {
      drops.push(`${from}/${handle}`);
      return Promise.resolve(true);
    },
  };
  const parts = {
    clock,
    directory,
    engineControl: {
      ...engineControl,
      report: () =>
        Promise.resolve({
          endsInMilliseconds: undefined,
          born: 1,
          advertised: {},
        }),
    },
    advertisements: { read: () => undefined },
    logger: SILENT_LOGGER,
    metrics: new ServingMetrics(),
  } as unknown as AbandonedRunParts;
  const { mayWait = false, present, restartsAfter = Infinity } = options;
  const server = directory.get("a") as ServerRecord;
  stopAbandonedRun(
    {
      attemptId: ATTEMPT,
      server,
      mayWait,
      present: () => directory.get(present ?? "none"),
    },
    parts,
  );
  for (let at = 0; at < ALL_CALLS_MILLISECONDS; at += STEP_MILLISECONDS) {
    clock.advance(STEP_MILLISECONDS);
    if (clock.now() >= restartsAfter) server.end();
    await new Promise((resolve) => setImmediate(resolve));
  }
  return { calls, drops };
}

describe("the stop of an abandoned run", () => {
  test("is requested at the server that was abandoned, and its memory is freed", async () => {
    const { calls, drops } = await stop([STOPPED], { present: "b" });
    expect(calls).toMatchObject([
      { from: "a:1", to: "b:1", attemptId: ATTEMPT, stopsRun: true },
    ]);
    expect(drops).toEqual(["a:1/h1"]);
  });

  test("ends where the server no longer runs it, and leaves nothing to free", async () => {
    const { calls, drops } = await stop([Result.err("no_run")]);
    expect([calls.length, drops]).toEqual([1, []]);
  });

  test("is not requested if the run continues at that address", async () => {
    // The address of a server that is gone may be given to another one.
    const { calls } = await stop([STOPPED], { present: "a" });
    expect(calls).toEqual([]);
  });

  test("is not requested any more at a server that started again", async () => {
    const { calls } = await stop([Result.err("no_answer")], {
      restartsAfter: 120,
    });
    expect(calls.length).toBe(1);
  });

  test.each<readonly [string, readonly Answer[]]>([
    ["lost", [Result.err("no_answer"), STOPPED]],
    ["without an answer", [undefined, STOPPED]],
    ["refused", [Result.err("refused"), STOPPED]],
    ["refused for want of room", [Result.err("no_room"), STOPPED]],
    ["made beside a copy", [Result.err("under_way"), STOPPED]],
  ])("is requested again after a call that is %s", async (_name, answers) => {
    const { calls, drops } = await stop(answers);
    expect(calls.length).toBe(2);
    expect(calls[1]?.at).toBeLessThan(MAXIMUM_OVERLAP_MILLISECONDS);
    expect(drops).toEqual(["a:1/h1"]);
  });

  test("is under way where a server is busy with the call before", async () => {
    const { calls } = await stop([undefined, Result.err("under_way")]);
    expect(calls.length).toBe(2);
  });

  test("is requested a bounded number of times", async () => {
    const { calls } = await stop([Result.err("no_answer")], { mayWait: true });
    expect(calls.length).toBeLessThanOrEqual(5);
  });

  test("is requested later of a server in whose queue the request may wait", async () => {
    const answers = [Result.err<RetainedMemory, MemoryCopyError>("no_run")];
    const { calls, drops } = await stop([...answers, ...answers, STOPPED], {
      mayWait: true,
    });
    expect(calls.length).toBe(3);
    expect(drops).toEqual(["a:1/h1"]);
  });
});
