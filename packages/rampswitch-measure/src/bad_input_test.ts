// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { afterAll, beforeAll, describe, expect, test } from "@jest/globals";
import { connect } from "node:net";
import { splitAddress } from "rampswitch-utils";
import { SERVICES, workspaceKey } from "./deployment_plan.ts";
import { TestDeployment } from "./test_deployment.ts";

const AUTHORIZATION = `Bearer ${workspaceKey("landlords")}`;
const CHAT = "/v1/chat/completions";
const MESSAGES = [{ role: "user", content: "x" }];

interface BadInput {
  readonly name: string;
  readonly method?: "GET" | "POST" | "PUT";
  readonly path?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  readonly status: number;
  readonly reason: string;
}

const BAD_INPUTS: readonly BadInput[] = [
  { name: "malformed JSON", body: "{", status: 400, reason: "bad_request" },
  { name: "a list", body: "[]", status: 400, reason: "bad_request" },
  {
    name: "no messages",
    body: JSON.stringify({ model: SERVICES.model }),
    status: 400,
    reason: "bad_request",
  },
  {
    name: "a message without text",
    body: JSON.stringify({ model: SERVICES.model, messages: [null] }),
    status: 400,
    reason: "bad_request",
  },
  {
    name: "a negative number of tokens",
    body: JSON.stringify({
      model: SERVICES.model,
      messages: MESSAGES,
      max_tokens: -1,
    }),
    status: 400,
    reason: "bad_request",
  },
  {
    name: "a body over the limit",
    body: "x".repeat(5_000),
    status: 413,
    reason: "body_too_large",
  },
  {
    name: "an unknown model",
    body: JSON.stringify({ model: "none", messages: MESSAGES }),
    status: 404,
    reason: "unknown_service",
  },
  {
    name: "an unknown plain service",
    path: "/services/none/x",
    status: 404,
    reason: "unknown_service",
  },
  {
    name: "a broken escape in a name",
    path: "/services/%E0%A4%A/x",
    status: 404,
    reason: "unknown_service",
  },
  {
    name: "an unknown path",
    path: "/v2/anything",
    status: 400,
    reason: "bad_request",
  },
  {
    name: "a wrong method",
    method: "PUT",
    status: 400,
    reason: "bad_request",
  },
  {
    name: "a wrong key",
    headers: { authorization: "Bearer wrong" },
    status: 401,
    reason: "unauthorized",
  },
  {
    name: "no key",
    headers: { authorization: "" },
    status: 401,
    reason: "unauthorized",
  },
  {
    name: "a deadline that is no number",
    headers: { "x-deadline-milliseconds": "soon" },
    status: 400,
    reason: "bad_request",
  },
  {
    name: "an idempotency key that is too long",
    headers: { "idempotency-key": "k".repeat(300) },
    status: 400,
    reason: "bad_request",
  },
  {
    name: "a key from the future",
    headers: { "idempotency-key": "ffffffff-ffff-7fff-bfff-ffffffffffff" },
    body: JSON.stringify({ model: SERVICES.model, messages: MESSAGES }),
    status: 400,
    reason: "key_time_ahead",
  },
  {
    name: "an unknown request id",
    method: "GET",
    path: "/v1/requests/r1.01900000-0000-7000-8000-000000000000",
    status: 404,
    reason: "unknown_request",
  },
  {
    name: "a request id that is none",
    method: "GET",
    path: "/v1/requests/x",
    status: 404,
    reason: "unknown_request",
  },
];

let deployment: TestDeployment;

beforeAll(async () => {
  deployment = await TestDeployment.start({
    limits: {
      bodyBytes: 4_096,
      headerBytes: 8_192,
      headerMilliseconds: 400,
      bodyMilliseconds: 600,
    },
  });
});

afterAll(async () => {
  await deployment[Symbol.asyncDispose]();
});

describe("bad input is refused and counted:", () => {
  test.each(BAD_INPUTS)("$name", async (input) => {
    const counter = `refusal.${input.reason}`;
    const { metrics } = deployment.entries[0]!;
    const before = metrics.totals()[counter] ?? 0;
    const result = await deployment.caller().raw({
      method: input.method ?? "POST",
      path: input.path ?? CHAT,
      headers: { authorization: AUTHORIZATION, ...input.headers },
      body: input.body ?? null,
    });
    expect(result.status).toBe(input.status);
    expect(result.reason).toBe(input.reason);
    expect(metrics.totals()[counter]).toBe(before + 1);
    await expectServes();
  });
});

