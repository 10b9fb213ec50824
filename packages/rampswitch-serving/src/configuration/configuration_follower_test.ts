// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { afterEach, describe, expect, test } from "@jest/globals";
import { Result } from "true-myth";
import {
  type ObjectStore,
  type StoreError,
  type WatchBatch,
  type WatchOptions,
  ONE_ERA,
} from "rampswitch-store";
import { ManualClock, seededRandom, SILENT_LOGGER } from "rampswitch-utils";
import type { ServingConfiguration } from "../model/configuration.ts";
import { ServingMetrics } from "../observation/mod.ts";
import { ConfigurationFollower } from "./configuration_follower.ts";
import { backendServerStandin } from "../model/backend_server_standin.ts";

/** A call of a watch that has not been answered. */
interface PendingWatch {
  readonly after: number;
  readonly seconds: number | undefined;
  answer(batch: Result<WatchBatch, StoreError>): void;
}

/** A store whose watches are pending until a test answers them. */
class PendingStore implements ObjectStore {
  readonly era = ONE_ERA.era;
  readonly onEra = ONE_ERA.onEra;
  readonly pendingWatches = new Map<string, PendingWatch>();
  readonly #lists: Readonly<Record<string, readonly string[]>>;

  constructor(
    lists: Readonly<Record<string, readonly string[]>> = {
      "config/": ["main"],
      "servers/": ["s1"],
    },
  ) {
    this.#lists = lists;
  }

  list(prefix: string): ReturnType<ObjectStore["list"]> {
    const objects = (this.#lists[prefix] ?? []).map((name) => ({
      key: `${prefix}${name}`,
      version: 5,
      value: "5",
    }));
    return Promise.resolve(Result.ok({ version: 6, objects }));
  }

  watch(
    prefix: string,
    after: number,
    options: WatchOptions,
  ): ReturnType<ObjectStore["watch"]> {
    return new Promise((resolve) => {
      this.pendingWatches.set(prefix, {
        after,
        seconds: options.seconds,
        answer: resolve,
      });
      options.signal.addEventListener("abort", () =>
        resolve(Result.err({ kind: "unknown", detail: "aborted" })),
      );
    });
  }

  get = unused;
  put = unused;
  remove = unused;
}

function unused(): Promise<never> {
  return Promise.reject(new Error("the follower only reads lists"));
}

const CONFIGURATION: ServingConfiguration = {
  version: 5,
  routes: [],
  services: [],
  workspaces: [],
  callerLimits: {
    headerBytes: 1,
    bodyBytes: 1,
    headerMilliseconds: 1,
    idleMilliseconds: 1,
  },
};

let follower: ConfigurationFollower | undefined;
/** Servers that the follower reported as gone. */
let gone: string[] = [];

afterEach(async () => {
  await follower?.[Symbol.asyncDispose]();
  follower = undefined;
  gone = [];
});

async function follow(
  store: PendingStore,
  clock: ManualClock,
  options: { readonly isRelay: boolean; readonly isIdle: boolean } = {
    isRelay: true,
    isIdle: false,
  },
): Promise<ConfigurationFollower> {
  follower = new ConfigurationFollower(
    {
      store,
      clock,
      formats: {
        configurationPrefix: "config/",
        serversPrefix: "servers/",
        decodeConfiguration: (value) =>
          Result.ok({ ...CONFIGURATION, version: Number(value) }),
        decodeServer: (id) =>
          Result.ok(backendServerStandin({ id, slots: 1, reclaimable: false })),
      },
      random: seededRandom(1),
      logger: SILENT_LOGGER,
      metrics: new ServingMetrics(),
      isRelay: () => options.isRelay,
      isIdleMember: () => options.isIdle,
    },
    {
      configured: () => undefined,
      serverChanged: () => Result.ok(undefined),
      serverUnreadable: () => undefined,
      serverGone: (id) => gone.push(id),
      serversMissed: () => undefined,
      isGone: () => false,
    },
  );
  await advance(clock, 0);
  await advance(clock, 200);
  return follower;
}

/** Advances the clock and lets promises settle. */
async function advance(
  clock: ManualClock,
  milliseconds: number,
): Promise<void> {
  await new Promise((resolve) => setImmediate(resolve));
  clock.advance(milliseconds);
  await new Promise((resolve) => setImmediate(resolve));
  clock.advance(0);
  await new Promise((resolve) => setImmediate(resolve));
}

