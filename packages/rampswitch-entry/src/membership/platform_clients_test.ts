// Copyright 2026 the rampswitch authors. Apache-2.0 license.

// Guards against calls that throw, or answer without a list, where the host list or the
// cloud sends another form: the round that awaits them fails.

import { createServer } from "node:http";
import { expect, test } from "@jest/globals";
import { listen } from "rampswitch-utils";
import { httpCloud, httpHostList } from "./platform_clients.ts";

/** Bodies that are no lists and no host. */
const OTHER_FORMS = [
  "",
  "null",
  "[]",
  "{}",
  "no JSON",
  '{"hosts":[{"name":"a","state":"live"}',
  '{"hosts":null,"notices":null,"host":null}',
  '{"hosts":[null],"notices":[null],"host":1}',
  '{"hosts":[{"name":1}],"notices":[{"host":"a"}],"host":[]}',
] as const;

/** What all calls come to: their errors, or what they found. */
async function resultsFor(
  status: number,
  body: string,
): Promise<readonly unknown[]> {
  await using server = await listen(
    createServer((_request, response) => response.writeHead(status).end(body)),
    "127.0.0.1:0",
  );
  const cloud = httpCloud(server.address);
  const results = await Promise.all([
    httpHostList(server.address).hosts(),
    cloud.hosts(),
    cloud.notices(0),
    cloud.start("class", "a", { token: "t" }),
  ]);
  return results.map((one) => (one.isErr ? { error: one.error } : one.value));
}

test.each(OTHER_FORMS)(
  "an answer of another form is none: %s",
  async (body) => {
    const results = await resultsFor(200, body);
    const failure = { error: expect.any(String) as unknown };
    expect(results).toEqual([failure, failure, failure, failure]);
  },
);

test("a refusal to start a host is one whatever its body", async () => {
  const [, , , started] = await resultsFor(409, "no JSON");
  expect(started).toEqual({ error: "refused" });
});

// Guards against a host that is forgotten while it lives on and costs money.
test.each([
  [200, true],
  [404, true],
  [429, false],
  [500, false],
  [503, false],
  [700, false],
])("status %i shows that a host has ended: %s", async (status, hasEnded) => {
  await using server = await listen(
    createServer((_request, response) => response.writeHead(status).end()),
    "127.0.0.1:0",
  );
  const ended = await httpCloud(server.address).end("a");
  expect(ended.isOk).toBe(hasEnded);
});

test("lists that name all that they should are read", async () => {
  const found = [
    [{ name: "a", state: "leaving", deadline: 1 }],
    [{ host: "a", hostClass: "c", dataHall: "d", token: "t", address: "x" }],
    [{ sequence: 1, host: "a", deadline: 1 }],
    "a",
  ];
  const [hosts, started, notices, host] = found;
  const bodies = [{ hosts }, { hosts: started }, { notices }, { host }];
  for (const [index, body] of bodies.entries()) {
    const results = await resultsFor(200, JSON.stringify(body));
    expect(results[index]).toEqual(found[index]);
  }
});
