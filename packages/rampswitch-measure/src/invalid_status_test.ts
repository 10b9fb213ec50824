// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Backend servers of the own interface whose answers have a status that is none.
 *
 * Guards against a caller that gets such an answer as one, or finds it retained.
 *
 * @module
 */
import { afterAll, beforeAll, describe, expect, test } from "@jest/globals";
import { startRawServer } from "rampswitch-standins";
import type { Listening } from "rampswitch-utils";
import type { CallResult } from "./caller.ts";
import { TestDeployment } from "./test_deployment.ts";

const WORKSPACE = "landlords";

const STATUSES = ["000", "099", "150", "600", "700", "999", "1000", "abc"];

const BODY = "trouble";

/** Bytes behind a status line, by their framings. */
const FRAMINGS = {
  "a length": `Content-Length: ${BODY.length}\r\n\r\n${BODY}`,
  chunks: `Transfer-Encoding: chunked\r\n\r\n7\r\n${BODY}\r\n0\r\n\r\n`,
  "no framing": `\r\n${BODY}`,
  "no body": "Content-Length: 0\r\n\r\n",
} as const;

/** Calls of each kind, with an id that makes each one new. */
const CALLS: Readonly<
  Record<string, (at: TestDeployment, id: string) => Promise<CallResult>>
> = {
  "a plain call": (at) =>
    at.caller().plain("/x", { method: "POST", workspace: WORKSPACE }),
  "a plain call that may run twice": (at) =>
    at.caller().plain("/x", { method: "GET", workspace: WORKSPACE }),
  "a plain call with a key": (at, key) =>
    at.caller().plain("/x", { method: "POST", workspace: WORKSPACE, key }),
  "a chat": (at, prompt) => chat(at, { prompt, streamed: false }),
  "a streamed chat": (at, prompt) => chat(at, { prompt, streamed: true }),
};

function chat(
  at: TestDeployment,
  call: { readonly prompt: string; readonly streamed: boolean },
): Promise<CallResult> {
  return at.caller().chat({ ...call, tokens: 2, workspace: WORKSPACE });
}

describe("an answer whose status is none", () => {
  let server: Listening;
  let deployment: TestDeployment;
  let bytes = "";

  beforeAll(async () => {
    server = await startRawServer((socket) => socket.end(bytes));
    const { address } = server;
    deployment = await TestDeployment.start({
      resources: (resources) =>
        resources.map((resource) =>
          resource.kind === "BackendServer"
            ? { ...resource, address }
            : resource,
        ),
    });
  });

  afterAll(async () => {
    await deployment[Symbol.asyncDispose]();
    await server[Symbol.asyncDispose]();
  });

  test.each(
    STATUSES.flatMap((status) =>
      Object.keys(CALLS).map((name) => [status, name] as const),
    ),
  )("reaches no caller: %s, %s", async (status, name) => {
    for (const [framing, rest] of Object.entries(FRAMINGS)) {
      bytes = `HTTP/1.1 ${status} OK\r\n${rest}`;
      const id = `${name} ${status} ${framing}`;
      const result = await CALLS[name]?.(deployment, id);
      const seen = [framing, result?.status, result?.ran, result?.text];
      const problem = expect.stringContaining('"ran"') as unknown;
      expect(seen).toEqual([framing, 502, "unknown", problem]);
    }
  });
});
