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

/** A call of a watch that waits. */
interface Waiting {
  readonly after: number;
  readonly seconds: number | undefined;
  answer(batch: Result<WatchBatch, StoreError>): void;
}

/** A store whose watches wait until a test answers them. */
class WaitingStore implements ObjectStore {
  readonly era = ONE_ERA.era;
  readonly onEra = ONE_ERA.onEra;
  readonly waiting = new Map<string, Waiting>();
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
      this.waiting.set(prefix, {
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
/** Servers that the follower passed on as gone. */
let gone: string[] = [];

afterEach(async () => {
  await follower?.[Symbol.asyncDispose]();
  follower = undefined;
  gone = [];
});

async function follow(
  store: WaitingStore,
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
          Result.ok({
            id,
            service: "models",
            address: "127.0.0.1:1",
            dataHall: "a",
            slots: 1,
            state: "ready",
            version: "v1",
            reclaimable: false,
            born: undefined,
          }),
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
      isGone: () => false,
    },
  );
  await advance(clock, 0);
  await advance(clock, 200);
  return follower;
}

/** Moves time and lets promises settle. */
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

describe("a watch that others are ahead of", () => {
  test("is asked anew, from where it was, and not again and again", async () => {
    const store = new WaitingStore();
    const clock = new ManualClock(1_000);
    const started = await follow(store, clock);
    const first = store.waiting.get("servers/");
    expect(first?.after).toBe(6);
    await advance(clock, 600);
    started.othersFollowed({ configuration: 6, servers: 9 });
    await advance(clock, 200);
    const second = store.waiting.get("servers/");
    expect(second).not.toBe(first);
    expect(second?.after).toBe(6);
    await advance(clock, 600);
    started.othersFollowed({ configuration: 6, servers: 9 });
    await advance(clock, 200);
    expect(store.waiting.get("servers/")).toBe(second);
  });

  test("is left alone while it is level with the others", async () => {
    const store = new WaitingStore();
    const clock = new ManualClock(1_000);
    const started = await follow(store, clock);
    const first = store.waiting.get("servers/");
    await advance(clock, 5_000);
    started.othersFollowed(started.followed);
    await advance(clock, 200);
    expect(store.waiting.get("servers/")).toBe(first);
  });
});

// The store answered nothing for 3.3 seconds, without a sign. A watch of servers that
// was asked in the last moments of that waits for an answer that never comes, up to
// its 25 seconds, and servers that leave are not heard of meanwhile. The watch of the
// configuration that failed last had it asked anew, and the next one was answered.
describe("a watch of servers that was asked late in a silent outage", () => {
  test("is asked anew once the store answers again", async () => {
    const store = new WaitingStore();
    const clock = new ManualClock(1_000);
    await follow(store, clock);
    await advance(clock, 3_000);
    const first = store.waiting.get("servers/");
    store.waiting
      .get("config/")
      ?.answer(Result.err({ kind: "unknown", detail: "silent" }));
    for (let at = 0; at < 800; at += 100) await advance(clock, 100);
    const late = store.waiting.get("servers/");
    expect(late).not.toBe(first);
    store.waiting.get("config/")?.answer(Result.ok({ version: 6, events: [] }));
    for (let at = 0; at < 500; at += 100) await advance(clock, 100);
    expect(store.waiting.get("servers/")).not.toBe(late);
  });

  test("is left alone once it was asked when the store answered", async () => {
    const store = new WaitingStore();
    const clock = new ManualClock(1_000);
    await follow(store, clock);
    const sound = store.waiting.get("servers/");
    for (let round = 0; round < 5; round += 1) {
      store.waiting
        .get("config/")
        ?.answer(Result.ok({ version: 6, events: [] }));
      await advance(clock, 500);
    }
    expect(store.waiting.get("servers/")).toBe(sound);
  });
});

describe("the watch of the configuration", () => {
  test("asks nothing while relays confirm, and asks when they stop", async () => {
    const store = new WaitingStore();
    const clock = new ManualClock(1_000);
    const started = await follow(store, clock, {
      isRelay: false,
      isIdle: false,
    });
    const first = store.waiting.get("config/");
    started.confirmedByRelay(5, 100);
    expect(started.relayFollowed(5, true)).toBe(false);
    for (let at = 0; at < 400; at += 200) await advance(clock, 200);
    started.checkRelays();
    expect(store.waiting.get("config/")).toBe(first);
    for (let at = 0; at < 400; at += 200) await advance(clock, 200);
    started.checkRelays();
    await advance(clock, 200);
    const second = store.waiting.get("config/");
    expect(second).not.toBe(first);
    expect(second?.after).toBe(6);
    expect(second?.seconds).toBeLessThan(2);
    // It has only just begun to ask, and is not cut off.
    expect(started.cutOff).toBe(false);
  });

  test("asks nothing while relays confirm that there is none yet", async () => {
    const store = new WaitingStore({ "servers/": ["s1"] });
    const clock = new ManualClock(1_000);
    const options = { isRelay: false, isIdle: false };
    const started = await follow(store, clock, options);
    const first = store.waiting.get("config/");
    started.confirmedByRelay(0, 100);
    expect(started.relayFollowed(0, true)).toBe(false);
    first?.answer(Result.ok({ version: 7, events: [] }));
    for (let at = 0; at < 1_000; at += 200) await advance(clock, 200);
    expect(store.waiting.get("config/")).toBe(first);
    expect(started.relayFollowed(8, true)).toBe(true);
  });

  test("takes a newer version from a relay", async () => {
    const store = new WaitingStore();
    const clock = new ManualClock(1_000);
    const options = { isRelay: false, isIdle: false };
    const started = await follow(store, clock, options);
    expect(started.newestConfiguration()).toMatchObject({ version: 6 });
    started.confirmedByRelay(5, 100);
    started.relayFollowed(5, true);
    expect(started.relayFollowed(8, true)).toBe(true);
    started.configurationByRelay({
      after: 0,
      version: 9,
      events: [{ key: "config/main", version: 8, value: "8" }],
    });
    expect(started.routes?.configuration.version).toBe(8);
    expect(started.relayFollowed(8, true)).toBe(false);
    // An older one that comes late changes nothing.
    started.configurationByRelay({
      after: 0,
      version: 7,
      events: [{ key: "config/main", version: 7, value: "7" }],
    });
    expect(started.routes?.configuration.version).toBe(8);
  });

  test("asks the store when no relay passes the newer version on", async () => {
    const store = new WaitingStore();
    const clock = new ManualClock(1_000);
    const options = { isRelay: false, isIdle: false };
    const started = await follow(store, clock, options);
    const first = store.waiting.get("config/");
    started.confirmedByRelay(5, 100);
    started.relayFollowed(5, true);
    for (let at = 0; at <= 1_200; at += 400) {
      expect(started.relayFollowed(8, true)).toBe(true);
      await advance(clock, 200);
      await advance(clock, 200);
    }
    const second = store.waiting.get("config/");
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
    const store = new WaitingStore();
    const clock = new ManualClock(1_000);
    const started = await follow(store, clock);
    await advance(clock, 3_000);
    started.confirmedByRelay(7, 0);
    expect(started.age).toBeGreaterThan(3_000);
    started.confirmedByRelay(5, 0);
    expect(started.age).toBeLessThan(1_000);
  });
});

describe("the watch of servers while all hosts start", () => {
  /** Calls to the store while a server registers every tenth of a second. */
  async function callsOf(options: {
    readonly isRelay: boolean;
    readonly isIdle: boolean;
  }): Promise<number> {
    const store = new WaitingStore();
    const clock = new ManualClock(1_000);
    await follow(store, clock, options);
    const answered = new Set<Waiting>();
    for (let change = 0; change < 30; change += 1) {
      const waiting = store.waiting.get("servers/");
      if (waiting !== undefined) {
        answered.add(waiting);
        waiting.answer(Result.ok({ version: 7 + change, events: [] }));
      }
      await advance(clock, 100);
    }
    return answered.size;
  }

  test("takes many changes together on a host without requests", async () => {
    const calls = await callsOf({ isRelay: false, isIdle: true });
    expect(calls).toBeLessThanOrEqual(4);
  });

  test("and few once requests come", async () => {
    const calls = await callsOf({ isRelay: false, isIdle: false });
    expect(calls).toBeGreaterThan(10);
  });
});

describe("a member whose relays lost the store", () => {
  const MEMBER = { isRelay: false, isIdle: false };

  test("asks for itself within 0.8 s, whatever peers confirm", async () => {
    const store = new WaitingStore();
    const clock = new ManualClock(1_000);
    const started = await follow(store, clock, MEMBER);
    const first = store.waiting.get("config/");
    started.confirmedByRelay(5, 100);
    started.relayFollowed(5, true);
    for (let at = 0; at < 600; at += 200) {
      await advance(clock, 200);
      started.confirmedByRelay(5, 100);
      started.relayFollowed(5, false);
      started.checkRelays();
    }
    await advance(clock, 200);
    expect(store.waiting.get("config/")).not.toBe(first);
  });

  test("goes on by the other relay", async () => {
    const store = new WaitingStore();
    const clock = new ManualClock(1_000);
    const started = await follow(store, clock, MEMBER);
    const first = store.waiting.get("config/");
    for (let at = 0; at < 3_000; at += 400) {
      started.confirmedByRelay(5, 100);
      started.relayFollowed(5, true);
      await advance(clock, 200);
      started.relayFollowed(5, false);
      started.checkRelays();
      await advance(clock, 200);
    }
    expect(store.waiting.get("config/")).toBe(first);
  });
});

describe("a member while relays tell of the store", () => {
  const MEMBER = { isRelay: false, isIdle: false };
  const REMOVAL = {
    after: 6,
    version: 8,
    events: [{ key: "servers/s1", version: 8 }],
  };

  test("passes a server on as gone at once", async () => {
    const store = new WaitingStore();
    const clock = new ManualClock(1_000);
    const started = await follow(store, clock, MEMBER);
    started.confirmedByRelay(5, 100);
    started.serversByRelay(REMOVAL);
    expect(gone).toEqual(["s1"]);
  });

  test("waits for lapsed servers after an outage of the relays' store", async () => {
    const store = new WaitingStore();
    const clock = new ManualClock(1_000);
    const started = await follow(store, clock, MEMBER);
    started.confirmedByRelay(5, 3_000);
    await advance(clock, 400);
    started.confirmedByRelay(5, 100);
    started.serversByRelay(REMOVAL);
    await advance(clock, 1_500);
    expect(gone).toEqual([]);
    await advance(clock, 600);
    expect(gone).toEqual(["s1"]);
  });

  test("asks the store at once when it becomes a relay", async () => {
    const store = new WaitingStore();
    const clock = new ManualClock(1_000);
    const roles = { isRelay: false, isIdle: false };
    const started = await follow(store, clock, roles);
    const first = store.waiting.get("config/");
    started.confirmedByRelay(5, 100);
    started.relayFollowed(5, true);
    await advance(clock, 200);
    roles.isRelay = true;
    started.checkRelays();
    await advance(clock, 200);
    expect(store.waiting.get("config/")).not.toBe(first);
  });
});

describe("a relay that lost its way to the store", () => {
  test("tells no changes of servers", async () => {
    const store = new WaitingStore();
    const clock = new ManualClock(1_000);
    const started = await follow(store, clock);
    expect(started.recentServers()).toMatchObject({ version: 6 });
    const unavailable = { kind: "unavailable", detail: "busy" } as const;
    store.waiting.get("config/")?.answer(Result.err(unavailable));
    await advance(clock, 10);
    expect(started.recentServers()).toBeUndefined();
  });

  test("or that hears nothing from it", async () => {
    const store = new WaitingStore();
    const clock = new ManualClock(1_000);
    const started = await follow(store, clock);
    await advance(clock, 3_000);
    expect(started.recentServers()).toBeUndefined();
  });

  test("is not believed: its hosts ask the store again", async () => {
    const store = new WaitingStore();
    const clock = new ManualClock(1_000);
    const started = await follow(store, clock);
    const first = store.waiting.get("servers/");
    const told = { after: 6, version: 6, events: [] };
    started.serversByRelay(told);
    await advance(clock, 400);
    await advance(clock, 400);
    started.serversByRelay(told);
    // The other relay told of them just now.
    started.serversByRelay(undefined);
    await advance(clock, 400);
    expect(store.waiting.get("servers/")).toBe(first);
    await advance(clock, 400);
    await advance(clock, 400);
    started.serversByRelay(undefined);
    await advance(clock, 200);
    expect(store.waiting.get("servers/")).not.toBe(first);
  });
});
