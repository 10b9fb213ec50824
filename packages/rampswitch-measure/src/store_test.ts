// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { afterEach, beforeEach, describe, expect, test } from "@jest/globals";
import { ObjectApi } from "rampswitch-standins";
import {
  CallAccounting,
  changeObject,
  HttpObjectStore,
  Watcher,
} from "rampswitch-store";
import {
  createMetrics,
  ManualClock,
  seededRandom,
  SYSTEM_CLOCK,
} from "rampswitch-utils";
import { until } from "./test_deployment.ts";

const KEY = "trial/object";
const OPTIONS = { clock: SYSTEM_CLOCK, random: seededRandom(1) };

let api: ObjectApi;
let store: HttpObjectStore;

beforeEach(async () => {
  api = await ObjectApi.start();
  store = new HttpObjectStore(api.address, { accounting: accounting(1_000) });
});

afterEach(async () => {
  await store[Symbol.asyncDispose]();
  await api[Symbol.asyncDispose]();
});

function accounting(callsPerSecond: number): CallAccounting {
  return new CallAccounting(SYSTEM_CLOCK, createMetrics("test", undefined), {
    callsPerSecond: () => callsPerSecond,
  });
}

/** Adds a mark to the object once; knows its own earlier write. */
function addMark(mark: string, attempts = 6) {
  return changeObject<"mine">(
    store,
    {
      key: KEY,
      attempts,
      decide: (current) => {
        const value = current?.value ?? "";
        return value.includes(mark)
          ? { kind: "keep", refusal: "mine" }
          : { kind: "write", value: value + mark };
      },
    },
    OPTIONS,
  );
}

describe("a change of an object", () => {
  test("whose answer is lost is settled by reading back, and made once", async () => {
    api.setFaults({ loseAnswers: 1 });
    const settled = addMark("a");
    await until(() => api.calls.lostAnswers > 0);
    api.setFaults({ loseAnswers: 0 });
    expect(await settled).toEqual({ kind: "kept", refusal: "mine" });
    const read = await store.get(KEY);
    expect(read.isOk && read.value?.value).toBe("a");
  });

  test("beside others loses none of them", async () => {
    const marks = ["a", "b", "c", "d", "e", "f"];
    await Promise.all(marks.map((mark) => addMark(mark, 20)));
    const read = await store.get(KEY);
    const value = read.isOk ? (read.value?.value ?? "") : "";
    expect([...value].toSorted().join("")).toBe("abcdef");
  });

  test("ends as unknown in an outage, without effect", async () => {
    api.setFaults({ outage: true });
    expect((await addMark("a", 2)).kind).toBe("unknown");
    api.setFaults({ outage: false });
    const read = await store.get(KEY);
    expect(read.isOk && read.value).toBeUndefined();
  });

  test("over a megabyte is not tried again", async () => {
    const settled = await changeObject(
      store,
      {
        key: KEY,
        decide: () => ({ kind: "write", value: "x".repeat(2 ** 20) }),
      },
      OPTIONS,
    );
    expect(settled).toMatchObject({
      kind: "unknown",
      error: { kind: "invalid" },
    });
  });
});

describe("a watch", () => {
  test("tells each object's changes in order, through an outage", async () => {
    const seen: number[] = [];
    const watcher = new Watcher(store, "trial/", {
      ...OPTIONS,
      reportFailure: (work) => expect(work).toBeUndefined(),
      listener: {
        changed: ({ version }) => seen.push(version),
        removed: () => undefined,
        confirmed: () => undefined,
        failed: () => undefined,
      },
    });
    await addMark("a");
    await until(() => seen.length === 1);
    api.setFaults({ outage: true });
    const change = addMark("b", 20);
    api.setFaults({ outage: false });
    await change;
    await addMark("c");
    await until(() => seen.length >= 2);
    await watcher[Symbol.asyncDispose]();
    expect(seen).toEqual(seen.toSorted((left, right) => left - right));
  });
});

describe("the call accounting", () => {
  test("holds a process to its ceiling and lets calls through again", () => {
    const clock = new ManualClock(1_000);
    const metrics = createMetrics("test", undefined);
    const strict = new CallAccounting(clock, metrics, {
      callsPerSecond: () => 2,
    });
    const first = [1, 2, 3].map(() => strict.admit("get"));
    clock.advance(500);
    expect([...first, strict.admit("get")]).toEqual([true, true, false, true]);
    expect(metrics.totals()).toEqual({
      "store.call.get": 3,
      "store.over_ceiling.get": 1,
    });
  });
});
