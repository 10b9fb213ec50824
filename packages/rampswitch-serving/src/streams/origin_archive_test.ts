// Copyright 2026 the rampswitch authors. Apache-2.0 license.

// Guards against hosts that forget with the end of all of them which versions served,
// and which began the streams in progress: the only version that is listed after a start
// was then taken for the one that began a stream, or no stream went on.

import { afterEach, describe, expect, test } from "@jest/globals";
import {
  ManualClock,
  Ownership,
  seededRandom,
  SILENT_LOGGER,
} from "rampswitch-utils";
import type { ObjectStore } from "rampswitch-store";
import type { ServerListState } from "../configuration/server_list_evidence.ts";
import { ServingMetrics } from "../observation/mod.ts";
import { createStreams } from "../host_streams.ts";
import { ObjectStoreStandin } from "./object_store_standin.ts";
import type { OriginArchive } from "./origin_archive.ts";
import type { StreamOrigins } from "./stream_origins.ts";
import { NO_STREAM_REPLIES } from "./stream_reply.ts";

const PREFIX = "streams/";
const VERSIONS_KEY = `${PREFIX}versions`;
const SERVICE = "models";
const STREAM = { service: SERVICE, attempt: "a1" };

/** Time in which a host writes a change, in milliseconds. */
const WRITE_MILLISECONDS = 400;

/** Time for which a version counts after its end, in milliseconds. */
const RETENTION_MILLISECONDS = 60_000;

/** Time from its start in which a host may write without the duties, in milliseconds. */
const START_MILLISECONDS = 5_000;

let ownership = new Ownership();

afterEach(async () => {
  await ownership[Symbol.asyncDispose]();
  ownership = new Ownership();
});

const CURRENT_LIST: ServerListState = {
  version: 1,
  newestHeard: 1,
  confirmedAt: 0,
  currentAt: Infinity,
};

interface StartedHost {
  readonly clock: ManualClock;
  readonly streams: StreamOrigins;
  readonly archive: OriginArchive;
}

/** Starts a host; `versions` are those that it lists. */
async function startHost(
  store: ObjectStoreStandin,
  {
    versions,
    holdsDuties = true,
    host = "h1",
    list = CURRENT_LIST,
  }: {
    readonly versions: readonly string[];
    readonly holdsDuties?: boolean;
    readonly host?: string;
    readonly list?: ServerListState;
  },
): Promise<StartedHost> {
  const clock = new ManualClock(0);
  const { origins: streams, archive } = createStreams(
    {
      clock,
      host,
      store: store as unknown as ObjectStore,
      streamsPrefix: PREFIX,
      random: seededRandom(1),
      logger: SILENT_LOGGER,
      metrics: new ServingMetrics(),
      confirmList: () => Promise.resolve(true),
      isStoreAway: () => false,
      serverList: () => list,
      areHostsListed: () => true,
      tell: () => undefined,
      query: () =>
        Promise.resolve({
          ...NO_STREAM_REPLIES,
          isComplete: true,
          isMajority: true,
        }),
      holdsDuties: () => holdsDuties,
      hostCount: () => 3,
      storeWritesPerSecond: () => 400,
    },
    ownership,
  );
  versions.forEach((version) =>
    streams.listed({ id: `s-${version}`, service: SERVICE, version }),
  );
  await pass(clock, WRITE_MILLISECONDS);
  return { clock, streams, archive };
}

/** Lets time pass, and the calls to the store that fall due. */
async function pass(clock: ManualClock, milliseconds: number): Promise<void> {
  const end = clock.now() + milliseconds;
  while (clock.now() < end) {
    clock.advance(Math.min(50, end - clock.now()));
    await new Promise((resolve) => setImmediate(resolve));
  }
}

async function versionOf(streams: StreamOrigins): Promise<string | undefined> {
  const origin = await streams.find(STREAM);
  return origin.kind === "known" ? origin.version : undefined;
}

