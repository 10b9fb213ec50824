// Copyright 2026 the rampswitch authors. Apache-2.0 license.

// The last event of a stream and the loss of its server can be read in one turn.
// An answer that was broken off in the turn in which a part was written took
// that part with it: the caller got nothing of an event that was there, and,
// where it was the first, not even the head. What is ready goes out first.

import { createServer, get } from "node:http";
import { describe, expect, test } from "@jest/globals";
import { breakOff } from "./abort_response.ts";
import { listen } from "./listen.ts";

const EVENT = "id: 1\ndata: event 1\n\n";

/** What a caller gets of an answer of one event, and whether it looks whole. */
async function readAnswer(
  callerSends: Readonly<Record<string, string>> = {},
): Promise<{ readonly text: string; readonly whole: boolean }> {
  const server = createServer((_request, response) => {
    response.writeHead(200, { "content-type": "text/event-stream" });
    response.write(EVENT);
    breakOff(response);
  });
  await using listening = await listen(server, "127.0.0.1:0");
  return await new Promise((resolve) => {
    let text = "";
    const end = (whole: boolean) => resolve({ text, whole });
    get(
      `http://${listening.address}/`,
      { headers: callerSends, agent: false },
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

describe("an answer that breaks off", () => {
  test("brings what was written in the same turn, and does not look whole", async () => {
    expect(await readAnswer()).toEqual({ text: EVENT, whole: false });
  });

  test("does so on a connection that the caller wants closed after it", async () => {
    const closing = { connection: "close" };
    expect(await readAnswer(closing)).toEqual({ text: EVENT, whole: false });
  });
});
