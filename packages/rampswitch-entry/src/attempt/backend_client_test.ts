// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { createServer, type Socket } from "node:net";
import { expect, test } from "@jest/globals";
import { listenUntilDisposed, Ownership, readText } from "rampswitch-utils";
import {
  type BackendCall,
  BackendClient,
  callFailure,
} from "./backend_client.ts";

const LIMIT_BYTES = 100;

const CALL: BackendCall = {
  method: "GET",
  path: "/",
  headers: {},
  body: undefined,
  timeoutMilliseconds: 1_000,
};

const ENDINGS: Readonly<Record<string, (socket: Socket) => void>> = {
  tail: (socket) => socket.end(),
  cut_off: (socket) => socket.resetAndDestroy(),
};

const HEAD = "HTTP/1.1 200 OK\r\nX-One: 1\r\nContent-Length: 100\r\n\r\n";

// Guards against a call that counts as answered, or as not run, by a part of a head.
test.each(Object.entries(ENDINGS))(
  "a head that stops leaves its call in doubt (%s)",
  async (_name, end) => {
    await using ownership = new Ownership();
    let length = 0;
    const server = createServer((socket) => {
      socket.on("error", () => undefined);
      socket.once("data", () => {
        socket.write(HEAD.slice(0, length));
        end(socket);
      });
    });
    const { address } = ownership.own(
      await listenUntilDisposed(server, "127.0.0.1:0", () => undefined),
    );
    const client = ownership.own(new BackendClient());
    for (; length < HEAD.length; length += 1) {
      const reply = await client.call(address, CALL);
      const kind = reply.isErr ? reply.error.kind : "answered";
      expect([length, kind]).toEqual([length, "in_doubt"]);
    }
  },
);

// Guards against a broken answer that ends as complete.
test.each(Object.entries(ENDINGS))(
  "an answer without a length that ends with its last bytes is %s",
  async (outcome, end) => {
    await using ownership = new Ownership();
    const server = createServer((socket) => {
      socket.on("error", () => undefined);
      socket.once("data", () => {
        socket.write("HTTP/1.1 200 OK\r\n\r\ntail");
        end(socket);
      });
    });
    const { address } = ownership.own(
      await listenUntilDisposed(server, "127.0.0.1:0", () => undefined),
    );
    const client = ownership.own(new BackendClient());
    const reply = await client.call(address, CALL);
    const body = await reply.match({
      Ok: (answer) => readText(answer.body, LIMIT_BYTES),
      Err: (failure) => Promise.reject(new Error(JSON.stringify(failure))),
    });
    expect(body.unwrapOrElse((error) => error)).toBe(outcome);
  },
);

// Guards against an answer with a status that is none, and against bytes of it that are
// read for as long as they come.
test("an answer whose status is none is closed and leaves its call in doubt", async () => {
  await using ownership = new Ownership();
  const sockets: Socket[] = [];
  const server = createServer((socket) => {
    sockets.push(socket);
    socket.on("error", () => undefined);
    socket.once("data", () => socket.write("HTTP/1.1 700 X\r\n\r\npart"));
  });
  const { address } = ownership.own(
    await listenUntilDisposed(server, "127.0.0.1:0", () => undefined),
  );
  const client = ownership.own(new BackendClient());
  const reply = await client.call(address, CALL);
  expect(reply.isErr && reply.error).toMatchObject({
    kind: "in_doubt",
    reason: "backend_nonsense",
  });
  while (!sockets.every(({ closed }) => closed)) {
    await new Promise(setImmediate);
  }
});

/** An error of the system, as Node.js gives it. */
function systemError(code: string, syscall: string): Error {
  return Object.assign(new Error(`${syscall} ${code}`), { code, syscall });
}

// Guards against a call that counts as not run though it was sent: routes that fail also
// end connections that are open, with the codes of those that never came up.
test.each([
  ["EHOSTUNREACH", "connect", "refused_not_run"],
  ["EHOSTUNREACH", "read", "in_doubt"],
  ["ENETUNREACH", "write", "in_doubt"],
  ["ECONNREFUSED", "connect", "refused_not_run"],
  ["ECONNREFUSED", "read", "in_doubt"],
])("a call that fails by %s in %s is %s", (code, syscall, kind) => {
  const failure = callFailure("127.0.0.1:1", systemError(code, syscall));
  expect(failure.kind).toBe(kind);
});
