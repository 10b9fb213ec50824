// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import { Result } from "true-myth";
import type {
  EngineControl,
  KeptMemory,
  MemoryCopyError,
} from "../model/engine_control.ts";
import { dropMemory, moveMemory, stopLeftRun } from "./memory_move.ts";

// A move first copies memory while the run goes on, and then stops the run. A
// stop that failed left the first copy where it was, and memory whose source had
// ended was asked for at the source alone: in both cases it held room and a place
// at a server that goes on to serve, for nobody.

type Answer = Result<KeptMemory, MemoryCopyError>;

const MOVE = { from: "source:1", to: "target:1", attemptId: "r1" };
const COPIED: Answer = Result.ok({ handle: "h1", copied: true });

/** Answers calls in turn, and notes what was asked. */
function scripted(answers: readonly Answer[], reachable: readonly string[]) {
  const left = [...answers];
  const stops: boolean[] = [];
  const drops: string[] = [];
  const control: EngineControl = {
    copyMemory: ({ stopsRun }) => {
      stops.push(stopsRun);
      return Promise.resolve(left.shift() ?? Result.err("refused"));
    },
    dropCopy: (from, handle) => {
      drops.push(`${from}/${handle}`);
      return Promise.resolve(reachable.includes(from));
    },
    report: () => Promise.resolve(undefined),
  };
  return { control, stops, drops };
}

const PARTS = {
  stillRuns: () => true,
  targetLives: () => true,
  stops: () => undefined,
};

describe("a move of memory", () => {
  test.each(["no_run", "under_way", "refused", "no_answer"] as const)(
    "whose stop fails by %s leaves no copy behind",
    async (error) => {
      const { control } = scripted(
        [COPIED, Result.err(error), Result.err(error)],
        [],
      );
      const given: string[] = [];
      const outcome = await moveMemory(MOVE, {
        ...PARTS,
        control,
        unused: (handle) => given.push(handle),
      });
      expect(outcome).toEqual(Result.err(error));
      expect(given).toEqual(["h1"]);
    },
  );

  test("does not stop the run once its target has ended", async () => {
    const { control, stops } = scripted([COPIED, COPIED], []);
    const given: string[] = [];
    const outcome = await moveMemory(MOVE, {
      ...PARTS,
      targetLives: () => false,
      control,
      unused: (handle) => given.push(handle),
    });
    expect(outcome).toEqual(Result.err("target_ended"));
    expect(stops).toEqual([false]);
    expect(given).toEqual(["h1"]);
  });

  test("asks for the stop once more when no answer came", async () => {
    const { control, stops } = scripted(
      [COPIED, Result.err("no_answer"), COPIED],
      [],
    );
    const given: string[] = [];
    const unused = (handle: string) => given.push(handle);
    const outcome = await moveMemory(MOVE, { ...PARTS, control, unused });
    expect(outcome).toEqual(COPIED);
    expect(stops).toEqual([false, true, true]);
    expect(given).toEqual([]);
  });
});

describe("a run that goes on elsewhere without its memory", () => {
  test("is stopped at once, and its memory is given up", async () => {
    const { control, stops } = scripted([COPIED], [MOVE.from]);
    const given: string[] = [];
    const unused = (handle: string) => given.push(handle);
    expect(await stopLeftRun(MOVE, { control, unused })).toBe("stopped");
    expect(stops).toEqual([true]);
    expect(given).toEqual(["h1"]);
  });

  test("that its server has dropped leaves nothing to free", async () => {
    const { control } = scripted([Result.err("no_run")], [MOVE.from]);
    const given: string[] = [];
    const unused = (handle: string) => given.push(handle);
    expect(await stopLeftRun(MOVE, { control, unused })).toBe("no_run");
    expect(given).toEqual([]);
  });
});

describe("memory that nobody goes on from", () => {
  test("is freed at the source, which frees both ends", async () => {
    const { control, drops } = scripted([], [MOVE.from, MOVE.to]);
    const dropAt = (address: string) => control.dropCopy(address, "h1");
    expect(await dropMemory(MOVE, dropAt)).toBe(true);
    expect(drops).toEqual(["source:1/h1"]);
  });

  test("is freed at the target when the source has ended", async () => {
    const { control, drops } = scripted([], [MOVE.to]);
    const dropAt = (address: string) => control.dropCopy(address, "h1");
    expect(await dropMemory(MOVE, dropAt)).toBe(true);
    expect(drops).toEqual(["source:1/h1", "target:1/h1"]);
  });
});
