// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import { Result } from "true-myth";
import { ManualClock, SILENT_LOGGER } from "rampswitch-utils";
import {
  type Choice,
  ServerDirectory,
  type ServerRecord,
} from "../choice/mod.ts";
import type {
  MemoryCopy,
  MemoryCopyError,
  RetainedMemory,
} from "../model/engine_control.ts";
import { ServingMetrics } from "../observation/mod.ts";
import type { AdmittedRequest } from "./admitted_request.ts";
import type { RequestContext } from "./request_context.ts";
import { type MigratableRun, RunMigration } from "./run_migration.ts";
import { RunRecord } from "./run_record.ts";
import { RunStops } from "./run_stops.ts";

const ATTEMPT = "r1";

const DRAIN_MILLISECONDS = 2_000;

/** Time in which all calls of one move are made, in milliseconds. */
const ALL_CALLS_MILLISECONDS = 8_000;

const STEP_MILLISECONDS = 10;

type Answer = Result<RetainedMemory, MemoryCopyError>;

const COPIED: Answer = Result.ok({ handle: "h1", copied: true });

function failed(error: MemoryCopyError): Answer {
  return Result.err(error);
}

function recordOf(name: string, directory = new ServerDirectory()) {
  directory.put(
    {
      id: name,
      born: 1,
      service: "models",
      address: `${name}:1`,
      dataHall: "a",
      slots: 8,
      state: "ready",
      version: "v1",
      reclaimable: true,
    },
    0,
  );
  return directory.get(name) as ServerRecord;
}

describe("the calls that stop runs of a request", () => {
  /** What is known after calls that are answered in turn. */
  async function knownAfter(...answers: readonly Answer[]) {
    const left = [...answers];
    const stops = new RunStops({
      engineControl: {
        copyMemory: () =>
          Promise.resolve(left.shift() ?? failed("not_connected")),
      },
    });
    const from = recordOf("source");
    const call = { attemptId: ATTEMPT, from, to: "target:1" };
    await Promise.all(answers.map(() => stops.call(call)));
    return stops.mayHaveStopped(from);
  }

  test.each<readonly [boolean, string, readonly Answer[]]>([
    [false, "no call", []],
    [false, "a handle", [COPIED]],
    [true, "one answer that knows no run", [failed("no_run")]],
    [
      true,
      "one answer that knows no run, then calls that were not sent",
      [failed("no_run"), failed("not_connected"), failed("not_connected")],
    ],
    [
      false,
      "two answers that know no run",
      [failed("no_run"), failed("no_run")],
    ],
    [false, "a call that was not sent", [failed("not_connected")]],
    [true, "a lost answer", [failed("no_answer")]],
    [true, "another call under way", [failed("under_way")]],
    [true, "no room and no handle", [failed("no_room")]],
    [true, "a failure", [failed("refused")]],
    [
      true,
      "a lost answer, then an unknown run",
      [failed("no_answer"), failed("no_run")],
    ],
    [
      true,
      "a lost answer, then another call under way",
      [failed("no_answer"), failed("under_way")],
    ],
    [true, "a lost answer, then a handle", [failed("no_answer"), COPIED]],
    [
      false,
      "another call under way, then a handle",
      [failed("under_way"), COPIED],
    ],
  ])("may have stopped one (%s) after %s", async (expected, _name, answers) => {
    expect(await knownAfter(...answers)).toBe(expected);
  });

  test("may have stopped one while an answer is awaited, at that incarnation", () => {
    const stops = new RunStops({
      engineControl: { copyMemory: () => new Promise(() => undefined) },
    });
    const from = recordOf("source");
    void stops.call({ attemptId: ATTEMPT, from, to: "target:1" });
    const known = [from, recordOf("other")].map((record) =>
      stops.mayHaveStopped(record),
    );
    expect(known).toEqual([true, false]);
  });
});

