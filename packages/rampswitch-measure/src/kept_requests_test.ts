// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { afterEach, describe, expect, test } from "@jest/globals";
import { EntryProcess } from "rampswitch-entry";
import { mintRequestId } from "rampswitch-protocol";
import type { Resource } from "rampswitch-types";
import { SILENT_LOGGER, sleep, SYSTEM_CLOCK } from "rampswitch-utils";
import { v7 } from "uuid";
import { Caller, type CallResult, expectedText } from "./caller.ts";
import { entrySettings, SERVICES } from "./deployment_plan.ts";
import {
  TestDeployment,
  type TestDeploymentOptions,
  until,
} from "./test_deployment.ts";

const WORKSPACE = "landlords";
/** Slots of a test deployment. */
const TEST_SLOTS = 16;
const READS = 40;

/** Time for which keys are remembered where clocks jump. */
const KEY_RETENTION_MILLISECONDS = 60_000;

/** Time in which a host looks through its slots several times. */
const MAINTAINED_MILLISECONDS = 2_000;

const READ_PAUSE_MILLISECONDS = 100;

let deployment: TestDeployment | undefined;

afterEach(async () => {
  await deployment?.[Symbol.asyncDispose]();
  deployment = undefined;
});

async function start(options: TestDeploymentOptions): Promise<TestDeployment> {
  deployment = await TestDeployment.start(options);
  return deployment;
}

function check(caller: Caller, key: string, path = "/checks/operation-1") {
  return caller.plain(path, { method: "POST", workspace: WORKSPACE, key });
}

function runs(started: TestDeployment, operation: string): number {
  return started.platform.plainServices
    .flatMap(({ executions }) => executions)
    .filter((execution) => execution.operation === operation).length;
}

describe("at-most-once:", () => {
  test("retries at all hosts at once run a check once", async () => {
    const started = await start({ entries: 3 });
    const key = v7();
    const results = await Promise.all(
      [0, 1, 2, 0, 1, 2].map((host) => check(started.caller(host), key)),
    );
    expect(results.map(({ status }) => status)).toEqual(Array(6).fill(200));
    expect(runs(started, "/checks/operation-1")).toBe(1);
  });

  test("a check whose connection broke is in doubt and not sent again", async () => {
    const started = await start({ entries: 2 });
    started.platform.plainServices.forEach((service) =>
      service.setFaults({ dropping: true }),
    );
    const key = v7();
    const first = await check(started.caller(0), key);
    started.platform.plainServices.forEach((service) =>
      service.setFaults({ dropping: false }),
    );
    const second = await check(started.caller(1), key);
    expect(first).toMatchObject({ ran: "unknown", reason: "backend_lost" });
    expect(second).toMatchObject({ ran: "unknown", reason: "backend_lost" });
    expect(runs(started, "/checks/operation-1")).toBe(1);
  });

  test("a refused check may be sent again and then runs once", async () => {
    const started = await start({});
    const refusing = (on: boolean) =>
      started.platform.plainServices.forEach((service) =>
        service.setFaults({ refusing: on }),
      );
    const key = v7();
    refusing(true);
    const first = await check(started.caller(), key);
    refusing(false);
    const second = await check(started.caller(), key);
    expect(first).toMatchObject({ ran: "no", reason: "backend_refused" });
    expect(second.status).toBe(200);
    expect(runs(started, "/checks/operation-1")).toBe(1);
  });

  // A host forgot keys by its time of day. When that was ahead by more than the time
  // for which keys are remembered, and came back, the key counted as new, and the same
  // check ran a second time.
  test("a check runs once though the clock jumps ahead and back", async () => {
    const jump = { milliseconds: 0 };
    const clock = {
      ...SYSTEM_CLOCK,
      now: () => SYSTEM_CLOCK.now() + jump.milliseconds,
    };
    const started = await start({
      clock,
      limits: { keyRetentionMilliseconds: KEY_RETENTION_MILLISECONDS },
    });
    const key = v7();
    expect((await check(started.caller(), key)).status).toBe(200);
    jump.milliseconds = 3 * KEY_RETENTION_MILLISECONDS;
    await sleep(SYSTEM_CLOCK, MAINTAINED_MILLISECONDS);
    jump.milliseconds = 0;
    await sleep(SYSTEM_CLOCK, MAINTAINED_MILLISECONDS);
    await check(started.caller(), key);
    expect(runs(started, "/checks/operation-1")).toBe(1);
  });

  test("the host that ran a check is lost: its retry is in doubt", async () => {
    const started = await start({ entries: 3 });
    started.platform.plainServices.forEach((service) =>
      service.setFaults({ hanging: true }),
    );
    const keys = Array.from({ length: 6 }, () => v7());
    keys.forEach(
      (key, index) =>
        void check(started.caller(0), key, `/checks/operation-${index}`),
    );
    await until(() =>
      keys.every((_, index) => runs(started, `/checks/operation-${index}`) > 0),
    );
    await started.entries[1]![Symbol.asyncDispose]();
    started.platform.plainServices.forEach((service) =>
      service.setFaults({ hanging: false }),
    );
    await Promise.all(
      keys.map(async (key, index) => {
        const path = `/checks/operation-${index}`;
        await Promise.race([
          check(started.caller(2), key, path),
          new Promise((resolve) => setTimeout(resolve, 6_000)),
        ]);
        expect(runs(started, path)).toBe(1);
      }),
    );
  });
});