describe("the versions that served", () => {
  test("are known to a host that starts after all others have ended", async () => {
    const store = new ObjectStoreStandin();
    await startHost(store, { versions: ["v1", "v2"] });
    const { streams } = await startHost(store, { versions: ["v2"] });
    expect(streams.versions.get(SERVICE)).toEqual(["v1", "v2"]);
    expect(await versionOf(streams)).toBeUndefined();
  });

  test("vouch for the only one, whoever lists it first", async () => {
    const store = new ObjectStoreStandin();
    await startHost(store, { versions: ["v1"] });
    const { streams } = await startHost(store, { versions: ["v1"] });
    expect(await versionOf(streams)).toBe("v1");
  });

  test("are read and written on change alone, by one host for all", async () => {
    const store = new ObjectStoreStandin();
    const { clock, streams } = await startHost(store, { versions: ["v1"] });
    const other = await startHost(store, {
      versions: ["v1"],
      holdsDuties: false,
    });
    await pass(other.clock, START_MILLISECONDS);
    const before = store.gets;
    other.streams.listed({ id: "s-v3", service: SERVICE, version: "v3" });
    await pass(other.clock, 10 * WRITE_MILLISECONDS);
    expect(store.gets - before).toBe(1);
    streams.listed({ id: "s-v3", service: SERVICE, version: "v3" });
    await pass(clock, 10 * WRITE_MILLISECONDS);
    streams.listed({ id: "s-v2", service: SERVICE, version: "v2" });
    await pass(clock, 10 * WRITE_MILLISECONDS);
    other.streams.listed({ id: "s-v2", service: SERVICE, version: "v2" });
    await pass(other.clock, 10 * WRITE_MILLISECONDS);
    expect(store.gets - before).toBe(4);
    expect(store.changes).toEqual(Array(3).fill(`put ${VERSIONS_KEY}`));
    expect(other.streams.names.hasUnnamed).toBe(false);
  });

  test("are stored before the streams that began at them", async () => {
    const store = new ObjectStoreStandin();
    const { clock, streams } = await startHost(store, { versions: ["v1"] });
    streams.listed({ id: "s-v2", service: SERVICE, version: "v2" });
    streams.began({ ...STREAM, ...BEGUN }, "s-v2/1");
    await pass(clock, STREAMS_WRITE_MILLISECONDS);
    expect(store.changes.slice(1)).toEqual([
      `put ${VERSIONS_KEY}`,
      "put streams/host.h1",
    ]);
  });

  // Guards against a host that adds a version and takes back what others vouch for.
  test("stay complete where a host that missed changes adds one", async () => {
    const store = new ObjectStoreStandin();
    await startHost(store, { versions: ["v1"] });
    const listed = { versions: ["v1"], holdsDuties: false };
    const { clock, streams } = await startHost(store, listed);
    await pass(clock, START_MILLISECONDS);
    streams.missedChanges();
    streams.listed({ id: "s-v2", service: SERVICE, version: "v2" });
    await pass(clock, WRITE_MILLISECONDS);
    expect(store.value(VERSIONS_KEY)).toBe(
      '{"completeInEra":1,"services":{"models":["v1","v2"]}}',
    );
  });

  // Guards against versions that count as named though no object names them: streams that
  // began at them were joined after the end of all hosts.
  test.each([
    ["a new one", "v2", { isCopy: false }],
    ["one that a copy of the store lacks", "v1", { isCopy: true }],
    ["one that came back after it was taken out", "v0", { isCopy: false }],
  ])(
    "are unnamed until the object names them: %s",
    async (_, version, { isCopy }) => {
      const store = new ObjectStoreStandin();
      await startHost(store, { versions: ["v0", "v1"] });
      const { clock, streams } = await startHost(store, {
        versions: ["v0", "v1"],
        holdsDuties: false,
      });
      streams.removed("s-v0");
      await pass(clock, RETENTION_MILLISECONDS + WRITE_MILLISECONDS);
      expect(streams.names.hasUnnamed).toBe(false);
      store.write(
        VERSIONS_KEY,
        '{"completeInEra":1,"services":{"models":["v1"]}}',
      );
      let proceed = (): void => undefined;
      store.beforePut = () => new Promise((resolve) => (proceed = resolve));
      if (isCopy) store.comeBackEmpty();
      streams.listed({ id: `s-${version}`, service: SERVICE, version });
      await pass(clock, WRITE_MILLISECONDS);
      expect([...(streams.names.unnamedOf(SERVICE) ?? [])]).toEqual([version]);
      proceed();
      await pass(clock, WRITE_MILLISECONDS);
      expect(streams.names.unnamedOf(SERVICE)).toBeUndefined();
      expect(store.value(VERSIONS_KEY)).toContain(version);
    },
  );

  // Guards against hosts that all end before one of them holds the duties: 2 of 57
  // streams taken up were joined, since no object told of the version that ended.
  test.each([
    ["no object", undefined],
    ["an object without one", ["v1"]],
  ] as const)(
    "are written by a host that starts and finds %s, whoever holds the duties",
    async (_, stored) => {
      const store = new ObjectStoreStandin();
      if (stored !== undefined) await startHost(store, { versions: stored });
      const listed = { versions: ["v2", "v3"], holdsDuties: false };
      await startHost(store, listed);
      await startHost(store, listed);
      const { streams } = await startHost(store, {
        versions: ["v3"],
        holdsDuties: false,
      });
      const expected = [...(stored ?? []), "v2", "v3"];
      expect(streams.versions.get(SERVICE)).toEqual(expected);
      expect(store.changes.length).toBe(stored === undefined ? 1 : 2);
    },
  );

  test("are handed over by hosts that stop as planned, without the duties", async () => {
    const store = new ObjectStoreStandin();
    const { streams, archive } = await startHost(store, {
      versions: ["v1"],
      holdsDuties: false,
    });
    await archive.flush();
    streams.listed({ id: "s-v2", service: SERVICE, version: "v2" });
    await archive.flush();
    await archive.flush();
    expect(store.changes).toEqual([
      `put ${VERSIONS_KEY}`,
      `put ${VERSIONS_KEY}`,
    ]);
    const { streams: next } = await startHost(store, { versions: ["v2"] });
    expect(next.versions.get(SERVICE)).toEqual(["v1", "v2"]);
  });

  test("are removed once no stream can be of them", async () => {
    const store = new ObjectStoreStandin();
    const { clock, streams } = await startHost(store, {
      versions: ["v1", "v2"],
    });
    streams.removed("s-v1");
    await pass(clock, RETENTION_MILLISECONDS + WRITE_MILLISECONDS);
    const next = await startHost(store, { versions: ["v2"] });
    expect(await versionOf(next.streams)).toBe("v2");
  });

  // Guards against services that count as mixed for ever, and send and store each of their
  // streams, since other services get a new version some times a minute.
  test("are removed though another service gets new versions all the time", async () => {
    const store = new ObjectStoreStandin();
    const versions = ["v1", "v2"];
    const holder = await startHost(store, { versions });
    const other = await startHost(store, { versions, holdsDuties: false });
    const hosts = [other, holder];
    hosts.forEach(({ streams }) => streams.removed("s-v1"));
    for (const round of [1, 2, 3, 4, 5, 6, 7, 8, 9]) {
      // Sometimes the one, sometimes the other host is the first to name the new one.
      for (const { clock, streams } of hosts.reverse()) {
        streams.removed(`o${round - 1}`);
        const version = `w${round}`;
        streams.listed({ id: `o${round}`, service: "other", version });
        await pass(clock, RETENTION_MILLISECONDS / 3);
      }
    }
    const mixed = hosts.map(({ streams }) => streams.isMixed(SERVICE));
    expect(mixed).toEqual([false, false]);
    expect(store.value(VERSIONS_KEY)).not.toContain("v1");
  });

  test("include what another holder wrote meanwhile", async () => {
    const store = new ObjectStoreStandin();
    const { clock, streams } = await startHost(store, { versions: ["v1"] });
    await startHost(store, { versions: ["v1", "v2"] });
    streams.listed({ id: "s-v3", service: SERVICE, version: "v3" });
    await pass(clock, WRITE_MILLISECONDS);
    const { streams: next } = await startHost(store, { versions: ["v1"] });
    expect(next.versions.get(SERVICE)).toEqual(["v1", "v2", "v3"]);
  });

  // Guards against hosts that all end before the holder of the duties has stored a
  // version: the only one that is stored was taken for that of a stream.
  test("include those that began the streams which a host stored", async () => {
    const store = new ObjectStoreStandin();
    await startHost(store, { versions: ["v1"] });
    const { clock, streams } = await startHost(store, {
      versions: ["v1"],
      holdsDuties: false,
      host: "h2",
    });
    await pass(clock, START_MILLISECONDS);
    streams.listed({ id: "s-v2", service: SERVICE, version: "v2" });
    streams.began({ ...STREAM, ...BEGUN, attempt: "a2" }, "s-v2/1");
    await pass(clock, AT_ONCE_MILLISECONDS);
    const next = await startHost(store, { versions: ["v1"], host: "h3" });
    expect(await versionOf(next.streams)).toBeUndefined();
  });

  test("are not stored as complete by a host whose list is older than another's", async () => {
    const store = new ObjectStoreStandin();
    const list = { ...CURRENT_LIST, newestHeard: 2 };
    await startHost(store, { versions: ["v1"], list });
    const next = await startHost(store, {
      versions: ["v1"],
      holdsDuties: false,
    });
    expect(await versionOf(next.streams)).toBeUndefined();
  });

  test("are not removed by a host whose list is older than another's", async () => {
    const store = new ObjectStoreStandin();
    await startHost(store, { versions: ["v1", "v2"] });
    const list = { ...CURRENT_LIST, newestHeard: 2 };
    const { clock } = await startHost(store, { versions: ["v1"], list });
    await pass(clock, RETENTION_MILLISECONDS + WRITE_MILLISECONDS);
    const next = await startHost(store, { versions: ["v1"] });
    expect(await versionOf(next.streams)).toBeUndefined();
  });

  // Guards against a version that comes and goes after a host read the object, and before
  // it lists the servers for the first time.
  test("are read again by a host that listed the servers much later", async () => {
    const store = new ObjectStoreStandin();
    const holder = await startHost(store, { versions: ["v1"] });
    const listed = { versions: [], holdsDuties: false, host: "h2" };
    const { clock, streams } = await startHost(store, listed);
    holder.streams.listed({ id: "s-v2", service: SERVICE, version: "v2" });
    await pass(holder.clock, WRITE_MILLISECONDS);
    await pass(clock, START_MILLISECONDS);
    streams.listed({ id: "s-v1", service: SERVICE, version: "v1" });
    expect(streams.replyTo(STREAM).kind).toBe("single_recently");
    expect(await versionOf(streams)).toBeUndefined();
  });

  test("are not taken for complete after the store came back from a copy", async () => {
    const store = new ObjectStoreStandin();
    await startHost(store, { versions: ["v1"] });
    store.comeBackEmpty();
    const { clock, streams } = await startHost(store, { versions: ["v1"] });
    expect(await versionOf(streams)).toBeUndefined();
    await pass(clock, RETENTION_MILLISECONDS);
    expect(await versionOf(streams)).toBe("v1");
    const { streams: next } = await startHost(store, { versions: ["v1"] });
    expect(await versionOf(next)).toBe("v1");
  });

  test("are written again by hosts that outlive the store's copy", async () => {
    const store = new ObjectStoreStandin();
    const { clock } = await startHost(store, { versions: ["v1"] });
    store.comeBackEmpty();
    await pass(clock, WRITE_MILLISECONDS);
    const { streams } = await startHost(store, { versions: ["v1"] });
    expect(await versionOf(streams)).toBe("v1");
  });

  test("are not guessed while the store is down, and read once it is back", async () => {
    const store = new ObjectStoreStandin();
    await startHost(store, { versions: ["v1"] });
    store.isDown = true;
    const { clock, streams } = await startHost(store, { versions: ["v1"] });
    expect(await versionOf(streams)).toBeUndefined();
    store.isDown = false;
    await pass(clock, 1_500);
    expect(await versionOf(streams)).toBe("v1");
  });

  test("are not guessed from an object that can't be read", async () => {
    const store = new ObjectStoreStandin();
    store.write(VERSIONS_KEY, '{"services":[]}');
    const { streams } = await startHost(store, {
      versions: ["v1"],
      holdsDuties: false,
    });
    expect(await versionOf(streams)).toBeUndefined();
  });
});

