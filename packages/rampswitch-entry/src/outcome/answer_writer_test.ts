// Copyright 2026 the rampswitch authors. Apache-2.0 license.

// A caller of a stream that must run once came back to read the rest, after the
// host that ran it was lost. The host that was asked held events that the caller
// had not, and the answer's end was in doubt: it wrote the events and closed the
// connection in the same turn, so nothing of either arrived. Forty readings in a
// row ended with a broken connection and not one byte, in four of eighteen plays
// on a busy machine. The caller got neither the ready events nor the verdict.

import { createServer, get } from "node:http";
import { describe, expect, test } from "@jest/globals";
import { inDoubt } from "rampswitch-types";
import { createMetrics, listen, ManualClock } from "rampswitch-utils";
import { type Answer, AnswerCache } from "./answer_cache.ts";
import { writeAnswer } from "./answer_writer.ts";

const MEBIBYTE = 1024 * 1024;

function answerInDoubt(): Answer {
  const book = new AnswerCache(
    new ManualClock(),
    createMetrics("test", undefined),
    {
      answerBytes: MEBIBYTE,
      answersBytes: MEBIBYTE,
      retentionMilliseconds: 1_000,
    },
  );
  const answer = book.open(
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
  answer.append(0, ["x", "y", "z"]);
  answer.end(inDoubt("taken_over", "the host that ran the request was lost"));
  return answer;
}

/** Reads over a real connection; what came before it ended. */
async function readAfter(
  answer: Answer,
  after: number,
): Promise<{ readonly status: number; readonly text: string }> {
  const server = createServer((_request, response) =>
    writeAnswer(answer, response, {
      form: "stream",
      after,
      onGone: () => undefined,
    }),
  );
  await using listening = await listen(server, "127.0.0.1:0");
  return await new Promise((resolve) => {
    const got = { status: 0, text: "" };
    get(`http://${listening.address}/`, { agent: false }, (response) => {
      got.status = response.statusCode ?? 0;
      response.setEncoding("utf8");
      response.on("data", (part: string) => {
        got.text += part;
      });
      response.on("close", () => resolve(got));
      // An answer that breaks off is expected; what came before it counts.
      response.on("error", () => resolve(got));
    }).on("error", () => resolve(got));
  });
}

describe("a kept answer whose end is in doubt", () => {
  test("gives the events that it holds before it breaks off", async () => {
    const got = await readAfter(answerInDoubt(), 0);
    expect(got.status).toBe(200);
    expect(got.text).toContain("id: 2\n");
    expect(got.text).not.toContain("[DONE]");
  });

  test("tells its end to a caller who has all events", async () => {
    const got = await readAfter(answerInDoubt(), 2);
    expect(got.status).toBe(409);
    expect(JSON.parse(got.text)).toMatchObject({
      ran: "unknown",
      reason: "taken_over",
    });
  });
});
