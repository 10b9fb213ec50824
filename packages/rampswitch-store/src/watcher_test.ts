// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { afterEach, describe, expect, test } from "@jest/globals";
import { Result } from "true-myth";
import { ManualClock, seededRandom } from "rampswitch-utils";
import {
  type ObjectStore,
  ONE_ERA,
  type StoredObject,
  type StoreError,
  type WatchBatch,
} from "./object_store.ts";
import { positionOf } from "./store_position.ts";
import { type ChangeBatch, Watcher } from "./watcher.ts";

/** A store whose watch calls are answered by the test. */
class ManualStore implements ObjectStore {
  readonly era = ONE_ERA.era;
  readonly onEra = ONE_ERA.onEra;
  objects: readonly StoredObject[] = [];
  version = 10;
  calls = 0;
  #answer: ((batch: Result<WatchBatch, StoreError>) => void) | undefined;

  list(): ReturnType<ObjectStore["list"]> {
    this.calls += 1;
    const { version, objects } = this;
    return Promise.resolve(Result.ok({ version, objects }));
  }

  watch(
    _prefix: string,
    _after: number,
    options: { readonly signal: AbortSignal },
  ): ReturnType<ObjectStore["watch"]> {
    this.calls += 1;
    return new Promise((resolve) => {
      this.#answer = resolve;
      options.signal.addEventListener("abort", () =>
        resolve(Result.err({ kind: "unknown", detail: "aborted" })),
      );
    });
  }

  answer(batch: WatchBatch): void {
    this.#answer?.(Result.ok(batch));
  }

  /** Answers the pending watch call that its history is lost. */
  loseHistory(): void {
    this.#answer?.(Result.err({ kind: "compacted" }));
  }

  get = unused;
  put = unused;
  remove = unused;
}

function unused(): Promise<never> {
  return Promise.reject(new Error("a watch only lists and watches"));
}

/** A watcher, its store and the objects that it reported. */
interface Watched {
  readonly store: ManualStore;
  readonly watcher: Watcher;
  readonly objects: Map<string, string>;
  /** Versions of the lists that replaced a lost history. */
  readonly listedAnew: readonly number[];
  /** Whether objects may have come and gone unseen before each of them. */
  readonly missed: readonly boolean[];
}

const clock = new ManualClock(1_000);
const watchers: Watcher[] = [];

afterEach(async () => {
  await Promise.all(
    watchers.splice(0).map((watcher) => watcher[Symbol.asyncDispose]()),
  );
});

async function watch(objects: readonly StoredObject[]): Promise<Watched> {
  const store = new ManualStore();
  store.objects = objects;
  const seen = new Map<string, string>();
  const listedAnew: number[] = [];
  const missed: boolean[] = [];
  const watcher = new Watcher(store, "servers/", {
    clock,
    random: seededRandom(1),
    reportFailure: (work) => failures.push(work),
    listener: {
      changed: ({ key, value }) => {
        if (value === UNUSABLE) throw new RangeError("stack exceeded");
        seen.set(key, value);
      },
      removed: (key) => seen.delete(key),
      confirmed: () => undefined,
      failed: () => undefined,
      listedAnew: ({ version, mayHaveMissed }) => {
        listedAnew.push(version);
        missed.push(mayHaveMissed);
      },
    },
  });
  watchers.push(watcher);
  await settle();
  return { store, watcher, objects: seen, listedAnew, missed };
}

async function settle(milliseconds = 0): Promise<void> {
  clock.advance(milliseconds);
  await new Promise((resolve) => setImmediate(resolve));
  clock.advance(0);
  await new Promise((resolve) => setImmediate(resolve));
}

const A: StoredObject = { key: "servers/a", version: 5, value: "a5" };
const B: StoredObject = { key: "servers/b", version: 12, value: "b12" };

/** Value on which the listener fails. */
const UNUSABLE = "unusable";

const failures: string[] = [];

// Guards against one object ending the process of each host that reads it: the error
// of a listener rejected a promise that nobody awaits.
test("a listener that fails with an object receives the others, and later ones", async () => {
  const bad = { key: "servers/bad", version: 6, value: UNUSABLE };
  const { store, objects } = await watch([bad, A]);
  expect([...objects.keys()]).toEqual([A.key]);
  store.answer({ version: 13, events: [{ ...bad, version: 12 }, B] });
  await settle();
  expect([...objects.keys()]).toEqual([A.key, B.key]);
  expect(failures).toEqual(["change of servers/bad", "change of servers/bad"]);
});