describe("a watch that is behind other hosts", () => {
  test("is restarted once, from its last position", async () => {
    const store = new PendingStore();
    const clock = new ManualClock(1_000);
    const started = await follow(store, clock);
    const first = store.pendingWatches.get("servers/");
    expect(first?.after).toBe(6);
    await advance(clock, 600);
    started.receivePeerVersions({ configuration: 6, servers: 9 });
    await advance(clock, 200);
    const second = store.pendingWatches.get("servers/");
    expect(second).not.toBe(first);
    expect(second?.after).toBe(6);
    await advance(clock, 600);
    started.receivePeerVersions({ configuration: 6, servers: 9 });
    await advance(clock, 200);
    expect(store.pendingWatches.get("servers/")).toBe(second);
  });

  test("is not restarted while it has the same versions as the others", async () => {
    const store = new PendingStore();
    const clock = new ManualClock(1_000);
    const started = await follow(store, clock);
    const first = store.pendingWatches.get("servers/");
    await advance(clock, 5_000);
    started.receivePeerVersions(started.followed);
    await advance(clock, 200);
    expect(store.pendingWatches.get("servers/")).toBe(first);
  });
});

// Guards against a watch of servers that hangs after a silent outage of the store, seen
// with one of 3.3 seconds. The last failed watch of the configuration restarts the watch
// of servers while the store is still silent. That call is never answered and waits for
// its 25 seconds, so leaving servers are not noticed, although the next watch of the
// configuration is answered.
describe("a watch of servers that was sent late in a silent outage", () => {
  test("is restarted once the store answers again", async () => {
    const store = new PendingStore();
    const clock = new ManualClock(1_000);
    await follow(store, clock);
    await advance(clock, 3_000);
    const first = store.pendingWatches.get("servers/");
    store.pendingWatches
      .get("config/")
      ?.answer(Result.err({ kind: "unknown", detail: "silent" }));
    for (let at = 0; at < 800; at += 100) await advance(clock, 100);
    const late = store.pendingWatches.get("servers/");
    expect(late).not.toBe(first);
    store.pendingWatches
      .get("config/")
      ?.answer(Result.ok({ version: 6, events: [] }));
    for (let at = 0; at < 500; at += 100) await advance(clock, 100);
    expect(store.pendingWatches.get("servers/")).not.toBe(late);
  });

  test("is not restarted if it was sent while the store answered", async () => {
    const store = new PendingStore();
    const clock = new ManualClock(1_000);
    await follow(store, clock);
    const sound = store.pendingWatches.get("servers/");
    for (let round = 0; round < 5; round += 1) {
      store.pendingWatches
        .get("config/")
        ?.answer(Result.ok({ version: 6, events: [] }));
      await advance(clock, 500);
    }
    expect(store.pendingWatches.get("servers/")).toBe(sound);
  });
});

