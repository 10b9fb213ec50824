// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import { logLines } from "./log_line.ts";
import { refusalRows, refusalsByRank } from "./refusals.ts";
import { storyOf, storyText } from "./trace.ts";

const REFUSED = {
  timestamp: "T1",
  host: "a",
  message: "request ended",
  request: "r1",
  outcome: "servers_full",
  service: "models",
  workspace: "burst",
  rank: "1.0",
  share: 0.25,
  expectedMilliseconds: 480,
  retryAfterSeconds: 0.48,
};

const LOG = [
  REFUSED,
  { ...REFUSED, request: "r2", share: 0.75, expectedMilliseconds: 520 },
  { ...REFUSED, request: "r3", workspace: "quiet" },
  { ...REFUSED, request: "r4", outcome: "completed", rank: undefined },
  { ...REFUSED, request: "r5", rank: "2.0", expectedMilliseconds: undefined },
].map((fields) => JSON.stringify(fields));

describe("refused requests in the log", () => {
  test("are told with rank, share and expected time", () => {
    const text = storyText(storyOf("r1", logLines(LOG.join("\n"))));
    expect(text.split(": ")[0]).toBe(
      "T1 a request ended (servers_full, rank 1.0, 25% of its class admitted, " +
        "room expected in 480 ms, told to return after 0.48 s)",
    );
  });

  test("are summed up by rank for one workspace", () => {
    const refusals = refusalsByRank(logLines(LOG.join("\n")), {
      service: "models",
      workspace: "burst",
    });
    expect(refusalRows(refusals)).toEqual([
      ["servers_full", "1.0", 2, "50%", "500 ms"],
      ["servers_full", "2.0", 1, "25%", "-"],
    ]);
  });
});
