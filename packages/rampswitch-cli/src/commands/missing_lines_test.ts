// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * A request was answered, and a trace of it over the logs of all hosts came to
 * nothing, as it does for an id that never was: nobody could tell whether its
 * lines were lost. Lines are numbered in each life of a host, so a trace can.
 */
import { describe, expect, test } from "@jest/globals";
import { missingLines, summed } from "./missing_lines.ts";
import { logLines } from "./log_line.ts";
import { noLineText, storyOf, storyText } from "./trace.ts";

type Fields = Readonly<Record<string, string | number>>;

/** The text of a log; each line is a time within a minute, a number and more. */
function logOf(
  host: string,
  lines: readonly (readonly [number, number, string, Fields?])[],
): string {
  return lines
    .map(([second, line, message, fields = {}]) =>
      JSON.stringify({ ...fields, message, host, line, timestamp: at(second) }),
    )
    .join("\n");
}

function at(second: number): string {
  return new Date(1_000 * second).toISOString();
}

const ENDED = { request: "r1", servers: "s1", milliseconds: 2_000 };

describe("missing lines", () => {
  test("show as gaps in the numbers of a host", () => {
    const log = [
      logOf("a", [
        [1, 1, "started"],
        [2, 2, "serving"],
        [4, 7, "request ended"],
      ]),
      logOf("b", [
        [1, 40, "request ended"],
        [2, 41, "request ended"],
      ]),
    ].join("\n");
    expect(missingLines(logLines(log))).toEqual([
      { host: "a", from: at(2), until: at(4), lines: 4 },
    ]);
  });

  test("are likely after the last line of a life that did not stop as planned", () => {
    const log = logOf("a", [
      [1, 1, "started"],
      [2, 2, "request ended"],
      [5, 1, "started"],
      [6, 2, "stopped"],
      [8, 1, "started"],
    ]);
    expect(missingLines(logLines(log))).toEqual([
      { host: "a", from: at(2), until: at(5), lines: undefined },
    ]);
  });

  test("include the first ones of a later life", () => {
    const log = logOf("a", [
      [1, 8, "request ended"],
      [2, 9, "stopped"],
      [5, 3, "serving"],
    ]);
    expect(missingLines(logLines(log))).toEqual([
      { host: "a", from: at(2), until: at(5), lines: 2 },
    ]);
  });

  test("of many gaps are summed, host by host", () => {
    const log = logOf("a", [
      [1, 1, "started"],
      [2, 4, "serving"],
      [3, 9, "serving"],
      [4, 1, "started"],
    ]);
    expect(summed(missingLines(logLines(log)))).toEqual([
      { host: "a", from: at(3), until: at(4), lines: undefined },
      { host: "a", from: at(1), until: at(3), lines: 6 },
    ]);
  });

  test("are unknown for hosts that do not number theirs", () => {
    const log = '{"message":"x","host":"a","timestamp":"T1"}';
    expect(missingLines(logLines(log))).toEqual([]);
  });
});

describe("trace of a request with missing lines", () => {
  test("tells those of its host and its time, and no others", () => {
    const log = [
      logOf("a", [
        [1, 1, "started"],
        [3, 5, "serving"],
        [8, 6, "serving"],
        [9, 9, "request ended", ENDED],
        [20, 30, "serving"],
      ]),
      logOf("b", [
        [7, 1, "started"],
        [9, 9, "serving"],
      ]),
    ].join("\n");
    const story = storyOf("r1", logLines(log));
    expect(story.map(({ message, fields }) => [message, fields.lines])).toEqual(
      [
        ["lines missing", 2],
        ["request ended", undefined],
      ],
    );
    expect(storyText(story)).toContain(
      `lines missing (2 of this host up to ${at(9)})`,
    );
  });

  test("tells all that follow where no line tells its end", () => {
    const log = logOf("a", [
      [1, 1, "send rejected", { request: "r1", server: "s1" }],
      [2, 2, "serving"],
      [5, 1, "started"],
    ]);
    expect(storyText(storyOf("r1", logLines(log)))).toContain(
      `lines missing (perhaps the last of a life that ended, up to ${at(5)})`,
    );
  });

  test("names hosts whose lines are missing where it finds none", () => {
    const log = logOf("a", [
      [1, 1, "started"],
      [2, 5, "serving"],
    ]);
    expect(noLineText("r1", logLines(log))).toBe(
      `no line about request r1; a: 3 lines missing from ${at(1)} to ${at(2)}`,
    );
    expect(noLineText("r1", [])).toBe("no line about request r1");
  });
});