/** The example resources with a model whose requests must run once. */
function modelOnceOnly(resources: readonly Resource[]): readonly Resource[] {
  return resources.map((resource) =>
    resource.kind === "Service" && resource.name === SERVICES.model
      ? { ...resource, calls: [{ repeatable: false }] }
      : resource,
  );
}

/** Whether a result says how a request ended. */
function isFinal({ ran, reason }: CallResult): boolean {
  return ran !== undefined && reason !== "slot_unavailable";
}

/** Reads an answer again until its end was told twice: at it and after it. */
async function untilTold(
  caller: Caller,
  part: CallResult,
): Promise<readonly CallResult[]> {
  const told = [part];
  for (let round = 0; round < READS; round += 1) {
    const rest = await caller.again(part.requestId ?? "", {
      workspace: WORKSPACE,
      lastEvent: Math.max(...told.map(({ lastEvent }) => lastEvent)),
    });
    told.push(rest);
    if (told.filter(isFinal).length > 1) return told;
    await sleep(SYSTEM_CLOCK, READ_PAUSE_MILLISECONDS);
  }
  return told;
}

/** Whether a host told others of more than three parts of an answer. */
function tellsProgress({ metrics }: EntryProcess): boolean {
  return (metrics.totals()["replica_entry.progress"] ?? 0) > 3;
}

// A stream without a key has no record in its slot: only keys are claimed there.
// When the host that runs it is lost, the slot's next primary finds no record,
// and must not take that for work of which nothing ran: the engine runs it, and
// the caller may have a part of it. Told "not run", the caller asks anew, and
// what must run once runs twice. The same holds for an id that a host does not
// find, or can't look up because the slot's primary is gone, and for a key or id
// that comes to a host which has only started and knows no caller yet.
describe("refusal-is-true:", () => {
  test("the host of a once-only stream is lost: never told as not run", async () => {
    const started = await start({ entries: 3, resources: modelOnceOnly });
    const answer = started.caller(0).chat({
      prompt: "operation-u a b",
      tokens: 400,
      streamed: true,
      workspace: WORKSPACE,
    });
    // A host that is primary of no slot yet passes its requests on, so the host
    // that runs this one need not be the host that was asked.
    await until(() => started.entries.some(tellsProgress));
    const runner = started.entries.findIndex(tellsProgress);
    await started.entries[runner]![Symbol.asyncDispose]();
    const other = started.caller((runner + 1) % 3);
    const told = await untilTold(other, await answer);
    expect(told.map(({ ran }) => ran)).not.toContain("no");
    expect(told.at(-1)).toMatchObject({ ran: "unknown", reason: "taken_over" });
    expect(
      started.platform.engines.flatMap(({ executions }) => executions),
    ).toHaveLength(1);
  });

  test("an id that is not found, or not looked up, is not told as not run", async () => {
    const started = await start({ entries: 2 });
    // Right after a start one host is primary of all slots, and hands some over.
    await until(() =>
      started.entries.every(
        ({ metrics }) => (metrics.totals()["slots_primary"] ?? 0) > 0,
      ),
    );
    started.platform.objects.setFaults({ outage: true });
    await started.entries[0]?.[Symbol.asyncDispose]();
    const told = await Promise.all(
      Array.from({ length: TEST_SLOTS }, (_, slot) =>
        started.caller(1).again(mintRequestId(slot, Date.now()), {
          workspace: WORKSPACE,
        }),
      ),
    );
    const reasons = new Set(told.map(({ reason }) => reason));
    expect(reasons).toEqual(new Set(["unknown_request", "slot_unavailable"]));
    expect(told.map(({ ran }) => ran)).toEqual(
      Array(TEST_SLOTS).fill("unknown"),
    );
  });
});

