// Copyright 2026 the rampswitch authors. Apache-2.0 license.

// Guards against a stream that ends as complete after this host had its engine stop it.

import { Readable } from "node:stream";
import { expect, test } from "@jest/globals";
import { type Outcome } from "rampswitch-types";
import { createMetrics } from "rampswitch-utils";
import { Result } from "true-myth";
import type { BackendClient } from "./backend_client.ts";
import { type EngineAttempt, runEngineAttempt } from "./engine_attempt.ts";

const TOKEN =
  'id: 0\ndata: {"choices":[{"delta":{"content":"x"},"finish_reason":null}]}\n\n';
const STOP =
  'data: {"choices":[{"delta":{},"finish_reason":"stop"}]}\n\n' +
  "data: [DONE]\n\n";

/** What comes of a stream; `stop` is when this host has its engine stop it. */
interface Stream {
  readonly chunks: readonly string[];
  /** Index of the chunk before which the stop is ordered; none by default. */
  readonly stopBefore?: number;
}

/** Reads a stream to its outcome; tokens after the stop are dropped, as a runner does. */
async function read({ chunks, stopBefore }: Stream) {
  const abort = new AbortController();
  function* body() {
    for (const [index, chunk] of chunks.entries()) {
      if (index === stopBefore) abort.abort();
      yield Buffer.from(chunk);
    }
  }
  const reply = {
    statusCode: 200,
    headers: {},
    body: Readable.from(body(), { objectMode: true, highWaterMark: 1 }),
  };
  const client = { call: () => Promise.resolve(Result.ok(reply)) };
  const texts: string[] = [];
  const outcome: Outcome = await runEngineAttempt(
    client as unknown as BackendClient,
    {
      server: { name: "engine", contract: {} },
      firstToken: 0,
      signal: abort.signal,
    } as unknown as EngineAttempt,
    {
      metrics: createMetrics("test", undefined),
      listener: {
        leaving: () => undefined,
        tokens: (_first, added) => {
          if (!abort.signal.aborted) texts.push(...added);
          return Promise.resolve();
        },
      },
    },
  );
  return { kind: outcome.kind, texts };
}

test.each<readonly [string, Stream, string]>([
  ["with its end", { chunks: [TOKEN, STOP] }, "completed"],
  ["without its end", { chunks: [TOKEN] }, "in_doubt"],
  ["without its last event", { chunks: [TOKEN, "data: [DO"] }, "in_doubt"],
  [
    "stopped before its end is read",
    { chunks: [TOKEN + STOP], stopBefore: 0 },
    "in_doubt",
  ],
  [
    "stopped between its events",
    { chunks: [TOKEN, STOP], stopBefore: 1 },
    "in_doubt",
  ],
])("a stream %s ends so", async (_name, stream, kind) => {
  const ended = await read(stream);
  expect(ended.kind).toBe(kind);
});
