// Copyright 2026 the rampswitch authors. Apache-2.0 license.

// Guards against an attempt that runs on at an engine that this host left: the call that
// ends it was lost, and nothing was asked again.

import { expect, test } from "@jest/globals";
import { type BackendServer, inDoubt, refused } from "rampswitch-types";
import { ManualClock } from "rampswitch-utils";
import { Result } from "true-myth";
import type { BackendCall, BackendClient } from "./backend_client.ts";
import { abandonAttempt } from "./engine_calls.ts";

/** What a call to end an attempt meets. */
const ANSWERS = {
  ended: Result.ok({
    statusCode: 200,
    body: { dump: () => Promise.resolve() },
  }),
  unknown: Result.ok({
    statusCode: 404,
    body: { dump: () => Promise.resolve() },
  }),
  failing: Result.ok({
    statusCode: 500,
    body: { dump: () => Promise.resolve() },
  }),
  lost: Result.err(inDoubt("backend_lost", "lost")),
  not_reached: Result.err(refused("connect_failed", "refused")),
} as const;

type Answer = keyof typeof ANSWERS;

/** Ends an attempt; returns the number of calls. */
async function callsToEnd(answers: readonly Answer[]): Promise<number> {
  const clock = new ManualClock();
  const calls: BackendCall[] = [];
  const client = {
    call: (_address: string, call: BackendCall) => {
      const answer = answers[Math.min(calls.length, answers.length - 1)];
      calls.push(call);
      return Promise.resolve(ANSWERS[answer ?? "ended"]);
    },
  };
  const server = { address: "engine" } as BackendServer;
  let hasEnded = false;
  const ending = abandonAttempt(client as unknown as BackendClient, {
    server,
    attempt: "a",
    clock,
  }).then(() => {
    hasEnded = true;
  });
  while (!hasEnded) {
    clock.advance(50);
    await new Promise(setImmediate);
  }
  await ending;
  return calls.length;
}

test.each<readonly [readonly Answer[], number]>([
  [["ended"], 1],
  // An earlier call whose answer was lost has ended it.
  [["lost", "unknown"], 2],
  [["lost", "ended"], 2],
  [["not_reached", "failing", "ended"], 3],
  [["lost"], 5],
])(
  "an attempt that was left is ended (%j) by %d calls",
  async (answers, calls) => {
    expect(await callsToEnd(answers)).toBe(calls);
  },
);