/** Sends bytes and reads all that comes until the connection closes. */
function exchangeBytes(bytes: string): Promise<string> {
  const { host, port } = splitAddress(deployment.entries[0]!.addresses.callers);
  return new Promise((resolve) => {
    let received = "";
    const socket = connect(port, host, () => socket.write(bytes));
    socket.on("data", (chunk) => (received += chunk.toString()));
    socket.on("error", () => undefined);
    socket.on("close", () => resolve(received));
  });
}

const BODY = JSON.stringify({ model: SERVICES.model, messages: MESSAGES });

const HEAD = `POST ${CHAT} HTTP/1.1\r\nhost: x\r\n`;

describe("broken connections end and leave others alone:", () => {
  test.each([
    ["bytes that are not HTTP", "hello\r\n\r\n", "400"],
    ["a head over the limit", `${HEAD}x: ${"y".repeat(9_000)}\r\n\r\n`, "431"],
    ["a head that never ends", HEAD, "408"],
    [
      "a body that never ends",
      `${HEAD}authorization: ${AUTHORIZATION}\r\ncontent-length: 9\r\n\r\n{`,
      "408",
    ],
    [
      "a length that is no number",
      `${HEAD}content-length: many\r\n\r\n`,
      "400",
    ],
    [
      "a header without a name",
      `${HEAD}authorization: ${AUTHORIZATION}\r\n: x\r\nconnection: close\r\ncontent-length: ${BODY.length}\r\n\r\n${BODY}`,
      "400",
    ],
  ])("%s", async (_name, bytes, status) => {
    expect(await exchangeBytes(bytes)).toContain(`HTTP/1.1 ${status}`);
    await expectServes();
  });
});

interface BadBackend {
  readonly fault: Readonly<Record<string, unknown>>;
  readonly status: number;
  readonly reason: string;
  readonly ran: "no" | "yes" | "unknown";
}

const BAD_ENGINES: readonly BadBackend[] = [
  {
    fault: { nonsense: true },
    status: 502,
    reason: "backend_nonsense",
    ran: "yes",
  },
  {
    fault: { failing: true },
    status: 502,
    reason: "backend_error",
    ran: "yes",
  },
  {
    fault: { dead: true },
    status: 502,
    reason: "backend_lost",
    ran: "unknown",
  },
];

const BAD_SERVICES: readonly BadBackend[] = [
  {
    fault: { nonsense: true },
    status: 502,
    reason: "backend_nonsense",
    ran: "unknown",
  },
  {
    fault: { dropping: true },
    status: 502,
    reason: "backend_lost",
    ran: "unknown",
  },
  {
    fault: { refusing: true },
    status: 503,
    reason: "backend_refused",
    ran: "no",
  },
  {
    fault: { hanging: true },
    status: 504,
    reason: "backend_timeout",
    ran: "unknown",
  },
];

describe("a backend server that misbehaves is told of truly:", () => {
  test.each(BAD_ENGINES)("an engine with $fault", async (bad) => {
    const { engines } = deployment.platform;
    engines.forEach((engine) => engine.setFaults(bad.fault));
    const result = await chat();
    engines.forEach((engine) => engine.setFaults(healed(bad.fault)));
    expect(result).toMatchObject({
      status: bad.status,
      reason: bad.reason,
      ran: bad.ran,
    });
  });

  test.each(BAD_SERVICES)("a plain service with $fault", async (bad) => {
    const { plainServices } = deployment.platform;
    plainServices.forEach((service) => service.setFaults(bad.fault));
    const result = await deployment.caller().raw({
      method: "POST",
      path: `/services/${SERVICES.plain}/x`,
      headers: {
        authorization: AUTHORIZATION,
        "x-deadline-milliseconds": "500",
      },
      body: null,
    });
    plainServices.forEach((service) => service.setFaults(healed(bad.fault)));
    expect(result).toMatchObject({
      status: bad.status,
      reason: bad.reason,
      ran: bad.ran,
    });
  });
});

function healed(fault: Readonly<Record<string, unknown>>) {
  return Object.fromEntries(Object.keys(fault).map((name) => [name, false]));
}

function chat() {
  return deployment.caller().chat({
    prompt: "x",
    tokens: 2,
    streamed: false,
    workspace: "landlords",
  });
}

async function expectServes(): Promise<void> {
  const result = await deployment.caller().plain("/fine", {
    method: "GET",
    workspace: "landlords",
  });
  expect(result.status).toBe(200);
}