describe("a host that only starts", () => {
  test("tells nothing of keys and ids that it can't judge", async () => {
    const { platform } = await start({});
    platform.objects.setFaults({ outage: true });
    const { addresses } = platform;
    const entry = await EntryProcess.start(
      entrySettings("entry-2", "hall-b", {
        platform: addresses,
        slots: TEST_SLOTS,
      }),
      { clock: SYSTEM_CLOCK, logger: SILENT_LOGGER },
    );
    const caller = new Caller(entry.addresses.callers);
    const told = [
      await check(caller, v7()),
      await caller.again(mintRequestId(0, Date.now()), {
        workspace: WORKSPACE,
      }),
      await caller.plain("/checks/operation-1", {
        method: "POST",
        workspace: WORKSPACE,
      }),
    ];
    platform.objects.setFaults({ outage: false });
    await entry.untilReady();
    await caller[Symbol.asyncDispose]();
    await entry[Symbol.asyncDispose]();
    expect(told.map(({ reason }) => reason)).toEqual(
      Array(3).fill("not_ready"),
    );
    expect(told.map(({ ran }) => ran)).toEqual(["unknown", "unknown", "no"]);
  });
});

describe("own-whole-answer:", () => {
  test("a stream goes on at another host exactly from the next event", async () => {
    const started = await start({ entries: 2 });
    const call = { prompt: "operation-x one two", tokens: 60 };
    const whole = await started.caller(0).chat({
      ...call,
      streamed: true,
      workspace: WORKSPACE,
    });
    const rest = await started.caller(1).again(whole.requestId ?? "", {
      workspace: WORKSPACE,
      lastEvent: 40,
    });
    const expected = expectedText(call);
    expect(whole.text).toBe(expected);
    expect(rest.whole).toBe(true);
    expect(expected.endsWith(rest.text)).toBe(true);
    expect(rest.text.trim().split(" ")).toHaveLength(19);
  });

  test("another workspace does not see the answer", async () => {
    const started = await start({});
    const answer = await started.caller().chat({
      prompt: "x",
      tokens: 2,
      streamed: true,
      workspace: WORKSPACE,
    });
    const other = await started.caller().again(answer.requestId ?? "", {
      workspace: "cooperative",
    });
    expect(other).toMatchObject({ status: 404, reason: "unknown_request" });
  });

  test("an answer past its time is refused as expired", async () => {
    const started = await start({
      limits: { answerRetentionMilliseconds: 100 },
    });
    const answer = await started.caller().chat({
      prompt: "x",
      tokens: 2,
      streamed: true,
      workspace: WORKSPACE,
    });
    const { metrics } = started.entries[0]!;
    await until(
      () => (metrics.totals()["answer_forgotten.answer_expired"] ?? 0) > 0,
    );
    const late = await started.caller().again(answer.requestId ?? "", {
      workspace: WORKSPACE,
    });
    expect(late).toMatchObject({ status: 410, reason: "answer_expired" });
  });

  test("a key with another request is refused", async () => {
    const started = await start({});
    const key = v7();
    await check(started.caller(), key);
    const other = await check(started.caller(), key, "/checks/operation-2");
    expect(other).toMatchObject({ status: 422, reason: "key_reused" });
    expect(runs(started, "/checks/operation-2")).toBe(0);
  });
});

