// Copyright 2026 the rampswitch authors. Apache-2.0 license.

// Guards against a broken answer that ends as complete: a server's process ends within
// an answer without a length, and its connections end as after a whole one.

import { once } from "node:events";
import { createServer, get, type ServerResponse } from "node:http";
import { createServer as createRawServer } from "node:net";
import { expect, test } from "@jest/globals";
import {
  createMetrics,
  listen,
  listenUntilDisposed,
  ManualClock,
  Ownership,
  SILENT_LOGGER,
} from "rampswitch-utils";
import { type Answer, AnswerCache } from "../outcome/answer_cache.ts";
import { BackendClient } from "./backend_client.ts";
import {
  type PlainCall,
  PlainRunner,
  type PlainRunnerOptions,
} from "./plain_runner.ts";

const BYTES = 1_000_000;

/** Whether the process of a server goes on after its answer. */
const SERVERS = [
  ["goes on", true],
  ["ends with it", false],
] as const;

/** Starts a server that gives one answer without a length, and a runner of its calls. */
async function startRunner(ownership: Ownership, goesOn: boolean) {
  const server = createRawServer((socket) => {
    socket.on("error", () => undefined);
    socket.once("data", () => {
      if (!goesOn) server.close();
      socket.end("HTTP/1.1 200 OK\r\n\r\npart");
    });
  });
  const { address } = ownership.own(
    await listenUntilDisposed(server, "127.0.0.1:0", () => undefined),
  );
  const clock = new ManualClock();
  const metrics = createMetrics("test", undefined);
  const candidates = new Map([["server", { server: { name: "s", address } }]]);
  const limits = {
    answerBytes: BYTES,
    answersBytes: BYTES,
    retentionMilliseconds: 1_000,
  };
  const answer = new AnswerCache(clock, metrics, limits).open(
    {
      id: "r1.a",
      slot: 1,
      key: "key",
      workspace: "workspace",
      service: "plain",
      body: Buffer.alloc(0),
      deadline: 10_000,
      streamed: false,
      fingerprint: "f",
    },
    "self",
  );
  const runner = new PlainRunner({
    clock,
    metrics,
    logger: SILENT_LOGGER,
    client: ownership.own(new BackendClient()),
    routing: () => ({ candidates }),
    retries: { recordFirstAttempt: () => undefined },
    replication: {
      ended: () => undefined,
      progressed: (to: Answer, first: number, events: readonly string[]) =>
        Promise.resolve(to.append(first, events)),
    },
    directory: {
      choose: () => ({ chosen: { server: "server" } }),
      recordSent: () => undefined,
      recordEnded: () => undefined,
    },
  } as unknown as PlainRunnerOptions);
  const call = {
    service: { name: "plain", timeoutMilliseconds: 10_000 },
    requestId: "r1.a",
    method: "GET",
    path: "/",
    headers: {},
    repeatable: false,
    deadline: 10_000,
  } as unknown as PlainCall;
  return { runner, call, answer };
}

test.each(SERVERS)(
  "an answer without a length whose server %s is retained as whole: %p",
  async (_name, goesOn) => {
    await using ownership = new Ownership();
    const { runner, call, answer } = await startRunner(ownership, goesOn);
    await runner.runRetained(call, answer);
    expect(answer.outcome?.kind === "completed").toBe(goesOn);
  },
);

test.each(SERVERS)(
  "an answer without a length whose server %s is passed on as whole: %p",
  async (_name, goesOn) => {
    await using ownership = new Ownership();
    const { runner, call } = await startRunner(ownership, goesOn);
    const host = createServer();
    const { address } = ownership.own(await listen(host, "127.0.0.1:0"));
    const request = get(`http://${address}/`, { agent: false });
    const [, response] = (await once(host, "request")) as [
      unknown,
      ServerResponse,
    ];
    const running = runner.runStreamed(call, response);
    const isWhole = await new Promise<boolean>((resolve) => {
      request.on("error", () => resolve(false));
      request.on("response", (reply) => {
        reply.on("error", () => undefined);
        reply.on("close", () => resolve(reply.complete)).resume();
      });
    });
    await running;
    expect(isWhole).toBe(goesOn);
  },
);
