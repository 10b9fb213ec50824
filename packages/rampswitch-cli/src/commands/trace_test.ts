// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import { logLines } from "./log_line.ts";
import { storyOf, storyText } from "./trace.ts";

const LOG = [
  'not a log line, {"broken"',
  '{"timestamp":"T2","host":"a","message":"send lost","request":"r1","server":"s1"}',
  '{"timestamp":"T1","host":"a","message":"server listed","server":"s1","state":"leaving"}',
  '  3.1 a {"timestamp":"T3","host":"a","message":"request ended","request":"r1","servers":"s1,s2","outcome":"completed"}',
  '{"timestamp":"T4","host":"a","message":"server gone","server":"s1"}',
  '{"timestamp":"T2","host":"b","message":"server listed","server":"s1"}',
  '{"timestamp":"T2","host":"a","message":"request ended","request":"r2","servers":"s1"}',
].join("\n");

/** What two hosts wrote of a run that moved and whose target turned it away. */
const MOVED_LOG = [
  {
    at: "07.526",
    message: "moving runs",
    server: "s3",
    toldMilliseconds: 1_500,
    runs: 1,
  },
  {
    at: "06.319",
    message: "request sent again",
    request: "r7",
    reason: "rejected",
    from: "s1",
    to: "s3",
    continues: false,
    possibleRuns: 0,
    sinceMilliseconds: 12,
  },
  {
    at: "06.319",
    message: "request sent again",
    request: "r8",
    reason: "rejected",
    from: "s1",
    to: "s2",
    continues: false,
  },
  {
    at: "06.318",
    message: "send rejected",
    request: "r7",
    server: "s1",
    status: 503,
    continues: false,
  },
  {
    at: "07.738",
    message: "memory move",
    request: "r7",
    outcome: "moved",
    from: "s3",
    target: "s4",
    lastEventId: "8",
  },
  {
    at: "07.738",
    message: "request sent again",
    request: "r7",
    reason: "memory_moved",
    from: "s3",
    to: "s4",
    continues: true,
    lastEventId: "8",
  },
  {
    at: "07.741",
    message: "send rejected",
    request: "r7",
    server: "s4",
    status: 503,
    continues: true,
  },
  {
    at: "07.741",
    message: "send not repeated",
    request: "r7",
    reason: "rejected",
    why: "may_not_run_again",
    possibleRuns: 1,
  },
  {
    at: "07.742",
    message: "request ended",
    request: "r7",
    outcome: "unknown_outcome",
    servers: "s1,s3,s4",
    resends: "rejected,memory_moved",
    milliseconds: 1_436,
  },
].map(({ at, ...fields }) =>
  JSON.stringify({
    ...fields,
    host: "a",
    timestamp: `2026-01-01T00:00:${at}Z`,
  }),
);

/** Each line of a story up to its fields, without host and day. */
function steps(text: string): readonly string[] {
  return text
    .split("\n")
    .map((line) => line.slice("2026-01-01T00:00:".length).split(": ")[0] ?? "");
}

describe("trace of a request", () => {
  test("holds its lines and those about its servers, in order", () => {
    const story = storyOf("r1", logLines(LOG));
    expect(story.map((line) => `${line.timestamp} ${line.message}`)).toEqual([
      "T1 server listed",
      "T2 send lost",
      "T3 request ended",
    ]);
  });

  test("is empty for a request that no host knows", () => {
    expect(storyOf("r9", logLines(LOG))).toEqual([]);
  });

  test("shows what became of a run that moved", () => {
    const story = storyOf("r7", logLines(MOVED_LOG.join("\n")));
    expect(steps(storyText(story))).toEqual([
      "06.306Z a request arrived (first sent to s1)",
      "06.318Z a send rejected (not run)",
      "06.319Z a request sent again (without kept memory)",
      "07.526Z a moving runs",
      "07.738Z a memory move (the run stopped and its memory was kept)",
      "07.738Z a request sent again (goes on from kept memory)",
      "07.741Z a send rejected (not run, kept memory not taken)",
      "07.741Z a send not repeated (it may have run and must not run again)",
      "07.742Z a request ended (unknown_outcome)",
    ]);
  });

  test("names each cause of a send that was not repeated", () => {
    const whys = [
      "may_not_run_again",
      "too_late",
      "too_many_sends",
      "no_server",
      "budget_spent",
    ];
    const log = whys.map((why, index) =>
      JSON.stringify({
        timestamp: `T${index}`,
        host: "a",
        message: "send not repeated",
        request: "r1",
        why,
      }),
    );
    const text = storyText(storyOf("r1", logLines(log.join("\n"))));
    expect(text.split("\n")).toEqual([
      "T0 a send not repeated (it may have run and must not run again): request=r1 why=may_not_run_again",
      "T1 a send not repeated (no time left): request=r1 why=too_late",
      "T2 a send not repeated (sent as often as a request may be): request=r1 why=too_many_sends",
      "T3 a send not repeated (no other server takes it): request=r1 why=no_server",
      "T4 a send not repeated (the budget of repeats is spent): request=r1 why=budget_spent",
    ]);
  });

  test("says whether a lost send had given the caller a part", () => {
    const log = [true, false].map((relayed, index) =>
      JSON.stringify({
        timestamp: `T${index}`,
        host: "a",
        message: "send lost",
        request: "r1",
        reason: "connection_lost",
        relayed,
      }),
    );
    const text = storyText(storyOf("r1", logLines(log.join("\n"))));
    expect(text.split("\n").map((line) => line.split(": ")[0])).toEqual([
      "T0 a send lost (the caller has a part of the answer)",
      "T1 a send lost (the caller has nothing of the answer)",
    ]);
  });

  test("keeps the order in which a host wrote lines of one moment", () => {
    const log = Array.from({ length: 40 }, (_, index) =>
      JSON.stringify({
        timestamp: "T1",
        host: "a",
        message: `line ${index}`,
        ...(index % 2 === 0 ? { request: "r1", from: "s1" } : { server: "s1" }),
      }),
    );
    const story = storyOf("r1", logLines(log.join("\n")));
    expect(story.map((line) => line.message)).toEqual(
      log.map((_, index) => `line ${index}`),
    );
  });

  test("holds lines about servers of a request without an end", () => {
    const log = MOVED_LOG.filter((line) => !line.includes("request ended"));
    const story = storyOf("r7", logLines(log.join("\n")));
    expect(story.map((line) => line.message)).toContain("moving runs");
    expect(storyText(story)).not.toContain("request arrived");
  });

  test("tells that lines of its host are missing within its time", () => {
    const log = [
      { line: 5, message: "serving", timestamp: "T1" },
      { line: 9, message: "send lost", timestamp: "T2", request: "r1" },
      { line: 10, message: "request ended", timestamp: "T3", request: "r1" },
    ].map((fields) => JSON.stringify({ ...fields, host: "a" }));
    const story = storyOf("r1", logLines(log.join("\n")));
    expect(story.map(({ message }) => message)).toEqual([
      "lines missing",
      "send lost",
      "request ended",
    ]);
  });
});
