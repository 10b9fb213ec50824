// Copyright 2026 the rampswitch authors. Apache-2.0 license.

// Guards against overlapping answers of a watch and a confirmation that are relayed twice,
// and against a lost history that only the next answer of a long watch reveals.

import { afterEach, expect, test } from "@jest/globals";
import { Result } from "true-myth";
import { ManualClock, seededRandom } from "rampswitch-utils";
import {
  type ObjectStore,
  ONE_ERA,
  type StoredObject,
  type StoreError,
  type WatchBatch,
} from "./object_store.ts";
import { Watcher } from "./watcher.ts";

type WatchAnswer = Result<WatchBatch, StoreError>;

interface PendingCall {
  readonly seconds: number | undefined;
  answer(answer: WatchAnswer): void;
}

const A: StoredObject = { key: "servers/a", version: 5, value: "a5" };
const B: StoredObject = { key: "servers/b", version: 12, value: "b12" };
const B_REMOVED = { key: B.key, version: 13 };
const C: StoredObject = { key: "servers/c", version: 14, value: "c14" };

const clock = new ManualClock(1_000);
const watchers: Watcher[] = [];

afterEach(async () => {
  await Promise.all(
    watchers.splice(0).map((watcher) => watcher[Symbol.asyncDispose]()),
  );
});

async function settle(milliseconds = 0): Promise<void> {
  clock.advance(milliseconds);
  await new Promise((resolve) => setImmediate(resolve));
  clock.advance(0);
  await new Promise((resolve) => setImmediate(resolve));
}

async function watch() {
  const calls: PendingCall[] = [];
  const state = { lists: 0 };
  const reports: string[] = [];
  const unused = () => Promise.reject(new Error("unused"));
  const store: ObjectStore = {
    era: ONE_ERA.era,
    onEra: ONE_ERA.onEra,
    list: () => {
      state.lists += 1;
      return Promise.resolve(Result.ok({ version: 10, objects: [A] }));
    },
    watch: (_prefix, _after, { seconds, signal }) =>
      new Promise((resolve) => {
        calls.push({ seconds, answer: resolve });
        signal.addEventListener("abort", () =>
          resolve(Result.err({ kind: "unknown", detail: "aborted" })),
        );
      }),
    get: unused,
    put: unused,
    remove: unused,
  };
  const watcher = new Watcher(store, "servers/", {
    clock,
    random: seededRandom(1),
    reportFailure: () => undefined,
    listener: {
      changed: ({ key }) => reports.push(`+${key}`),
      removed: (key) => reports.push(`-${key}`),
      confirmed: () => undefined,
      failed: () => undefined,
    },
  });
  watchers.push(watcher);
  await settle();
  reports.splice(0);
  return { watcher, calls, state, reports };
}

test("a change that two calls returned is reported once, here and where it is relayed", async () => {
  const relay = await watch();
  const member = await watch();
  const confirmed = relay.watcher.confirm();
  const [pending, confirming] = relay.calls;
  confirming?.answer(Result.ok({ version: 13, events: [B, B_REMOVED] }));
  expect(await confirmed).toBe(true);
  pending?.answer(Result.ok({ version: 14, events: [B, B_REMOVED, C] }));
  await settle();
  const once = [`+${B.key}`, `-${B.key}`, `+${C.key}`];
  expect(relay.reports).toEqual(once);
  const batch = relay.watcher.recentChanges();
  if (batch === undefined) throw new Error("expected changes");
  member.watcher.applyRelayed(batch);
  expect(member.reports).toEqual(once);
});

test("a confirmation that finds the history lost lists anew at once", async () => {
  const { watcher, calls, state } = await watch();
  // The pending watch was sent before the history was lost.
  await settle(1);
  const confirmed = watcher.confirm();
  expect(calls.length).toBe(2);
  calls[1]?.answer(Result.err({ kind: "compacted" }));
  expect(await confirmed).toBe(false);
  await settle(1_000);
  // Either it lists itself, or it sends the pending watch again, which is told so.
  calls[2]?.answer(Result.err({ kind: "compacted" }));
  await settle();
  expect(state.lists).toBe(2);
});
