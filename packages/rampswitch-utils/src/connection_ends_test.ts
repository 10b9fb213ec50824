// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { connect, createServer, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { describe, expect, test } from "@jest/globals";
import { RESET_CODE, correctEnds } from "./connection_ends.ts";
import { listenUntilDisposed } from "./listen.ts";

const LATER_MILLISECONDS = 15;

/** Ways in which a peer ends its connection, and what the other side is to hear. */
const ENDINGS: Readonly<
  Record<
    string,
    { readonly end: (socket: Socket) => void; readonly heard: string }
  >
> = {
  "an end with the bytes": { end: (socket) => socket.end("x"), heard: "end" },
  "an end after the bytes": {
    end: (socket) => {
      socket.write("x");
      setTimeout(() => socket.end(), LATER_MILLISECONDS);
    },
    heard: "end",
  },
  "a reset with the bytes": {
    end: (socket) => {
      socket.write("x");
      socket.resetAndDestroy();
    },
    heard: RESET_CODE,
  },
  "a reset after the bytes": {
    end: (socket) => {
      socket.write("x");
      setTimeout(() => socket.resetAndDestroy(), LATER_MILLISECONDS);
    },
    heard: RESET_CODE,
  },
  "a reset after an end": {
    end: (socket) => {
      socket.end("x");
      setImmediate(() => socket.resetAndDestroy());
    },
    heard: RESET_CODE,
  },
};

describe("a connection that reports its resets", () => {
  test.each(
    Object.entries(ENDINGS).flatMap(([name, ending]) => [
      [name, "reading", ending] as const,
      [name, "paused", ending] as const,
    ]),
  )("tells %s from other ends (%s)", async (_name, state, { end, heard }) => {
    const server = createServer((socket) => {
      socket.on("error", () => undefined);
      socket.once("data", () => end(socket));
    });
    await using listening = await listenUntilDisposed(
      server,
      "127.0.0.1:0",
      () => undefined,
    );
    const [host = "", port = ""] = listening.address.split(":");
    const socket = connect({ host, port: Number(port) });
    correctEnds(socket);
    const events: string[] = [];
    socket.on("end", () => events.push("end"));
    socket.on("error", ({ code }: NodeJS.ErrnoException) =>
      events.push(String(code)),
    );
    const closed = new Promise((resolve) => socket.on("close", resolve));
    socket.write("request");
    if (state === "paused") await sleep(4 * LATER_MILLISECONDS);
    socket.resume();
    await closed;
    expect(events).toEqual([heard]);
  });
});
