// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import { Result } from "true-myth";
import type {
  EngineControl,
  RetainedMemory,
  MemoryCopyError,
} from "../model/engine_control.ts";
import { dropMemory, migrateMemory } from "./memory_migration.ts";

// A migration first copies memory while the run continues, and then stops the run.
// These tests guard against a leak of memory and a slot at a server that continues
// to serve: by a failed stop that leaves the first copy at the target, or by a call
// that frees memory only at its source although the source has ended.

type Answer = Result<RetainedMemory, MemoryCopyError>;

const MIGRATION = { from: "source:1", to: "target:1", attemptId: "r1" };
const COPIED: Answer = Result.ok({ handle: "h1", copied: true });

/** An engine control that returns the given answers in order and records the calls. */
function scripted(answers: readonly Answer[], reachable: readonly string[]) {
  const remaining = [...answers];
  const stops: boolean[] = [];
  const drops: string[] = [];
  const control: EngineControl = {
    copyMemory: ({ stopsRun }) => {
      stops.push(stopsRun);
      return Promise.resolve(remaining.shift() ?? Result.err("refused"));
    },
    dropCopy: (from, handle) => {
      drops.push(`${from}/${handle}`);
      return Promise.resolve(reachable.includes(from));
    },
    report: () => Promise.resolve(undefined),
  };
  return { control, stops, drops };
}

/** Calls that stop a run in these tests. */
const MAXIMUM_STOPS = 2;

function partsOf(control: EngineControl) {
  return {
    control,
    callStop: () => control.copyMemory({ ...MIGRATION, stopsRun: true }),
    waitForNextStop: (calls: number) => Promise.resolve(calls < MAXIMUM_STOPS),
    stillRuns: () => true,
    targetStillRuns: () => true,
    onStopChange: () => undefined,
  };
}

describe("a migration of memory", () => {
  test.each(["no_run", "under_way", "refused", "no_answer"] as const)(
    "whose stop fails with %s leaves no copy behind",
    async (error) => {
      const { control } = scripted(
        [COPIED, Result.err(error), Result.err(error)],
        [],
      );
      const given: string[] = [];
      const outcome = await migrateMemory(MIGRATION, {
        ...partsOf(control),
        onUnused: (handle) => given.push(handle),
      });
      expect(outcome).toEqual(Result.err(error));
      expect(given).toEqual(["h1"]);
    },
  );

  test("does not stop the run once its target has ended", async () => {
    const { control, stops } = scripted([COPIED, COPIED], []);
    const given: string[] = [];
    const outcome = await migrateMemory(MIGRATION, {
      ...partsOf(control),
      targetStillRuns: () => false,
      onUnused: (handle) => given.push(handle),
    });
    expect(outcome).toEqual(Result.err("target_ended"));
    expect(stops).toEqual([false]);
    expect(given).toEqual(["h1"]);
  });

  test("requests the stop once more if no answer came", async () => {
    const { control, stops } = scripted(
      [COPIED, Result.err("no_answer"), COPIED],
      [],
    );
    const given: string[] = [];
    const unused = (handle: string) => given.push(handle);
    const outcome = await migrateMemory(MIGRATION, {
      ...partsOf(control),
      onUnused: unused,
    });
    expect(outcome).toEqual(COPIED);
    expect(stops).toEqual([false, true, true]);
    expect(given).toEqual([]);
  });
});

describe("a stop whose answer is lost", () => {
  test("stays unclear if the server then knows no run", async () => {
    const { control } = scripted(
      [COPIED, Result.err("no_answer"), Result.err("no_run")],
      [],
    );
    const outcome = await migrateMemory(MIGRATION, {
      ...partsOf(control),
      onUnused: () => undefined,
    });
    expect(outcome).toEqual(Result.err("no_answer"));
  });
});

describe("memory from which no run resumes", () => {
  test("is freed at the source, which frees both copies", async () => {
    const { control, drops } = scripted([], [MIGRATION.from, MIGRATION.to]);
    const dropAt = (address: string) => control.dropCopy(address, "h1");
    expect(await dropMemory(MIGRATION, dropAt)).toBe(true);
    expect(drops).toEqual(["source:1/h1"]);
  });

  test("is freed at the target if the source has ended", async () => {
    const { control, drops } = scripted([], [MIGRATION.to]);
    const dropAt = (address: string) => control.dropCopy(address, "h1");
    expect(await dropMemory(MIGRATION, dropAt)).toBe(true);
    expect(drops).toEqual(["source:1/h1", "target:1/h1"]);
  });
});
