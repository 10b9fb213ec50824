// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { expect, test } from "@jest/globals";
import { Result } from "true-myth";
import { ManualClock, repeat } from "./clock.ts";
import { SILENT_LOGGER } from "./log.ts";
import { decodeSafely, runInBackground } from "./supervision.ts";

async function settle(): Promise<void> {
  await new Promise((resolve) => setImmediate(resolve));
}

// Guards against one failure of periodic work ending the process, or that work.
test("a repeated task that fails is reported, and repeated after a growing pause", async () => {
  const clock = new ManualClock();
  const runs: number[] = [];
  const reports: unknown[] = [];
  await using repetition = repeat(clock, () => 10, {
    name: "a task",
    reportFailure: (work, error) => reports.push([work, String(error)]),
    run: () => {
      runs.push(clock.now());
      if (runs.length === 1) throw new Error("at once");
      return runs.length === 2
        ? Promise.reject(new Error("later"))
        : Promise.resolve();
    },
  });
  for (let passed = 0; passed < 1_000; passed += 10) {
    clock.advance(10);
    await settle();
  }
  expect(runs.slice(0, 5)).toEqual([10, 210, 610, 620, 630]);
  expect(reports).toEqual([
    ["a task", "Error: at once"],
    ["a task", "Error: later"],
  ]);
  repetition.runNow();
});

test("work in the background that fails is counted and logged", async () => {
  const lines: unknown[] = [];
  const events: string[] = [];
  const reports = {
    logger: {
      ...SILENT_LOGGER,
      error: (message: string, fields?: unknown) => {
        lines.push([message, fields]);
      },
    },
    metrics: { event: (name: string) => events.push(name) },
  };
  const failing = [
    () => Promise.reject(new Error("later")),
    () => {
      throw new RangeError("at once");
    },
  ];
  failing.forEach((run) => runInBackground("a move", reports, run));
  await settle();
  expect(events).toEqual(["work_failed", "work_failed"]);
  expect(JSON.stringify(lines)).toContain("at once");
  expect(JSON.stringify(lines).length).toBeLessThan(5_000);
});

test("a decoder that throws gives an error like any other", () => {
  const decoded = decodeSafely<number>(() => {
    throw new RangeError("stack exceeded");
  });
  expect(decoded).toEqual(
    Result.err("decoder failed: RangeError: stack exceeded"),
  );
});
