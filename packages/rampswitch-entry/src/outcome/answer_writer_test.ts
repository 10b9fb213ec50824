// Copyright 2026 the rampswitch authors. Apache-2.0 license.

// Guards against losing stored events when the outcome of an answer is in
// doubt. The host that ran a stream is lost, and the caller reads the rest at
// another host. That host wrote the missing events and closed the connection in
// the same turn of the event loop, so on a busy machine the caller received
// neither the events nor the outcome.

import { createServer, get } from "node:http";
import { connect } from "node:net";
import { describe, expect, test } from "@jest/globals";
import { inDoubt } from "rampswitch-types";
import {
  correctEnds,
  createMetrics,
  listen,
  ManualClock,
  splitAddress,
} from "rampswitch-utils";
import { type Answer, AnswerCache } from "./answer_cache.ts";
import { writeAnswer } from "./answer_writer.ts";

const MEBIBYTE = 1024 * 1024;

function newAnswer(): Answer {
  const cache = new AnswerCache(
    new ManualClock(),
    createMetrics("test", undefined),
    {
      answerBytes: MEBIBYTE,
      answersBytes: MEBIBYTE,
      retentionMilliseconds: 1_000,
    },
  );
  return cache.open(
    {
      id: "r1.a",
      slot: 1,
      key: "r1.a",
      workspace: "workspace",
      service: "assistant",
      body: Buffer.from("{}"),
      deadline: 1_000,
      streamed: true,
      fingerprint: "f",
    },
    "lost-host",
  );
}

function answerInDoubt(): Answer {
  const answer = newAnswer();
  answer.append(0, ["x", "y", "z"]);
  answer.end(inDoubt("taken_over", "the host that ran the request was lost"));
  return answer;
}

/** Reads over a real connection; returns what arrived before it closed. */
async function readAfter(
  answer: Answer,
  after: number,
): Promise<{ readonly status: number; readonly text: string }> {
  const server = createServer((_request, response) =>
    writeAnswer(answer, response, {
      form: "stream",
      after,
      onCallerGone: () => undefined,
    }),
  );
  await using listening = await listen(server, "127.0.0.1:0");
  return await new Promise((resolve) => {
    const received = { status: 0, text: "" };
    get(`http://${listening.address}/`, { agent: false }, (response) => {
      received.status = response.statusCode ?? 0;
      response.setEncoding("utf8");
      response.on("data", (part: string) => {
        received.text += part;
      });
      response.on("close", () => resolve(received));
      // The connection is expected to break off; the test checks what arrived
      // before.
      response.on("error", () => resolve(received));
    }).on("error", () => resolve(received));
  });
}

// Guards against a broken answer that ends as complete.
test("a stream of HTTP/1.0 that its caller reads too slowly is reset", async () => {
  const answer = newAnswer();
  const server = createServer((_request, response) =>
    writeAnswer(answer, response, {
      form: "stream",
      after: -1,
      onCallerGone: () => undefined,
    }),
  );
  await using listening = await listen(server, "127.0.0.1:0");
  const socket = connect(splitAddress(listening.address));
  correctEnds(socket);
  socket.pause();
  socket.write("GET / HTTP/1.0\r\n\r\n");
  while (answer.readers === 0) await new Promise(setImmediate);
  const event = "x".repeat(MEBIBYTE);
  for (let index = 0; answer.readers > 0; index += 1) {
    answer.append(index, [event]);
    await new Promise(setImmediate);
  }
  const end = await new Promise((resolve) => {
    socket.on("end", () => resolve("ended"));
    socket.on("error", () => resolve("reset"));
    socket.resume();
  });
  expect(end).toBe("reset");
});

describe("a stored answer whose outcome is in doubt", () => {
  test("sends its stored events before the connection breaks off", async () => {
    const got = await readAfter(answerInDoubt(), 0);
    expect(got.status).toBe(200);
    expect(got.text).toContain("id: 2\n");
    expect(got.text).not.toContain("[DONE]");
  });

  test("sends its outcome to a caller who has all events", async () => {
    const got = await readAfter(answerInDoubt(), 2);
    expect(got.status).toBe(409);
    expect(JSON.parse(got.text)).toMatchObject({
      ran: "unknown",
      reason: "taken_over",
    });
  });
});