describe("survives-reclaim:", () => {
  test("an engine that is lost is followed by another, token by token", async () => {
    const started = await start({ platform: { engines: 2 } });
    const call = { prompt: "operation-y a b", tokens: 80 };
    const answer = started.caller().chat({
      ...call,
      streamed: true,
      workspace: WORKSPACE,
    });
    const busy = () =>
      started.platform.engines.find(({ executions }) => executions.length > 0);
    await until(() => busy() !== undefined);
    busy()?.setFaults({ dead: true });
    expect((await answer).text).toBe(expectedText(call));
  });

  test("a reclaimed engine's stream moves with its cache", async () => {
    const started = await start({ platform: { engines: 2 } });
    const call = { prompt: "operation-z a b", tokens: 2_000 };
    const answer = started.caller().chat({
      ...call,
      streamed: true,
      workspace: WORKSPACE,
    });
    const { engines, cloud } = started.platform;
    await until(() => engines.some((engine) => engine.executions.length > 0));
    const busy = engines.findIndex((engine) => engine.executions.length > 0);
    cloud.reclaim({
      host: `host-engine-${busy + 1}`,
      deadline: Date.now() + 4_000,
    });
    const { metrics } = started.entries[0]!;
    await until(() => (metrics.totals()["cache_move.done"] ?? 0) > 0);
    engines[busy]?.setFaults({ dead: true });
    expect((await answer).text).toBe(expectedText(call));
    expect(metrics.totals()["retry.backend_reclaimed"]).toBe(1);
  });

  test("the entry host of a stream is lost: the rest comes from another", async () => {
    const started = await start({ entries: 3 });
    const call = { prompt: "operation-q a b", tokens: 400 };
    const answer = started.caller(0).chat({
      ...call,
      streamed: true,
      workspace: WORKSPACE,
    });
    await until(() => started.entries.some(tellsProgress));
    const runner = started.entries.findIndex(tellsProgress);
    await started.entries[runner]![Symbol.asyncDispose]();
    const other = started.caller((runner + 1) % 3);
    const part = await answer;
    let text = part.text;
    let last = part.lastEvent;
    let done = false;
    for (let attempt = 0; attempt < 40 && !done; attempt += 1) {
      const rest = await other.again(part.requestId ?? "", {
        workspace: WORKSPACE,
        lastEvent: last,
      });
      if (rest.status === 200) {
        text += rest.text;
        last = Math.max(last, rest.lastEvent);
        done = rest.whole;
      } else await new Promise((resolve) => setTimeout(resolve, 100));
    }
    expect(text).toBe(expectedText(call));
  });
});

describe("planned-stop-cuts-nothing:", () => {
  test("a host that stops ends its streams and hands over its slots", async () => {
    const started = await start({ entries: 2 });
    const call = { prompt: "operation-s a b", tokens: 100 };
    const answer = started.caller(0).chat({
      ...call,
      streamed: true,
      workspace: WORKSPACE,
    });
    await until(() =>
      started.platform.engines.some(({ executions }) => executions.length > 0),
    );
    const stopped = started.entries[0]!.stop();
    await until(() => !started.entries[0]!.ready);
    expect((await answer).text).toBe(expectedText(call));
    await stopped;
    const key = v7();
    expect((await check(started.caller(1), key)).status).toBe(200);
  });

  // A second order to stop ended at once, since the host was stopping already, and
  // the program took that for the end of the stop and exited.
  test("a second order to stop ends with the first", async () => {
    const started = await start({ entries: 2 });
    const stopped: string[] = [];
    const first = started.entries[0]!.stop().then(() => stopped.push("first"));
    const second = started.entries[0]!.stop().then(() =>
      stopped.push("second"),
    );
    await second;
    expect(stopped).toContain("first");
    await first;
  });

  test("a stop while the store is down cuts nothing", async () => {
    const started = await start({ entries: 2 });
    started.platform.objects.setFaults({ outage: true });
    const call = { prompt: "operation-t a b", tokens: 100 };
    const answer = started.caller(0).chat({
      ...call,
      streamed: true,
      workspace: WORKSPACE,
    });
    await until(() =>
      started.platform.engines.some(({ executions }) => executions.length > 0),
    );
    const stopped = started.entries[0]!.stop();
    expect((await answer).text).toBe(expectedText(call));
    await stopped;
  });
});

describe("leaving-gets-nothing:", () => {
  test("a drained server gets no new work once the change is in force", async () => {
    const started = await start({ entries: 2 });
    const [first] = started.platform.plainServices;
    started.platform.cloud.reclaim({
      host: "host-report-1",
      deadline: Date.now() + 60_000,
    });
    const marked = () =>
      started.entries.every(
        ({ metrics }) => (metrics.totals()["leaving_mark"] ?? 0) > 0,
      );
    await until(marked);
    const before = first!.executions.length;
    await Promise.all(
      Array.from({ length: 20 }, (_, index) =>
        check(started.caller(index % 2), v7(), `/checks/operation-${index}`),
      ),
    );
    expect(first!.executions.length).toBe(before);
  });
});
