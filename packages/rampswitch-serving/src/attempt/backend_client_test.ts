// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { createServer } from "node:http";
import { createServer as createRawServer, type Socket } from "node:net";
import { setImmediate } from "node:timers/promises";
import { describe, expect, test } from "@jest/globals";
import { listen, listenUntilDisposed, Ownership } from "rampswitch-utils";
import {
  BackendClient,
  type Send,
  type ServerAddress,
} from "./backend_client.ts";
import type { ContactLoss } from "./open_connections.ts";

/** Time for which a server keeps idle connections, in milliseconds. */
const KEEP_ALIVE_MILLISECONDS = 5_000;

/** Sends a request; resolves to the body of its answer, or to the failure. */
function fetchAnswer(
  client: BackendClient,
  server: ServerAddress,
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

  test("tells of the ends of contacts by the server", async () => {
    await using ownership = new Ownership();
    const server = createServer((_, response) => response.end());
    const listening = ownership.own(await listen(server, "127.0.0.1:0"));
    const losses: unknown[] = [];
    const onLoss = ({ born }: ServerAddress, { isUnusual }: ContactLoss) =>
      losses.push([born, isUnusual]);
    const client = ownership.own(new BackendClient({ onLoss }));
    const { address } = listening;
    // One that tells nothing may close idle connections as it likes.
    for (const keepAliveTimeout of [KEEP_ALIVE_MILLISECONDS, 0]) {
      server.keepAliveTimeout = keepAliveTimeout;
      await fetchAnswer(client, { id: "s1", address, born: 7 });
      await fetchAnswer(client, { id: "s1", address, born: 7 });
      const contact = client.contact("s1");
      expect([contact?.isUnbroken, losses.length % 2]).toEqual([
        true,
        keepAliveTimeout === 0 ? 1 : 0,
      ]);
      server.closeAllConnections();
      while (client.contact("s1") !== undefined) await setImmediate();
      expect(contact?.isUnbroken).toBe(false);
    }
    await listening[Symbol.asyncDispose]();
    await fetchAnswer(client, { id: "s1", address, born: 7 });
    expect(losses).toEqual([
      [7, true],
      [7, false],
      [7, true],
    ]);
  });
});

/** Time between a part of an answer and the end of its connection, in milliseconds. */
const END_MILLISECONDS = 20;

/** Time for which the listener takes no data, in milliseconds. */
const PAUSE_MILLISECONDS = 80;

/** Heads of answers after which the connection ends, and the outcome of such an end. */
const CLOSING_HEADS = [
  ["without a length", "HTTP/1.1 200 OK\r\n\r\n", "tail"],
  [
    "with a length",
    "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 9\r\n\r\n",
    "lost",
  ],
  [
    "in chunks",
    "HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n",
    "lost",
  ],
] as const;

/** Reads an answer with a pause in it; resolves to its body, or to the failure. */
function fetchSlowly(client: BackendClient, address: string): Promise<string> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    const send: Send = client.send(
      { id: "s1", address },
      { method: "GET", target: "/", headers: [], body: undefined },
      {
        written: () => undefined,
        head: () => undefined,
        data: (chunk) => {
          chunks.push(chunk);
          send.pause();
          setTimeout(() => send.resume(), PAUSE_MILLISECONDS);
        },
        ended: () => resolve(Buffer.concat(chunks).toString()),
        failed: (failure) => resolve(failure),
      },
    );
  });
}

// Guards against a host that ends with an uncaught error when a connection ends while
// its answer waits for a slow caller.
describe("an answer whose reader pauses", () => {
  test.each(CLOSING_HEADS)(
    "may end meanwhile (%s)",
    async (_name, head, outcome) => {
      await using ownership = new Ownership();
      const endings: ((socket: Socket) => void)[] = [
        (socket) => socket.end(),
        (socket) => socket.resetAndDestroy(),
      ];
      const server = createRawServer((socket) => {
        socket.on("error", () => undefined);
        socket.once("data", () => {
          const end = endings.shift();
          socket.write(`${head}tail`);
          setTimeout(() => end?.(socket), END_MILLISECONDS);
        });
      });
      const { address } = ownership.own(
        await listenUntilDisposed(server, "127.0.0.1:0", () => undefined),
      );
      const client = ownership.own(new BackendClient());
      expect(await fetchSlowly(client, address)).toBe(outcome);
      expect(await fetchSlowly(client, address)).toBe("lost");
    },
  );
});

describe("the end of an answer without a length", () => {
  test.each([
    ["stays open", [], "whole"],
    ["ends too", ["asked"], "lost"],
  ] as const)(
    "shows an end of the process only if another connection %s",
    async (_name, asked, outcome) => {
      await using ownership = new Ownership();
      const sockets: Socket[] = [];
      const server = createRawServer((socket) => {
        sockets.push(socket);
        socket.on("error", () => undefined);
        // The second connection's answer ends, and with it the process or not.
        if (sockets.length < 2) return;
        socket.once("data", () => {
          socket.write("HTTP/1.1 200 OK\r\n\r\nwhole");
          const ending = outcome === "whole" ? [socket] : sockets;
          ending.forEach((one) => one.end());
        });
      });
      const { address } = ownership.own(
        await listenUntilDisposed(server, "127.0.0.1:0", () =>
          sockets.forEach((socket) => socket.destroy()),
        ),
      );
      const questions: string[] = [];
      const client = ownership.own(
        new BackendClient({
          watchIncarnation: () => () => {
            questions.push("asked");
            return Promise.resolve(false);
          },
        }),
      );
      void fetchAnswer(client, { id: "s1", address });
      const answer = await fetchAnswer(client, { id: "s1", address });
      expect(answer).toBe(outcome);
      expect(questions).toEqual(asked);
    },
  );
});