describe("changes that a host relays", () => {
  test("give another host the same objects without a call to the store", async () => {
    const relay = await watch([A]);
    const member = await watch([A]);
    member.watcher.suspend();
    await settle();
    relay.store.answer({ version: 13, events: [B] });
    await settle();
    relay.store.answer({
      version: 15,
      events: [{ key: A.key, version: A.version }],
    });
    await settle();
    const before = member.store.calls;
    expect(member.watcher.applyRelayed(relay.watcher.recentChanges()!)).toBe(
      true,
    );
    expect(member.objects).toEqual(relay.objects);
    expect([...member.objects]).toEqual([[B.key, B.value]]);
    await settle(1_000);
    expect(member.store.calls).toBe(before);
    expect(member.watcher.version).toBe(15);
  });

  // Guards against a member that counts a past as known whose history its relay lost.
  test("tell of a lost history to hosts that had not reached the list", async () => {
    const relay = await watch([A]);
    const behind = await watch([A]);
    const level = await watch([A]);
    relay.watcher.interrupt();
    await settle(1_000);
    relay.store.version = 20;
    relay.store.loseHistory();
    await settle();
    const batch = relay.watcher.recentChanges()!;
    level.store.answer({ version: 20, events: [] });
    await settle();
    [behind, level].forEach(({ watcher }) => watcher.applyRelayed(batch));
    expect([relay, behind, level].map((host) => host.listedAnew)).toEqual([
      [20],
      [20],
      [],
    ]);
  });

  // Guards against hosts that vouch for nothing each time that a store forgets.
  test("lack nothing where the call that waited is told of the loss", async () => {
    const { store, watcher, missed } = await watch([A]);
    store.loseHistory();
    await settle();
    expect(missed).toEqual([false]);
    watcher.interrupt();
    await settle(1_000);
    store.loseHistory();
    await settle();
    expect(missed).toEqual([false, true]);
  });

  test("are refused if earlier ones are missing", async () => {
    const member = await watch([A]);
    const batch: ChangeBatch = { after: 11, version: 12, events: [B] };
    expect(member.watcher.applyRelayed(batch)).toBe(false);
    expect([...member.objects.keys()]).toEqual([A.key]);
  });

  test("do not restore an object that was removed since", async () => {
    const member = await watch([A]);
    const removed = { key: B.key, version: B.version };
    member.watcher.applyRelayed({ after: 10, version: 12, events: [B] });
    member.watcher.applyRelayed({
      after: 10,
      version: 14,
      events: [B, removed],
    });
    member.watcher.applyRelayed({ after: 10, version: 16, events: [B] });
    expect([...member.objects.keys()]).toEqual([A.key]);
  });

  test("are replaced by calls to the store after the watch is resumed", async () => {
    const member = await watch([A]);
    member.watcher.suspend();
    await settle(500);
    const before = member.store.calls;
    member.watcher.resume();
    await settle(500);
    expect(member.store.calls).toBeGreaterThan(before);
  });
});

/** Returns the position of a revision in the second era of a store. */
function secondEra(revision: number): number {
  return positionOf(2, revision);
}

describe("a store that was restored from a copy", () => {
  const OLD_A = { ...A, version: positionOf(1, 9), value: "a9" };
  const OLD_B = { ...B, version: positionOf(1, 12) };

  async function watched(): Promise<Watched> {
    const world = await watch([OLD_A, OLD_B]);
    return world;
  }

  /** Makes the watcher list again, as after the history of its watch is lost. */
  async function relist(
    { store }: Watched,
    objects: readonly StoredObject[],
  ): Promise<void> {
    store.version = secondEra(6);
    store.objects = objects;
    store.loseHistory();
    await settle();
  }

  test("has objects reported whose value changed, whatever their revision", async () => {
    const world = await watched();
    await relist(world, [
      { ...A, version: secondEra(5) },
      { ...OLD_B, version: secondEra(4) },
    ]);
    expect([...world.objects]).toEqual([
      ["servers/a", "a5"],
      ["servers/b", "b12"],
    ]);
    world.store.answer({
      version: secondEra(7),
      events: [{ ...OLD_A, version: secondEra(7) }],
    });
    await settle();
    expect(world.objects.get("servers/a")).toBe("a9");
  });

  test("has changes relayed to hosts that had the same version before", async () => {
    const relay = await watched();
    const member = await watched();
    member.watcher.suspend();
    await relist(relay, [{ ...A, version: secondEra(5) }]);
    const batch = relay.watcher.recentChanges();
    expect(batch !== undefined && member.watcher.applyRelayed(batch)).toBe(
      true,
    );
    expect([...member.objects]).toEqual([["servers/a", "a5"]]);
  });

  test("accepts no changes relayed by hosts in its former era", async () => {
    const relay = await watched();
    const member = await watched();
    await relist(member, [{ ...A, version: secondEra(5) }]);
    const batch = relay.watcher.recentChanges();
    expect(batch !== undefined && member.watcher.applyRelayed(batch)).toBe(
      false,
    );
  });
});

describe("a list that is confirmed", () => {
  test("has the changes that a pending call has not returned", async () => {
    const { store, watcher, objects } = await watch([A]);
    const confirmed = watcher.confirm();
    store.answer({ version: 13, events: [B] });
    expect(await confirmed).toBe(true);
    expect([...objects.keys()]).toEqual([A.key, B.key]);
    expect(watcher.version).toBe(13);
  });

  test("has all changes up to the begin of the call, however late its answer is", async () => {
    const { store, watcher } = await watch([A]);
    const listedAt = clock.now();
    expect(watcher.confirmedAt).toBe(listedAt);
    await settle(200);
    const confirmed = watcher.confirm();
    await settle(300);
    expect(watcher.confirmedAt).toBe(listedAt);
    store.answer({ version: 13, events: [] });
    await confirmed;
    expect(watcher.confirmedAt).toBe(listedAt + 200);
  });

  test("is not confirmed by a store that lost its history", async () => {
    const { store, watcher } = await watch([A]);
    const confirmed = watcher.confirm();
    store.loseHistory();
    expect(await confirmed).toBe(false);
  });
});
