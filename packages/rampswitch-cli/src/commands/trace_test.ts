// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import { logLines, storyOf } from "./trace.ts";

const LOG = [
  'not a log line, {"broken"',
  '{"timestamp":"T2","host":"a","message":"send lost","request":"r1","server":"s1"}',
  '{"timestamp":"T1","host":"a","message":"server listed","server":"s1","state":"leaving"}',
  '  3.1 a {"timestamp":"T3","host":"a","message":"request ended","request":"r1","servers":"s1,s2","outcome":"completed"}',
  '{"timestamp":"T4","host":"a","message":"server gone","server":"s1"}',
  '{"timestamp":"T2","host":"b","message":"server listed","server":"s1"}',
  '{"timestamp":"T2","host":"a","message":"request ended","request":"r2","servers":"s1"}',
].join("\n");

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
});