describe("the watch of the configuration", () => {
  test("is suspended while relays confirm, and resumes when they stop", async () => {
    const store = new PendingStore();
    const clock = new ManualClock(1_000);
    const started = await follow(store, clock, {
      isRelay: false,
      isIdle: false,
    });
    const first = store.pendingWatches.get("config/");
    started.receiveRelayConfirmation(5, 100);
    expect(started.receiveRelayVersion(5, true)).toBe(false);
    for (let at = 0; at < 400; at += 200) await advance(clock, 200);
    started.checkRelays();
    expect(store.pendingWatches.get("config/")).toBe(first);
    for (let at = 0; at < 400; at += 200) await advance(clock, 200);
    started.checkRelays();
    await advance(clock, 200);
    const second = store.pendingWatches.get("config/");
    expect(second).not.toBe(first);
    expect(second?.after).toBe(6);
    expect(second?.seconds).toBeLessThan(2);
    // It has only just begun to query the store, so it is not cut off.
    expect(started.cutOff).toBe(false);
  });

  test("is suspended while relays confirm that there is no configuration yet", async () => {
    const store = new PendingStore({ "servers/": ["s1"] });
    const clock = new ManualClock(1_000);
    const options = { isRelay: false, isIdle: false };
    const started = await follow(store, clock, options);
    const first = store.pendingWatches.get("config/");
    started.receiveRelayConfirmation(0, 100);
    expect(started.receiveRelayVersion(0, true)).toBe(false);
    first?.answer(Result.ok({ version: 7, events: [] }));
    for (let at = 0; at < 1_000; at += 200) await advance(clock, 200);
    expect(store.pendingWatches.get("config/")).toBe(first);
    expect(started.receiveRelayVersion(8, true)).toBe(true);
  });

  test("takes a newer version from a relay", async () => {
    const store = new PendingStore();
    const clock = new ManualClock(1_000);
    const options = { isRelay: false, isIdle: false };
    const started = await follow(store, clock, options);
    expect(started.newestConfiguration()).toMatchObject({ version: 6 });
    started.receiveRelayConfirmation(5, 100);
    started.receiveRelayVersion(5, true);
    expect(started.receiveRelayVersion(8, true)).toBe(true);
    started.receiveConfiguration({
      after: 0,
      version: 9,
      events: [{ key: "config/main", version: 8, value: "8" }],
    });
    expect(started.routes?.configuration.version).toBe(8);
    expect(started.receiveRelayVersion(8, true)).toBe(false);
    // An older version that arrives late changes nothing.
    started.receiveConfiguration({
      after: 0,
      version: 7,
      events: [{ key: "config/main", version: 7, value: "7" }],
    });
    expect(started.routes?.configuration.version).toBe(8);
  });

  test("resumes when no relay forwards the newer version", async () => {
    const store = new PendingStore();
    const clock = new ManualClock(1_000);
    const options = { isRelay: false, isIdle: false };
    const started = await follow(store, clock, options);
    const first = store.pendingWatches.get("config/");
    started.receiveRelayConfirmation(5, 100);
    started.receiveRelayVersion(5, true);
    for (let at = 0; at <= 1_200; at += 400) {
      expect(started.receiveRelayVersion(8, true)).toBe(true);
      await advance(clock, 200);
      await advance(clock, 200);
    }
    const second = store.pendingWatches.get("config/");
    expect(second).not.toBe(first);
    second?.answer(
      Result.ok({
        version: 9,
        events: [{ key: "config/main", version: 8, value: "8" }],
      }),
    );
    await advance(clock, 10);
    expect(started.routes?.configuration.version).toBe(8);
  });

  test("is not confirmed by a relay that has another version", async () => {
    const store = new PendingStore();
    const clock = new ManualClock(1_000);
    const started = await follow(store, clock);
    await advance(clock, 3_000);
    started.receiveRelayConfirmation(7, 0);
    expect(started.age).toBeGreaterThan(3_000);
    started.receiveRelayConfirmation(5, 0);
    expect(started.age).toBeLessThan(1_000);
  });
});

describe("the watch of servers while all hosts start", () => {
  /** Counts calls to the store while a server registers every tenth of a second. */
  async function callsOf(options: {
    readonly isRelay: boolean;
    readonly isIdle: boolean;
  }): Promise<number> {
    const store = new PendingStore();
    const clock = new ManualClock(1_000);
    await follow(store, clock, options);
    const answered = new Set<PendingWatch>();
    for (let change = 0; change < 30; change += 1) {
      const waiting = store.pendingWatches.get("servers/");
      if (waiting !== undefined) {
        answered.add(waiting);
        waiting.answer(Result.ok({ version: 7 + change, events: [] }));
      }
      await advance(clock, 100);
    }
    return answered.size;
  }

  test("coalesces many changes on a host without requests", async () => {
    const calls = await callsOf({ isRelay: false, isIdle: true });
    expect(calls).toBeLessThanOrEqual(4);
  });

  test("coalesces few changes once requests arrive", async () => {
    const calls = await callsOf({ isRelay: false, isIdle: false });
    expect(calls).toBeGreaterThan(10);
  });
});