// Guards against a stream that ends early as complete: what is known of its stop was taken
// back by something that says nothing of it.
describe("a stop in doubt", () => {
  interface Play {
    readonly migration: RunMigration;
    /** Calls to copy memory meet these in turn; the last one stays. */
    readonly answers: Answer[];
    readonly target: ServerRecord;
    isReplaced: boolean;
    losses: number;
  }

  /** A run whose first move left the outcome of its stop in doubt. */
  async function play(): Promise<{
    readonly state: Play;
    readonly move: (onCopy?: () => void) => Promise<void>;
  }> {
    const clock = new ManualClock();
    const directory = new ServerDirectory();
    const [source, target] = ["source", "target"].map((name) => ({
      record: recordOf(name, directory),
    })) as unknown as readonly [Choice, Choice];
    let onCopied: () => void = () => undefined;
    const context = {
      clock,
      logger: SILENT_LOGGER,
      metrics: new ServingMetrics(),
      incarnations: { statusOf: () => Promise.resolve("same") },
      engineControl: {
        report: () => Promise.resolve(undefined),
        copyMemory: ({ stopsRun }: MemoryCopy) => {
          const { answers } = state;
          const next = answers.length > 1 ? answers.shift() : answers[0];
          if (!stopsRun) onCopied();
          return Promise.resolve(next ?? failed("refused"));
        },
        dropCopy: () => Promise.resolve(true),
      },
      drainMilliseconds: () => DRAIN_MILLISECONDS,
    } as unknown as RequestContext;
    const request = { head: { attemptId: ATTEMPT }, service: { name: "m" } };
    const run = {
      attemptId: ATTEMPT,
      record: new RunRecord(request as AdmittedRequest, context),
      stops: new RunStops(context),
      sentTo: () => (state.isReplaced ? undefined : source),
      finished: () => false,
      lastEventId: () => "1",
      remaining: () => Infinity,
      canRunAgain: () => false,
      choose: () => target,
      notRepeated: () => undefined,
      lost: () => {
        state.losses += 1;
      },
      ended: () => undefined,
    } as unknown as MigratableRun;
    const state: Play = {
      migration: new RunMigration(run, context),
      answers: [COPIED, failed("no_answer")],
      target: target.record,
      isReplaced: false,
      losses: 0,
    };
    const move = async (onCopy: () => void = () => undefined) => {
      onCopied = onCopy;
      const moving = state.migration.migrate();
      const steps = ALL_CALLS_MILLISECONDS / STEP_MILLISECONDS;
      for (let step = 0; step < steps; step += 1) {
        await new Promise((resolve) => setImmediate(resolve));
        clock.advance(STEP_MILLISECONDS);
      }
      await moving;
    };
    await move();
    return { state, move };
  }

  /** Whether the end of an answer without a length is taken for a loss. */
  function losesEnd(state: Play): boolean {
    const { losses } = state;
    return state.migration.takesEnd("unframed") && state.losses === losses + 1;
  }

  test("makes the end of the answer a loss", async () => {
    const { state } = await play();
    expect(losesEnd(state)).toBe(true);
  });

  test.each(["no_run", "under_way"] as const)(
    "stays in doubt where the first copy of a later move meets %s",
    async (error) => {
      const { state, move } = await play();
      state.answers.splice(0, Infinity, failed(error));
      await move();
      expect(losesEnd(state)).toBe(true);
    },
  );

  test("stays in doubt where a later move is not needed after its first copy", async () => {
    const { state, move } = await play();
    state.answers.splice(0, Infinity, COPIED);
    await move(() => {
      state.isReplaced = true;
    });
    state.isReplaced = false;
    expect(losesEnd(state)).toBe(true);
  });

  test("stays in doubt where the target of a later move ends", async () => {
    const { state, move } = await play();
    state.answers.splice(0, Infinity, COPIED, failed("no_run"));
    await move(() => state.target.end());
    expect(losesEnd(state)).toBe(true);
  });

  test("stays in doubt where kept memory is dropped", async () => {
    const { state } = await play();
    state.migration.resumption.drop();
    expect(losesEnd(state)).toBe(true);
  });
});
