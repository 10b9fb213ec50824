// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import fc from "fast-check";
import { ManualClock } from "rampswitch-utils";
import { Result } from "true-myth";
import { BoundedOutput, type LineLoss } from "./bounded_output.ts";
import type { LineSink, WriteResult } from "./line_sink.ts";

/** Longer than any wait between two writes, in milliseconds. */
const LONGER_THAN_ANY_WAIT_MILLISECONDS = 1_000;

/** How a sink answers a write: the maximum bytes that it takes, or an error. */
type SinkAnswer = number | "EAGAIN" | "EPIPE" | "later";

function failure(code: string): WriteResult {
  return Result.err(Object.assign(new Error(code), { code }));
}

/** A sink whose answers a test sets, and an output that writes to it. */
function createOutput() {
  const clock = new ManualClock();
  const state = {
    answer: Infinity as SinkAnswer,
    text: "",
    writes: [] as string[],
    losses: [] as LineLoss[],
    failures: [] as string[],
    notices: [] as string[],
    finish: (): void => undefined,
  };
  const take = (bytes: Buffer, maximumBytes: number): WriteResult => {
    const taken = bytes.subarray(0, maximumBytes);
    state.text += taken.toString("utf8");
    return Result.ok(taken.length);
  };
  const sink: LineSink = {
    write: (bytes, done) => {
      state.writes.push(bytes.toString("utf8"));
      const { answer } = state;
      if (answer === "later") {
        state.finish = () => done(take(bytes, Infinity));
      } else {
        done(
          typeof answer === "number" ? take(bytes, answer) : failure(answer),
        );
      }
    },
    writeSync: (bytes) =>
      typeof state.answer === "number"
        ? take(bytes, state.answer)
        : failure("EAGAIN"),
  };
  const output = new BoundedOutput(sink, {
    clock,
    observer: {
      lost: (loss) => state.losses.push(loss),
      failed: (code) => state.failures.push(code),
      takeNotices: () => state.notices.splice(0),
    },
  });
  return { clock, state, output };
}

/** Number of lost lines. */
function lostIn(losses: readonly LineLoss[]): number {
  return losses.reduce((sum, { lines }) => sum + lines, 0);
}

const LARGE = `${"x".repeat(100 * 1024)}\n`;

