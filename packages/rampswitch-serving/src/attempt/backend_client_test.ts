// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { createServer } from "node:http";
import { describe, expect, test } from "@jest/globals";
import { listen, Ownership } from "rampswitch-utils";
import { BackendClient } from "./backend_client.ts";

/** Sends a request; resolves to the body of its answer, or to the failure. */
function fetchAnswer(
  client: BackendClient,
  server: { readonly id: string; readonly address: string },
): Promise<string> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    client.send(
      server,
      { method: "GET", target: "/", headers: [], body: undefined },
      {
        written: () => undefined,
        head: () => undefined,
        data: (chunk) => chunks.push(chunk),
        ended: () => resolve(Buffer.concat(chunks).toString()),
        failed: (failure) => resolve(failure),
      },
    );
  });
}

describe("backend client", () => {
  test("sends to the current address of a server", async () => {
    await using ownership = new Ownership();
    const listenings = await Promise.all(
      ["former", "present"].map((name) =>
        listen(
          createServer((_, response) => response.end(name)),
          "127.0.0.1:0",
        ),
      ),
    );
    const [former, present] = listenings.map((one) => ownership.own(one));
    const client = ownership.own(new BackendClient());
    const sends = [former, present, former];
    const answers: string[] = [];
    for (const listening of sends) {
      const address = listening?.address ?? "";
      answers.push(await fetchAnswer(client, { id: "s1", address }));
    }
    expect(answers).toEqual(["former", "present", "former"]);
  });
});