describe("a member whose relays lost the store", () => {
  const MEMBER = { isRelay: false, isIdle: false };

  test("queries the store within 0.8 s, whatever peers confirm", async () => {
    const store = new PendingStore();
    const clock = new ManualClock(1_000);
    const started = await follow(store, clock, MEMBER);
    const first = store.pendingWatches.get("config/");
    started.receiveRelayConfirmation(5, 100);
    started.receiveRelayVersion(5, true);
    for (let at = 0; at < 600; at += 200) {
      await advance(clock, 200);
      started.receiveRelayConfirmation(5, 100);
      started.receiveRelayVersion(5, false);
      started.checkRelays();
    }
    await advance(clock, 200);
    expect(store.pendingWatches.get("config/")).not.toBe(first);
  });

  test("relies on the other relay", async () => {
    const store = new PendingStore();
    const clock = new ManualClock(1_000);
    const started = await follow(store, clock, MEMBER);
    const first = store.pendingWatches.get("config/");
    for (let at = 0; at < 3_000; at += 400) {
      started.receiveRelayConfirmation(5, 100);
      started.receiveRelayVersion(5, true);
      await advance(clock, 200);
      started.receiveRelayVersion(5, false);
      started.checkRelays();
      await advance(clock, 200);
    }
    expect(store.pendingWatches.get("config/")).toBe(first);
  });
});

describe("a member while relays report on the store", () => {
  const MEMBER = { isRelay: false, isIdle: false };
  const REMOVAL = {
    after: 6,
    version: 8,
    events: [{ key: "servers/s1", version: 8 }],
  };

  test("reports a server as gone at once", async () => {
    const store = new PendingStore();
    const clock = new ManualClock(1_000);
    const started = await follow(store, clock, MEMBER);
    started.receiveRelayConfirmation(5, 100);
    started.receiveServers(REMOVAL);
    expect(gone).toEqual(["s1"]);
  });

  test("waits for expired entries after relays had lost the store", async () => {
    const store = new PendingStore();
    const clock = new ManualClock(1_000);
    const started = await follow(store, clock, MEMBER);
    started.receiveRelayConfirmation(5, 3_000);
    await advance(clock, 400);
    started.receiveRelayConfirmation(5, 100);
    started.receiveServers(REMOVAL);
    await advance(clock, 1_500);
    expect(gone).toEqual([]);
    await advance(clock, 600);
    expect(gone).toEqual(["s1"]);
  });

  test("queries the store at once when it becomes a relay", async () => {
    const store = new PendingStore();
    const clock = new ManualClock(1_000);
    const roles = { isRelay: false, isIdle: false };
    const started = await follow(store, clock, roles);
    const first = store.pendingWatches.get("config/");
    started.receiveRelayConfirmation(5, 100);
    started.receiveRelayVersion(5, true);
    await advance(clock, 200);
    roles.isRelay = true;
    started.checkRelays();
    await advance(clock, 200);
    expect(store.pendingWatches.get("config/")).not.toBe(first);
  });
});

describe("a relay that lost its connection to the store", () => {
  test("forwards no changes of servers", async () => {
    const store = new PendingStore();
    const clock = new ManualClock(1_000);
    const started = await follow(store, clock);
    expect(started.recentServers()).toMatchObject({ version: 6 });
    const unavailable = { kind: "unavailable", detail: "busy" } as const;
    store.pendingWatches.get("config/")?.answer(Result.err(unavailable));
    await advance(clock, 10);
    expect(started.recentServers()).toBeUndefined();
  });

  test("forwards no changes of servers while the store is silent", async () => {
    const store = new PendingStore();
    const clock = new ManualClock(1_000);
    const started = await follow(store, clock);
    await advance(clock, 3_000);
    expect(started.recentServers()).toBeUndefined();
  });

  test("is not trusted: its hosts query the store again", async () => {
    const store = new PendingStore();
    const clock = new ManualClock(1_000);
    const started = await follow(store, clock);
    const first = store.pendingWatches.get("servers/");
    const changes = { after: 6, version: 6, events: [] };
    started.receiveServers(changes);
    await advance(clock, 400);
    await advance(clock, 400);
    started.receiveServers(changes);
    // The other relay reported changes just now.
    started.receiveServers(undefined);
    await advance(clock, 400);
    expect(store.pendingWatches.get("servers/")).toBe(first);
    await advance(clock, 400);
    await advance(clock, 400);
    started.receiveServers(undefined);
    await advance(clock, 200);
    expect(store.pendingWatches.get("servers/")).not.toBe(first);
  });
});