const BEGUN = { version: "v2", lifetimeMilliseconds: 9_000 };

/** Time in which a host writes the streams that began, in milliseconds. */
const STREAMS_WRITE_MILLISECONDS = 1_400;

/** Time in which a host writes the first stream after a pause, in milliseconds. */
const AT_ONCE_MILLISECONDS = 100;

/** Starts a host that began some streams at v2 beside v1, and has stored them. */
async function startServing(
  store: ObjectStoreStandin,
  attempts: readonly string[] = [STREAM.attempt],
) {
  const host = await startHost(store, { versions: ["v1", "v2"] });
  attempts.forEach((attempt) =>
    host.streams.began({ ...STREAM, ...BEGUN, attempt }, "s-v2/1"),
  );
  await pass(host.clock, STREAMS_WRITE_MILLISECONDS);
  return host;
}

describe("the version that began a stream", () => {
  test.each([["h1"], ["h2"]])(
    "is known to %s, which starts after all others have ended",
    async (host) => {
      const store = new ObjectStoreStandin();
      await startServing(store);
      const { streams } = await startHost(store, { versions: ["v2"], host });
      expect(await streams.find(STREAM)).toMatchObject({ version: "v2" });
    },
  );

  test("can't be told if its server is listed with another one after the start", async () => {
    const store = new ObjectStoreStandin();
    await startServing(store);
    const { streams } = await startHost(store, { versions: ["v1"] });
    streams.listed({ id: "s-v2", service: SERVICE, version: "v1" });
    expect(streams.isUncertain(STREAM)).toBe(true);
  });

  test("is handed over by a host that stops as planned right after", async () => {
    const store = new ObjectStoreStandin();
    const { streams, archive } = await startServing(store);
    streams.began({ ...STREAM, ...BEGUN, attempt: "a2" }, "s-v2/1");
    await archive.flush();
    const next = await startHost(store, { versions: ["v2"], host: "h2" });
    expect(await next.streams.find({ ...STREAM, attempt: "a2" })).toMatchObject(
      { version: "v2" },
    );
  });

  test("is not replaced by a write that was under way", async () => {
    const store = new ObjectStoreStandin();
    const { streams, archive } = await startServing(store);
    let proceed = (): void => undefined;
    const slow = new Promise<void>((resolve) => {
      proceed = resolve;
    });
    store.beforePut = () => {
      store.beforePut = () => Promise.resolve();
      return slow;
    };
    streams.began({ ...STREAM, ...BEGUN, attempt: "a2" }, "s-v2/1");
    const first = archive.flush();
    streams.began({ ...STREAM, ...BEGUN, attempt: "a3" }, "s-v2/1");
    const second = archive.flush();
    await new Promise((resolve) => setImmediate(resolve));
    proceed();
    await Promise.all([first, second]);
    expect(store.value("streams/host.h1")).toContain("a3");
  });

  test("is read anew from a host that has ended since", async () => {
    const store = new ObjectStoreStandin();
    const { streams, clock } = await startHost(store, {
      versions: ["v1", "v2"],
      host: "h2",
    });
    await pass(clock, STREAMS_WRITE_MILLISECONDS);
    await startServing(store);
    expect(await streams.find(STREAM)).toEqual({
      kind: "known",
      version: "v2",
      source: "stored",
      serverId: "s-v2",
    });
  });

  test("stays stored when its host starts and ends again", async () => {
    const store = new ObjectStoreStandin();
    await startServing(store);
    await startServing(store, ["a2"]);
    const { streams } = await startHost(store, { versions: ["v1", "v2"] });
    expect(await versionOf(streams)).toBe("v2");
  });

  test("is stored as unknown once it can't be told", async () => {
    const store = new ObjectStoreStandin();
    const { streams, clock } = await startServing(store);
    streams.becameOtherVersion("s-v2/1");
    await pass(clock, STREAMS_WRITE_MILLISECONDS);
    const next = await startHost(store, { versions: ["v1"], host: "h2" });
    expect(next.streams.isUncertain(STREAM)).toBe(true);
  });

  test("is stored once for many streams, and not while nothing changes", async () => {
    const store = new ObjectStoreStandin();
    const attempts = Array.from({ length: 500 }, (_, index) => `a${index}`);
    const { clock } = await startServing(store, attempts);
    await pass(clock, 3 * STREAMS_WRITE_MILLISECONDS);
    const puts = store.changes.filter(
      (change) => change === "put streams/host.h1",
    );
    expect(puts.length).toBe(1);
  });

  test("is stored at once after a pause", async () => {
    const store = new ObjectStoreStandin();
    const { clock, streams } = await startServing(store);
    await pass(clock, STREAMS_WRITE_MILLISECONDS);
    streams.began({ ...STREAM, ...BEGUN, attempt: "a2" }, "s-v2/1");
    await pass(clock, AT_ONCE_MILLISECONDS);
    expect(store.value("streams/host.h1")).toContain("a2");
  });

  test("is stored ten times a second at most while streams begin", async () => {
    const store = new ObjectStoreStandin();
    const { clock, streams } = await startServing(store);
    const before = store.changes.length;
    for (let step = 0; step < 100; step += 1) {
      streams.began({ ...STREAM, ...BEGUN, attempt: `b${step}` }, "s-v2/1");
      await pass(clock, 10);
    }
    const writes = store.changes.length - before;
    expect(writes).toBeGreaterThanOrEqual(8);
    expect(writes).toBeLessThanOrEqual(11);
  });

  test("is tried once a second while the store is down", async () => {
    const store = new ObjectStoreStandin();
    const { clock, streams } = await startServing(store);
    const before = store.tries;
    store.isDown = true;
    for (let step = 0; step < 100; step += 1) {
      streams.began({ ...STREAM, ...BEGUN, attempt: `b${step}` }, "s-v2/1");
      await pass(clock, 30);
    }
    expect(store.tries - before).toBeLessThanOrEqual(8);
    store.isDown = false;
    await pass(clock, STREAMS_WRITE_MILLISECONDS);
    expect(store.value("streams/host.h1")).toContain("b99");
  });

  test("is not stored while a service has one version", async () => {
    const store = new ObjectStoreStandin();
    const { clock, streams } = await startHost(store, { versions: ["v1"] });
    streams.began({ ...STREAM, ...BEGUN }, "s-v1/1");
    await pass(clock, STREAMS_WRITE_MILLISECONDS);
    expect(store.changes).toEqual([`put ${VERSIONS_KEY}`]);
  });

  test("is stored of streams that run when a second version appears", async () => {
    const store = new ObjectStoreStandin();
    const { clock, streams } = await startHost(store, { versions: ["v1"] });
    streams.began({ ...STREAM, ...BEGUN, version: "v1" }, "s-v1/1");
    streams.listed({ id: "s-v2", service: SERVICE, version: "v2" });
    await pass(clock, STREAMS_WRITE_MILLISECONDS);
    const next = await startHost(store, { versions: ["v2"], host: "h2" });
    expect(await versionOf(next.streams)).toBe("v1");
  });

  test("is removed from the store with the last stream", async () => {
    const store = new ObjectStoreStandin();
    const { clock } = await startServing(store);
    await pass(
      clock,
      BEGUN.lifetimeMilliseconds + 2 * STREAMS_WRITE_MILLISECONDS,
    );
    expect(store.value("streams/host.h1")).toBeUndefined();
  });

  // Guards against a host that removes for ever what an earlier call has removed.
  test("is removed once though the answer to its removal is lost", async () => {
    const store = new ObjectStoreStandin();
    const { clock } = await startServing(store);
    store.losesRemovals = true;
    await pass(
      clock,
      BEGUN.lifetimeMilliseconds + 10 * STREAMS_WRITE_MILLISECONDS,
    );
    expect(store.removals).toBe(1);
  });

  test("of a host that is gone for good is removed by another one", async () => {
    const store = new ObjectStoreStandin();
    await startServing(store);
    await ownership[Symbol.asyncDispose]();
    ownership = new Ownership();
    const { clock } = await startHost(store, { versions: ["v1"], host: "h2" });
    await pass(clock, 4 * RETENTION_MILLISECONDS);
    expect(store.value("streams/host.h1")).toBeUndefined();
  });

  test("of a host that is gone is removed once though the answer is lost", async () => {
    const store = new ObjectStoreStandin();
    await startServing(store);
    await ownership[Symbol.asyncDispose]();
    ownership = new Ownership();
    const { clock } = await startHost(store, { versions: ["v1"], host: "h2" });
    store.losesRemovals = true;
    await pass(clock, 4 * RETENTION_MILLISECONDS);
    expect(store.value("streams/host.h1")).toBeUndefined();
    expect(store.removals).toBe(1);
  });

  test("is written again to a store that came back from a copy", async () => {
    const store = new ObjectStoreStandin();
    const { clock } = await startServing(store);
    store.comeBackEmpty();
    await pass(clock, STREAMS_WRITE_MILLISECONDS);
    const next = await startHost(store, { versions: ["v2"], host: "h2" });
    expect(await versionOf(next.streams)).toBe("v2");
  });
});
