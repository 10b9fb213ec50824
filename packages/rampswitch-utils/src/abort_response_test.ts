// Copyright 2026 the rampswitch authors. Apache-2.0 license.

// Guards against losing data that was written in the event loop turn in which a
// response is aborted. The last event of a stream and the loss of its server can be
// read in one turn. Aborting then dropped the event, and, if it was the first one,
// also the response headers. Data that is ready must be sent first.

import { createServer, get, type ServerResponse } from "node:http";
import { connect } from "node:net";
import { describe, expect, test } from "@jest/globals";
import { abortResponse } from "./abort_response.ts";
import { listen, type Listening, splitAddress } from "./listen.ts";
import { SILENT_LOGGER } from "./log.ts";
import { handleInBackground } from "./supervision.ts";

/** Time after which a response is aborted, in milliseconds. */
const ABORT_MILLISECONDS = 20;

const EVENT = "id: 1\ndata: event 1\n\n";

/** Returns what a caller receives of an aborted response, and whether it seems complete. */
async function readAbortedResponse(
  requestHeaders: Readonly<Record<string, string>> = {},
): Promise<{ readonly text: string; readonly complete: boolean }> {
  const server = createServer((_request, response) => {
    response.writeHead(200, { "content-type": "text/event-stream" });
    response.write(EVENT);
    abortResponse(response);
  });
  await using listening = await listen(server, "127.0.0.1:0");
  return await new Promise((resolve) => {
    let text = "";
    const end = (complete: boolean) => resolve({ text, complete });
    get(
      `http://${listening.address}/`,
      { headers: requestHeaders, agent: false },
      (response) => {
        response.setEncoding("utf8");
        response.on("data", (part: string) => {
          text += part;
        });
        response.on("end", () => end(true));
        response.on("error", () => end(false));
      },
    ).on("error", () => end(false));
  });
}

/** Breaks an answer off after a part of it. */
type BreakOff = (
  response: ServerResponse,
  listening: Listening,
) => void | PromiseLike<void>;

/** Ways in which a host breaks an answer off. */
const BREAKS: Readonly<Record<string, BreakOff>> = {
  "an abort": (response) => abortResponse(response),
  "the end of its listener": (_response, listening) =>
    listening[Symbol.asyncDispose](),
  "a defect": (response) =>
    handleInBackground(
      "a request",
      { logger: SILENT_LOGGER },
      { response, handle: () => Promise.reject(new Error("a defect")) },
    ),
};

/** Sends a request of HTTP/1.0; resolves to the code of the error that ends its answer. */
async function breakOldAnswer(breakOff: BreakOff): Promise<string | undefined> {
  const server = createServer((_request, response) => {
    response.writeHead(200, { "content-type": "text/event-stream" });
    response.write(EVENT);
    setTimeout(() => void breakOff(response, listening), ABORT_MILLISECONDS);
  });
  await using listening = await listen(server, "127.0.0.1:0");
  const { host, port } = splitAddress(listening.address);
  return await new Promise((resolve) => {
    const socket = connect({ host, port });
    socket.on("error", ({ code }: NodeJS.ErrnoException) => resolve(code));
    socket.on("end", () => resolve(undefined));
    socket.resume();
    socket.write("GET / HTTP/1.0\r\n\r\n");
  });
}

// Guards against a broken answer that ends as complete.
test.each(Object.entries(BREAKS))(
  "an answer broken off by %s resets the connection of a caller to whom its end would be a regular one",
  async (_name, breakOff) => {
    expect(await breakOldAnswer(breakOff)).toBe("ECONNRESET");
  },
);

describe("an aborted response", () => {
  test("delivers what was written in the same turn and is not complete", async () => {
    expect(await readAbortedResponse()).toEqual({
      text: EVENT,
      complete: false,
    });
  });

  test("does so on a connection that the caller asked to close", async () => {
    const closing = { connection: "close" };
    expect(await readAbortedResponse(closing)).toEqual({
      text: EVENT,
      complete: false,
    });
  });
});
