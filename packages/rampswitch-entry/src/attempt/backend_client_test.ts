// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { createServer, type Socket } from "node:net";
import { expect, test } from "@jest/globals";
import { listenUntilDisposed, Ownership, readText } from "rampswitch-utils";
import { BackendClient } from "./backend_client.ts";

const LIMIT_BYTES = 100;

const ENDINGS: Readonly<Record<string, (socket: Socket) => void>> = {
  tail: (socket) => socket.end(),
  cut_off: (socket) => socket.resetAndDestroy(),
};

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
    const reply = await client.call(address, {
      method: "GET",
      path: "/",
      headers: {},
      body: undefined,
      timeoutMilliseconds: 1_000,
    });
    const body = await reply.match({
      Ok: (answer) => readText(answer.body, LIMIT_BYTES),
      Err: (failure) => Promise.reject(new Error(JSON.stringify(failure))),
    });
    expect(body.unwrapOrElse((error) => error)).toBe(outcome);
  },
);
