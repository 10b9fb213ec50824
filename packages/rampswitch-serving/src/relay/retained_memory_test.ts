// Copyright 2026 the rampswitch authors. Apache-2.0 license.

// Guards against a stopped run that loses its memory to another one's call: a lost answer
// of the server that gave a handle was taken for the end of that server, and the server
// with the copy was asked to free the same handle, which may name a run of its own.

import { expect, test } from "@jest/globals";
import { ManualClock, SILENT_LOGGER } from "rampswitch-utils";
import { Result } from "true-myth";
import { ignoringAdvertisementReader } from "../advertisements/advertisements_standin.ts";
import { ServerRecord } from "../choice/mod.ts";
import { backendServerStandin } from "../model/backend_server_standin.ts";
import { ServingMetrics } from "../observation/mod.ts";
import { freeMemory } from "./retained_memory.ts";

const HANDLE = "7";

/** What a call to free memory is answered. */
type FreeAnswer = "freed" | "lost_or_unknown";

/** Frees memory that was copied; returns the calls, by the id of the server. */
async function callsToFree(
  answers: readonly FreeAnswer[],
  { hasEnded = false } = {},
): Promise<readonly string[]> {
  const clock = new ManualClock();
  const [from, to] = ["source", "target"].map(
    (id) => new ServerRecord(backendServerStandin({ id, address: id })),
  ) as [ServerRecord, ServerRecord];
  if (hasEnded) from.end();
  const calls: string[] = [];
  const left = [...answers];
  await freeMemory(
    { attemptId: "moved", holders: { from, to }, handle: HANDLE },
    {
      clock,
      logger: SILENT_LOGGER,
      metrics: new ServingMetrics(),
      advertisements: ignoringAdvertisementReader(),
      engineControl: {
        report: () => Promise.resolve(undefined),
        copyMemory: () => Promise.resolve(Result.err("refused")),
        dropCopy: (address) => {
          calls.push(address);
          return Promise.resolve(left.shift() === "freed");
        },
      },
    },
  );
  return calls;
}

test.each<readonly [readonly FreeAnswer[], readonly string[]]>([
  [["freed"], ["source"]],
  [
    ["lost_or_unknown", "freed"],
    ["source", "source"],
  ],
  [
    ["lost_or_unknown", "lost_or_unknown"],
    ["source", "source"],
  ],
])("memory is freed by its source alone (%j)", async (answers, calls) => {
  expect(await callsToFree(answers)).toEqual(calls);
});

test("memory is freed at the server with the copy once its source is gone", async () => {
  expect(await callsToFree(["freed"], { hasEnded: true })).toEqual(["target"]);
});