describe("bounded output", () => {
  test("writes a line at once, after a newline that separates it from a former incarnation", () => {
    const { state, output } = createOutput();
    output.push("a\n");
    expect(state.text).toBe("\na\n");
    output.push("b\n");
    expect(state.writes).toEqual(["\na\n", "b\n"]);
  });

  test("collects the lines that arrive during a write, in order", () => {
    const { state, output } = createOutput();
    state.answer = "later";
    ["a\n", "b\n", "c\n"].forEach((line) => output.push(line));
    expect(state.writes).toEqual(["\na\n"]);
    state.answer = Infinity;
    state.finish();
    expect(state.writes).toEqual(["\na\n", "b\nc\n"]);
    expect(state.losses).toEqual([]);
  });

  test("writes the rest of a partly taken line, then later lines", () => {
    const { clock, state, output } = createOutput();
    state.answer = 3;
    output.push("first\n");
    state.answer = "EAGAIN";
    output.push("later\n");
    state.answer = Infinity;
    clock.advance(LONGER_THAN_ANY_WAIT_MILLISECONDS);
    expect(state.text).toBe("\nfirst\nlater\n");
  });

  test("drops and reports lines beyond its bound while a write is stuck", () => {
    const { state, output } = createOutput();
    state.answer = "later";
    output.push("stuck\n");
    Array.from({ length: 4 }).forEach(() => output.push(LARGE));
    const loss = { reason: "no_room", lines: 1, bytes: LARGE.length };
    expect(state.losses).toEqual([loss, loss]);
  });

  test("reserves space for ordinary lines in a flood of expendable ones", () => {
    const { clock, state, output } = createOutput();
    state.answer = "EAGAIN";
    output.push("first\n");
    Array.from({ length: 50_000 }).forEach(() =>
      output.push("refused\n", "expendable"),
    );
    Array.from({ length: 1_000 }).forEach(() => output.push("ended\n"));
    state.answer = Infinity;
    clock.advance(LONGER_THAN_ANY_WAIT_MILLISECONDS);
    const lines = state.text.split("\n");
    expect(lines.filter((line) => line === "ended")).toHaveLength(1_000);
    expect(lostIn(state.losses)).toBe(
      50_000 - lines.filter((line) => line === "refused").length,
    );
  });

  test("reports losses as soon as there is space, after the lines before them", () => {
    const { clock, state, output } = createOutput();
    state.answer = "EAGAIN";
    output.push("first\n");
    Array.from({ length: 3 }).forEach(() => output.push(LARGE));
    state.notices.push("one is lost\n");
    state.answer = Infinity;
    clock.advance(LONGER_THAN_ANY_WAIT_MILLISECONDS);
    expect(state.text).toBe(`\nfirst\n${LARGE}${LARGE}one is lost\n`);
  });

  test("retains lines whose write failed until their reader is back", () => {
    const { clock, state, output } = createOutput();
    state.answer = "EPIPE";
    output.push("first\n");
    output.push("second\n");
    clock.advance(LONGER_THAN_ANY_WAIT_MILLISECONDS);
    expect(state.failures).toEqual(["EPIPE", "EPIPE"]);
    state.answer = Infinity;
    clock.advance(LONGER_THAN_ANY_WAIT_MILLISECONDS);
    expect(state.text).toBe("\nfirst\nsecond\n");
    expect(state.losses).toEqual([]);
  });

  test("drops the oldest lines when writes continue to fail, but no part of a line", () => {
    const { clock, state, output } = createOutput();
    // The first write takes a part of the line; the following writes fail.
    state.answer = "EAGAIN";
    output.push("half of it\n");
    output.push("given up\n");
    state.answer = 4;
    clock.advance(20);
    state.answer = "EPIPE";
    clock.advance(LONGER_THAN_ANY_WAIT_MILLISECONDS);
    [LARGE, LARGE, LARGE, LARGE, LARGE, "newest\n"].forEach((line) =>
      output.push(line),
    );
    state.answer = Infinity;
    clock.advance(LONGER_THAN_ANY_WAIT_MILLISECONDS);
    const lines = state.text.split("\n");
    expect(lines.slice(0, 2)).toEqual(["", "half of it"]);
    expect(lines.at(-2)).toBe("newest");
    expect(state.losses.map(({ reason }) => reason)).toContain("write_failed");
  });

  test.each(["EAGAIN", "EPIPE"] as const)(
    "buffers at most twice its bound while no write succeeds: %s",
    (answer) => {
      const { clock, state, output } = createOutput();
      state.answer = answer;
      const line = `${"x".repeat(1_000)}\n`;
      Array.from({ length: 5_000 }).forEach((_, index) => {
        output.push(line, index % 2 === 0 ? "ordinary" : "expendable");
        clock.advance(1);
      });
      state.answer = Infinity;
      clock.advance(LONGER_THAN_ANY_WAIT_MILLISECONDS);
      expect(state.text.length).toBeLessThanOrEqual(2 * 256 * 1024);
      expect(state.text.length).toBeGreaterThan(128 * 1024);
    },
  );

  test("writes the remaining lines synchronously at the end of the process", () => {
    const { state, output } = createOutput();
    state.answer = "EAGAIN";
    output.push("first\n");
    output.push("last\n");
    state.answer = Infinity;
    output.writeSync();
    expect(state.text).toBe("\nfirst\nlast\n");
  });

  test("writes no line after a part of another one at the end of the process", () => {
    const { state, output } = createOutput();
    state.answer = 3;
    output.push("first\n");
    state.answer = "EAGAIN";
    output.push("last\n");
    // The reader takes part of each write.
    state.answer = 2;
    output.writeSync();
    expect("\nfirst\nlast\n".startsWith(state.text)).toBe(true);
  });

  test("whatever the reader does, lines are whole and in order, and losses are reported", () => {
    const answers = fc.oneof(
      fc.integer({ min: 0, max: 60_000 }),
      fc.constantFrom<SinkAnswer>("EAGAIN", "EPIPE", Infinity),
    );
    const steps = fc.record({
      answer: answers,
      lines: fc.integer({ min: 0, max: 12 }),
      length: fc.integer({ min: 1, max: 40_000 }),
      wait: fc.constantFrom(0, 20, 250, 600),
      importance: fc.constantFrom("ordinary" as const, "expendable" as const),
    });
    fc.assert(
      fc.property(fc.array(steps, { maxLength: 60 }), (plan) => {
        const { clock, state, output } = createOutput();
        let pushed = 0;
        plan.forEach((step) => {
          state.answer = step.answer;
          Array.from({ length: step.lines }).forEach(() => {
            pushed += 1;
            output.push(
              `${pushed} ${"x".repeat(step.length)}.\n`,
              step.importance,
            );
          });
          clock.advance(step.wait);
        });
        state.answer = Infinity;
        clock.advance(LONGER_THAN_ANY_WAIT_MILLISECONDS);
        clock.advance(LONGER_THAN_ANY_WAIT_MILLISECONDS);
        const lines = state.text.split("\n").filter(Boolean);
        const numbers = lines.map((line) => Number(line.split(" ")[0]));
        expect(lines.filter((line) => !/^\d+ x+\.$/.test(line))).toEqual([]);
        expect(numbers).toEqual(
          numbers.toSorted((left, right) => left - right),
        );
        expect(lines.length + lostIn(state.losses)).toBe(pushed);
      }),
      { seed: 31, numRuns: 300 },
    );
  });
});
