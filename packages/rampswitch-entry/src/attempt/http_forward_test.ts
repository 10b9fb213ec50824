// Copyright 2026 the rampswitch authors. Apache-2.0 license.

// Guards against a broken answer that ends as complete: to a caller of HTTP/1.0 the end
// of the connection is that of an answer without a length.

import { once } from "node:events";
import { createServer, type ServerResponse } from "node:http";
import {
  connect,
  createServer as createRawServer,
  type Socket,
} from "node:net";
import { expect, test } from "@jest/globals";
import {
  listen,
  listenUntilDisposed,
  Ownership,
  splitAddress,
} from "rampswitch-utils";
import { BackendClient } from "./backend_client.ts";
import { forwardAnswer } from "./http_forward.ts";

const PART =
  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n";

/** Time between a part of an answer and the end of its connection, in milliseconds. */
const END_MILLISECONDS = 20;

/** How a backend server goes on after a part of its answer, and how the caller sees it. */
const ENDINGS: Readonly<
  Record<string, readonly [end: (socket: Socket) => void, seen: string]>
> = {
  "a whole answer": [(socket) => socket.end("0\r\n\r\n"), "ended"],
  "an end": [(socket) => socket.end(), "ECONNRESET"],
  "a reset": [(socket) => socket.resetAndDestroy(), "ECONNRESET"],
  "bytes that are no chunk": [(socket) => socket.end("x"), "ECONNRESET"],
};

/** Starts a backend server that ends in some way, and a host that forwards its answer. */
async function startForwarding(
  ownership: Ownership,
  end: (socket: Socket) => void,
): Promise<{
  readonly connect: () => Socket;
  readonly isWhole: Promise<boolean>;
}> {
  const backend = ownership.own(
    await listenUntilDisposed(
      createRawServer((socket) => {
        socket.on("error", () => undefined);
        socket.once("data", () => {
          socket.write(PART);
          setTimeout(() => end(socket), END_MILLISECONDS);
        });
      }),
      "127.0.0.1:0",
      () => undefined,
    ),
  );
  const client = ownership.own(new BackendClient());
  const server = createServer();
  const isWhole = once(server, "request").then(async (values) => {
    const reply = await client.call(backend.address, {
      method: "GET",
      path: "/",
      headers: {},
      body: undefined,
      timeoutMilliseconds: 10_000,
    });
    const [, response] = values as [unknown, ServerResponse];
    return reply.isOk && forwardAnswer(reply.value, response, {});
  });
  const { address } = ownership.own(await listen(server, "127.0.0.1:0"));
  return {
    isWhole,
    connect: () => {
      const socket = connect(splitAddress(address));
      socket.write("GET / HTTP/1.0\r\n\r\n");
      return socket;
    },
  };
}

test.each(Object.entries(ENDINGS))(
  "%s of a backend server shows to a caller of HTTP/1.0",
  async (_name, [end, seen]) => {
    await using ownership = new Ownership();
    const forwarding = await startForwarding(ownership, end);
    let text = "";
    const outcome = await new Promise((resolve) => {
      const socket = forwarding.connect();
      socket.on("error", ({ code }: NodeJS.ErrnoException) => resolve(code));
      socket.on("end", () => resolve("ended"));
      socket.on("data", (bytes: Buffer) => {
        text += bytes.toString();
      });
    });
    expect(outcome).toBe(seen);
    expect(text).toMatch(/\r\n\r\npart$/);
    expect(await forwarding.isWhole).toBe(seen === "ended");
  },
);

test("a caller that leaves ends the backend server's answer", async () => {
  await using ownership = new Ownership();
  let isClosed = false;
  const forwarding = await startForwarding(ownership, (socket) => {
    socket.once("close", () => {
      isClosed = true;
    });
    caller.destroy();
  });
  const caller = forwarding.connect();
  expect(await forwarding.isWhole).toBe(false);
  while (!isClosed) await new Promise(setImmediate);
});
