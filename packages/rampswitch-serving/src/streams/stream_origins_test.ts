// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import { ManualClock, SILENT_LOGGER } from "rampswitch-utils";
import { KeeperRings } from "./stream_keepers.ts";
import { StreamOrigins } from "./stream_origins.ts";
import {
  NO_STREAM_REPLIES,
  type StreamRecord,
  type StreamReply,
} from "./stream_reply.ts";
import type { KeeperState, KeeperStates } from "./untold_streams.ts";

const SERVICE = "models";
const STREAM = { service: SERVICE, attempt: "a1" };
const SERVER = "s1/1";
const LIFETIME_MILLISECONDS = 4_000;
const RETENTION_MILLISECONDS = 60_000;
const NO_VERSIONS: ReadonlyMap<string, readonly string[]> = new Map();

const CURRENT_LIST = {
  version: 1,
  confirmedAt: 0,
  currentAt: Infinity,
};

/** One host, what it told others, and what these reply. */
function hostOf(initialReplies: readonly StreamReply[] = []) {
  const clock = new ManualClock(0);
  const told: StreamRecord[] = [];
  const state = {
    list: { ...CURRENT_LIST, newestHeard: 1 },
    replies: initialReplies,
    isListConfirmed: true,
    isStoreAway: false,
    queries: 0,
    confirmations: 0,
    isComplete: true,
    isMajority: true,
    keepers: NO_STREAM_REPLIES.keepers,
    areHostsListed: true,
    hasRead: false,
    /** What the host learns from the store's answers. */
    confirmed: () => undefined,
    read: () => undefined,
  };
  const streams = new StreamOrigins({
    clock,
    logger: SILENT_LOGGER,
    serverList: () => state.list,
    confirmList: () => {
      state.confirmations += 1;
      state.confirmed();
      return Promise.resolve(state.isListConfirmed);
    },
    isStoreAway: () => state.isStoreAway,
    areHostsListed: () => state.areHostsListed,
    tell: (record) => told.push(record),
    query: () => {
      state.queries += 1;
      const { replies, isComplete, isMajority, keepers } = state;
      return Promise.resolve({ replies, isComplete, isMajority, keepers });
    },
    readStored: () => {
      state.read();
      return Promise.resolve(state.hasRead);
    },
  });
  const list = (id: string, version: string) =>
    streams.listed({ id, service: SERVICE, version });
  const begin = (version: string) =>
    streams.began(
      { ...STREAM, version, lifetimeMilliseconds: LIFETIME_MILLISECONDS },
      SERVER,
    );
  return { clock, told, state, streams, list, begin };
}

type Host = ReturnType<typeof hostOf>;

const RECORD: StreamRecord = {
  ...STREAM,
  version: "v1",
  serverId: "s1",
  lifetimeMilliseconds: LIFETIME_MILLISECONDS,
};

/** Stored by another host than the one that reads it. */
const NOT_OWN = { isOwn: false };

const KNOWN: StreamReply = { kind: "known", version: "v2" };
const UNKNOWN: StreamReply = { kind: "unknown" };
const LOST = { kind: "lost" };
const SINGLE_V1 = { kind: "known", version: "v1", source: "single" };
const RECENT: StreamReply = { kind: "single_recently", version: "v1" };

const GAP: StreamReply = { kind: "single_since_gap", version: "v1" };

const LONG_RUNNING: KeeperState = {
  runningMilliseconds: 2 * RETENTION_MILLISECONDS,
  listAgeMilliseconds: 0,
};

/** Two hosts that have run for long, and whose lists were just confirmed. */
const UNTOLD: KeeperStates = {
  vouchers: [LONG_RUNNING],
  keepers: [LONG_RUNNING, LONG_RUNNING],
  isOwnKeeper: false,
  isWholeFleetHeard: true,
};

function single(version: string): StreamReply {
  return { kind: "single", version };
}

// Guards against streams of an incarnation that no entry names yet: they count as begun
// by the listed version, or are refused although the entry comes and tells it.
describe("a stream of an incarnation that is not listed yet", () => {
  const marked = () => {
    const host = hostOf();
    host.streams.restoreVersions(NO_VERSIONS, { isComplete: true });
    host.streams.listed({ ...RECORD, id: "s1", version: "v1", born: 1 });
    host.begin("v1");
    host.streams.begunByStart(SERVER, { start: 2, since: 0 });
    return host;
  };

  test("is told and stored without a version at once", async () => {
    const { streams, told, clock } = marked();
    const expected = {
      ...STREAM,
      version: undefined,
      serverId: "s1",
      start: 2,
    };
    expect(told).toMatchObject([expected]);
    expect(streams.storable).toMatchObject([expected]);
    expect(streams.mayBeOf(STREAM, "v1")).toBe(false);
    expect(await streams.find(STREAM)).toEqual({ kind: "unknown" });
    clock.advance(3_000);
    expect(await streams.find(STREAM)).toEqual(LOST);
  });

  test.each(["v1", "v2"])(
    "is of the version that the entry tells: %s",
    (version) => {
      const { streams, told } = marked();
      const others = ["told", "stored"].map((how) => {
        const other = hostOf();
        if (how === "told") told.forEach((one) => other.streams.receive(one));
        else other.streams.restoreStreams(streams.storable, NOT_OWN);
        return other.streams;
      });
      [streams, ...others].forEach((one) => {
        one.listed({ ...RECORD, id: "s1", version, born: 2 });
        one.becameOtherVersion(SERVER);
        expect(one.mayBeOf(STREAM, version)).toBe(true);
        expect(one.mayBeOf(STREAM, "v3")).toBe(false);
      });
    },
  );
});

describe("the version that began a stream", () => {
  test("costs nothing while a service has one version and no stream breaks", () => {
    const { clock, told, state, streams, list, begin } = hostOf();
    streams.restoreVersions(NO_VERSIONS, { isComplete: true });
    list("s1", "v1");
    begin("v1");
    clock.advance(RETENTION_MILLISECONDS);
    expect(told).toEqual([]);
    expect([state.queries, state.confirmations]).toEqual([0, 0]);
  });

  test("is asked of peers alone while all of them reply", async () => {
    const { clock, state, streams, list } = hostOf([single("v1")]);
    list("s1", "v1");
    clock.advance(RETENTION_MILLISECONDS);
    expect(await streams.find(STREAM)).toEqual(SINGLE_V1);
    expect([state.queries, state.confirmations]).toEqual([1, 0]);
  });

  test.each([
    ["the store confirms the list", { isListConfirmed: true }, "v1"],
    ["no host hears from the store", { isStoreAway: true }, "v1"],
    [
      "two hosts were there and were told of no other",
      { keepers: UNTOLD },
      "v1",
    ],
    [
      "two such hosts reply, but others have read a newer list",
      {
        keepers: UNTOLD,
        list: { ...CURRENT_LIST, newestHeard: 2 },
      },
      undefined,
    ],
    ["the store answers others alone", {}, undefined],
    [
      "most other hosts aren't heard and the store doesn't answer",
      { isComplete: true, isMajority: false },
      undefined,
    ],
    [
      "a host knows no version yet and the store doesn't answer",
      { isComplete: true, replies: [{ kind: "none" }, single("v1")] },
      undefined,
    ],
    [
      "a host knows no version yet and the store confirms the list",
      {
        isComplete: true,
        isListConfirmed: true,
        replies: [{ kind: "none" }, single("v1")],
      },
      "v1",
    ],
    [
      "others have read a newer list",
      {
        isStoreAway: true,
        list: { ...CURRENT_LIST, newestHeard: 2 },
      },
      undefined,
    ],
  ] as const)(
    "with one version and a silent host, is found only from a list that can't be old: %s",
    async (_, changed, version) => {
      const { clock, state, streams, list } = hostOf([single("v1")]);
      list("s1", "v1");
      clock.advance(RETENTION_MILLISECONDS);
      Object.assign(
        state,
        { isComplete: false, isListConfirmed: false },
        changed,
      );
      const origin = await streams.find(STREAM);
      expect(origin.kind === "known" ? origin.version : undefined).toBe(
        version,
      );
    },
  );

  test("is refused after one call to a store that does not answer", async () => {
    const { clock, state, streams, list } = hostOf([single("v1")]);
    list("s1", "v1");
    clock.advance(RETENTION_MILLISECONDS);
    Object.assign(state, { isComplete: false, isListConfirmed: false });
    expect(await streams.find(STREAM)).toEqual(UNKNOWN);
    expect(state.confirmations).toBe(1);
  });

  test("is not vouched for by a host whose list is older than another's", () => {
    const { clock, state, streams, list } = hostOf();
    list("s1", "v1");
    clock.advance(RETENTION_MILLISECONDS);
    expect(streams.replyTo(STREAM)).toEqual(single("v1"));
    state.list = { ...CURRENT_LIST, newestHeard: 2 };
    expect(streams.replyTo(STREAM)).toEqual(RECENT);
  });

  test("is told before the first event where there are several", () => {
    const { told, list, begin } = hostOf();
    list("s1", "v1");
    list("s2", "v2");
    begin("v2");
    expect(told.map(({ version }) => version)).toEqual(["v2"]);
  });

  test("is told of streams that run when a second version appears", () => {
    const { clock, told, streams, list, begin } = hostOf();
    streams.restoreVersions(NO_VERSIONS, { isComplete: true });
    list("s1", "v1");
    begin("v1");
    streams.began(
      {
        ...STREAM,
        attempt: "whole",
        version: "v1",
        lifetimeMilliseconds: LIFETIME_MILLISECONDS,
      },
      SERVER,
    );
    streams.completed({ service: SERVICE, attempt: "whole" });
    clock.advance(1_000);
    list("s2", "v2");
    expect(told.map(({ attempt }) => attempt)).toEqual(["a1"]);
  });

  test("is known as long as its caller may come, here and where it was told", async () => {
    const { clock, streams, list, begin } = hostOf();
    list("s1", "v1");
    list("s2", "v2");
    begin("v1");
    streams.receive({
      ...STREAM,
      attempt: "a2",
      version: "v2",
      lifetimeMilliseconds: LIFETIME_MILLISECONDS,
    });
    clock.advance(LIFETIME_MILLISECONDS);
    const versions = ["a1", "a2"].map((attempt) =>
      streams.replyTo({ ...STREAM, attempt }),
    );
    const begun = {
      version: "v1",
      serverId: "s1",
      ageMilliseconds: LIFETIME_MILLISECONDS,
    };
    expect(versions).toEqual([{ ...KNOWN, ...begun }, KNOWN]);
    clock.advance(LIFETIME_MILLISECONDS);
    expect(await streams.find(STREAM)).toEqual(UNKNOWN);
  });

  test.each([
    ["one that knows it", [UNKNOWN, KNOWN], "v2"],
    ["one that has seen the same version alone", [single("v1")], "v1"],
    ["one that has seen another version alone", [single("v2")], undefined],
    ["one that has seen several", [single("v1"), UNKNOWN], undefined],
    ["nobody, since all have just started", [RECENT, RECENT], undefined],
    ["nobody, since no other host is there", [], undefined],
  ] as const)(
    "found by a host that has just started at %s",
    async (_, replies, version) => {
      const { streams, list } = hostOf(replies);
      list("s1", "v1");
      const origin = await streams.find(STREAM);
      expect(origin.kind === "known" ? origin.version : undefined).toBe(
        version,
      );
    },
  );

  test.each([
    ["a server of another version was removed", "v1"],
    ["a server changed its version", "v3"],
  ])("is not guessed after %s", async (_, after) => {
    const { clock, streams, list } = hostOf();
    list("s1", "v1");
    list("s2", "v2");
    list("s2", after);
    streams.removed("s2");
    clock.advance(RETENTION_MILLISECONDS - 1);
    expect(await streams.find(STREAM)).toEqual(UNKNOWN);
  });

  test("can't be told after its server became another one shortly after", async () => {
    const { clock, told, streams, list, begin } = hostOf();
    list("s1", "v1");
    list("s2", "v2");
    begin("v1");
    clock.advance(500);
    streams.becameOtherVersion(SERVER);
    expect(streams.isUncertain(STREAM)).toBe(true);
    expect(await streams.find(STREAM)).toEqual(LOST);
    expect(told.map(({ version }) => version)).toEqual(["v1", undefined]);
  });

  test("is still known if its server became another one much later", () => {
    const { clock, streams, list, begin } = hostOf();
    list("s1", "v1");
    begin("v1");
    clock.advance(3_000);
    streams.becameOtherVersion(SERVER);
    const begun = { version: "v1", serverId: "s1", ageMilliseconds: 3_000 };
    expect(streams.replyTo(STREAM)).toEqual({ ...KNOWN, ...begun });
  });

  test.each([
    [500, { kind: "uncertain" }],
    [3_000, { ...KNOWN, version: "v1" }],
  ])(
    "is what it was told of, unless its server is another one %i ms later",
    (milliseconds, expected) => {
      const { clock, streams, list } = hostOf();
      list("s1", "v1");
      list("s2", "v2");
      streams.receive({
        ...STREAM,
        version: "v1",
        serverId: "s1",
        lifetimeMilliseconds: LIFETIME_MILLISECONDS,
      });
      clock.advance(milliseconds);
      list("s1", "v2");
      expect(streams.replyTo(STREAM)).toEqual(expected);
    },
  );

  /** A host that was told of a stream, and lists its server with some versions. */
  const toldHost = (...versions: readonly string[]) => {
    const host = hostOf();
    host.list("s2", "v2");
    versions.slice(0, 1).forEach((version) => host.list("s1", version));
    host.streams.receive(RECORD);
    versions.slice(1).forEach((version) => host.list("s1", version));
    return host.streams;
  };

  // Guards against streams that end although their version is certain: they are told once
  // a server is back as a second version, and began long before that.
  test("is still known to a host that was told of it when its server changed", () => {
    const { clock, told, list, begin } = hostOf();
    list("s1", "v1");
    begin("v1");
    clock.advance(3_000);
    list("s1", "v2");
    const other = hostOf();
    other.clock.advance(7_000);
    other.list("s1", "v1");
    told.forEach((record) => other.streams.receive(record));
    other.list("s1", "v2");
    const reply = { ...KNOWN, version: "v1" };
    expect(other.streams.replyTo(STREAM)).toEqual(reply);
  });

  // Guards against streams that a server began as another version while the store was
  // silent, so that no host could list it.
  test("can't be told if its server changed while the list was old", () => {
    const { clock, state, streams, list, begin } = hostOf();
    list("s1", "v1");
    streams.receive({ ...RECORD, attempt: "before" });
    clock.advance(3_000);
    begin("v1");
    streams.receive({ ...RECORD, attempt: "told" });
    clock.advance(2_500);
    state.list = { ...state.list, currentAt: 4_000 };
    list("s1", "v2");
    streams.becameOtherVersion(SERVER);
    const uncertain = ["before", STREAM.attempt, "told"].filter((attempt) =>
      streams.isUncertain({ ...STREAM, attempt }),
    );
    expect(uncertain).toEqual([STREAM.attempt, "told"]);
  });

  // Guards against a take-up that joins two versions, since the first host that replies
  // has an old list and another one knows better.
  test.each([
    ["another one names another version", () => KNOWN],
    [
      "another one lists its server as another one",
      () => toldHost("v1", "v2").replyTo(STREAM),
    ],
  ])("is not taken from a host that knows it if %s", async (_, other) => {
    const replies = [toldHost("v1").replyTo(STREAM), other()];
    const found = [replies, replies.toReversed()].map((ordered) => {
      const { state, streams, list } = hostOf(ordered);
      list("s3", "v1");
      state.hasRead = true;
      return streams.find(STREAM);
    });
    expect(await Promise.all(found)).toEqual([LOST, LOST]);
  });

  test("is not taken from this host's old list if others know better", async () => {
    const { state, streams, list, begin } = hostOf([
      toldHost("v1", "v2").replyTo(STREAM),
    ]);
    list("s1", "v1");
    begin("v1");
    state.list = { ...CURRENT_LIST, newestHeard: 2 };
    expect(await streams.find(STREAM)).toEqual(LOST);
  });

  test.each([
    [500, LOST],
    [3_000, { ...KNOWN, version: "v1", source: "queried" }],
  ])(
    "is what others know, unless its server is listed here as another one %i ms later",
    async (milliseconds, expected) => {
      const other = hostOf();
      other.list("s1", "v1");
      other.streams.receive(RECORD);
      const { clock, state, streams, list } = hostOf();
      list("s1", "v1");
      [clock, other.clock].forEach((each) => each.advance(milliseconds));
      list("s1", "v2");
      state.replies = [other.streams.replyTo(STREAM)];
      state.hasRead = true;
      expect(await streams.find(STREAM)).toEqual(expected);
    },
  );

  test("can't be told where its server is first listed as another one", () => {
    const { clock, streams, list } = hostOf();
    list("s2", "v2");
    streams.receive(RECORD);
    clock.advance(3_000);
    list("s1", "v2");
    expect(streams.isUncertain(STREAM)).toBe(true);
  });

  test.each([
    ["that it can't be told", undefined, "receive"],
    ["of another version", "v2", "receive"],
    ["of another version by what is stored", "v2", "restoreStreams"],
  ] as const)("can't be told once this host was told %s", (_, version, way) => {
    const { streams, list } = hostOf();
    list("s2", "v2");
    [{ ...RECORD, version }, RECORD].forEach((record) => {
      if (way === "receive") streams.receive(record);
      else streams.restoreStreams([record], { isOwn: false });
    });
    expect(streams.isUncertain(STREAM)).toBe(true);
  });

  test.each([
    ["the store was not read", { hasRead: false }],
    ["a host did not reply", { isComplete: false }],
    ["the hosts are not listed yet", { areHostsListed: false }],
  ])("may be known later if %s", async (_, lacking) => {
    const { state, streams, list } = hostOf([UNKNOWN]);
    list("s1", "v1");
    Object.assign(state, { hasRead: true }, lacking);
    expect(await streams.find(STREAM)).toEqual(UNKNOWN);
  });

  test("is lost if neither the store nor any host knows it", async () => {
    const { state, streams, list } = hostOf([UNKNOWN]);
    list("s1", "v1");
    state.hasRead = true;
    expect(await streams.find(STREAM)).toEqual(LOST);
  });

  test("is not taken from a list that may be old", async () => {
    const { clock, streams, list } = hostOf([KNOWN]);
    list("s1", "v1");
    clock.advance(RETENTION_MILLISECONDS);
    expect(await streams.find(STREAM)).toEqual({ ...KNOWN, source: "queried" });
  });
});

describe("a stream of the only version, after its host missed changes of the list", () => {
  const missing = (replies: readonly StreamReply[]) => {
    const host = hostOf(replies);
    host.list("s1", "v1");
    host.clock.advance(RETENTION_MILLISECONDS);
    host.streams.missedChanges();
    host.state.hasRead = true;
    host.state.areHostsListed = false;
    return host;
  };

  test.each([
    ["goes on if a host that missed none agrees", [single("v1")], "v1"],
    ["goes on if another one that missed some agrees", [GAP], "v1"],
    ["isn't guessed if the others have just started", [RECENT], undefined],
    ["isn't guessed if no host replies", [], undefined],
  ] as const)("%s", async (_, replies, version) => {
    const { streams } = missing(replies);
    const origin = await streams.find(STREAM);
    expect(origin.kind === "known" ? origin.version : undefined).toBe(version);
  });

  test("isn't guessed if a host is silent", async () => {
    const { state, streams } = missing([GAP]);
    state.isComplete = false;
    expect(await streams.find(STREAM)).toEqual(UNKNOWN);
  });

  test.each([
    ["the store can't be read", { hasRead: false }],
    ["this host hears few others", { isMajority: false }],
  ])("isn't guessed by two such hosts if %s", async (_, changed) => {
    const { state, streams } = missing([GAP]);
    Object.assign(state, changed);
    expect(await streams.find(STREAM)).toEqual(UNKNOWN);
  });

  test("isn't guessed from stored versions, which may be older", async () => {
    const { streams } = missing([]);
    streams.restoreVersions(new Map([[SERVICE, ["v1"]]]), { isComplete: true });
    expect(await streams.find(STREAM)).toEqual(UNKNOWN);
  });

  test("goes on once no stream is as old as the gap", async () => {
    const { clock, streams } = missing([]);
    clock.advance(RETENTION_MILLISECONDS);
    expect(await streams.find(STREAM)).toEqual(SINGLE_V1);
  });
});

describe("a host whose list of servers is older than another's", () => {
  const BEHIND = { ...CURRENT_LIST, newestHeard: 2 };

  test("counts a version as serving that another host began a stream at", () => {
    const { streams, list } = hostOf();
    list("s1", "v1");
    streams.receive({
      ...STREAM,
      version: "v2",
      lifetimeMilliseconds: LIFETIME_MILLISECONDS,
    });
    expect([...streams.mixedServices]).toEqual([SERVICE]);
    expect(streams.replyTo({ ...STREAM, attempt: "other" })).toEqual(UNKNOWN);
  });

  test("counts a version as serving for as long as streams begin at it", () => {
    const { clock, streams, list } = hostOf();
    list("s1", "v1");
    list("s2", "v2");
    streams.removed("s2");
    clock.advance(RETENTION_MILLISECONDS - 1);
    streams.receive({
      ...STREAM,
      version: "v2",
      lifetimeMilliseconds: LIFETIME_MILLISECONDS,
    });
    clock.advance(LIFETIME_MILLISECONDS);
    expect(streams.replyTo({ ...STREAM, attempt: "other" })).toEqual(UNKNOWN);
  });

  test("learns a version from the reply to a query", async () => {
    const { streams, list } = hostOf([KNOWN]);
    list("s1", "v1");
    await streams.find(STREAM);
    expect([...streams.mixedServices]).toEqual([SERVICE]);
  });

  test("tells of the streams that it begins, though it sees one version", () => {
    const { state, told, list, begin } = hostOf();
    list("s1", "v1");
    state.list = BEHIND;
    begin("v1");
    expect(told.map(({ version }) => version)).toEqual(["v1"]);
  });

  test("doesn't count a version as gone that it hasn't listed", () => {
    const { clock, state, streams, list } = hostOf();
    list("s1", "v1");
    state.list = BEHIND;
    clock.advance(RETENTION_MILLISECONDS);
    const version = { service: SERVICE, version: "v2" };
    expect(streams.goneMilliseconds(version)).toBe(0);
  });
});

test.each([
  ["table", ({ begin }: Host) => begin("v1")],
  ["told", ({ streams }: Host) => streams.receive(RECORD)],
  [
    "stored",
    ({ streams }: Host) => streams.restoreStreams([RECORD], { isOwn: false }),
  ],
  [
    "stored",
    ({ streams }: Host) => streams.restoreStreams([RECORD], { isOwn: true }),
  ],
] as const)(
  "a version that is found names its evidence: %s",
  async (source, note) => {
    const host = hostOf();
    note(host);
    const version = "v1";
    const origin = { kind: "known", version, source, serverId: "s1" };
    expect(await host.streams.find(STREAM)).toEqual(origin);
  },
);

describe("the versions that served before a host started", () => {
  const restored = (versions: readonly string[], isComplete = true) => {
    const host = hostOf([RECENT]);
    host.list("s1", "v1");
    host.streams.restoreVersions(new Map([[SERVICE, versions]]), {
      isComplete,
    });
    return host;
  };

  test.each([
    ["goes on if it was the only one", restored(["v1"]), "v1"],
    ["is not guessed if there were several", restored(["v1", "v2"]), undefined],
    ["is not guessed if it was another one", restored(["v2"]), undefined],
    ["is not guessed if there may be more", restored(["v1"], false), undefined],
  ] as const)("the listed one %s", async (_, { streams }, found) => {
    const origin = await streams.find(STREAM);
    expect(origin.kind === "known" ? origin.version : undefined).toBe(found);
  });

  test("count as just ended for a host that reads of them", () => {
    const { clock, streams } = restored(["v1", "v2"]);
    clock.advance(RETENTION_MILLISECONDS);
    expect(streams.versions.get(SERVICE)).toEqual(["v1", "v2"]);
    clock.advance(1);
    expect(streams.versions.get(SERVICE)).toEqual(["v1"]);
  });

  test("make a host tell of the streams that it began before it read of them", () => {
    const { told, streams, list, begin } = hostOf();
    list("s1", "v1");
    begin("v1");
    told.splice(0);
    streams.restoreVersions(new Map([[SERVICE, ["v2"]]]), { isComplete: true });
    expect(told.map(({ attempt }) => attempt)).toEqual(["a1"]);
  });

  test("make a host tell of the streams that it begins while it may lack some", () => {
    const { told, streams, list, begin } = hostOf();
    list("s1", "v1");
    begin("v1");
    streams.restoreVersions(NO_VERSIONS, { isComplete: true });
    begin("v1");
    expect(told.length).toBe(1);
    streams.missedChanges();
    begin("v1");
    expect(told.length).toBe(2);
  });
});

describe("hosts that keep a stream's version", () => {
  const hosts = Array.from({ length: 24 }, (_, index) => ({
    name: `h${index}`,
    dataHall: index < 18 ? "a" : "b",
  }));

  test("are of different data halls and differ between streams", () => {
    const rings = new KeeperRings(hosts);
    const first = rings.keepersOf("s/1", 4);
    expect(first.length).toBe(4);
    expect(new Set(first.map(({ dataHall }) => dataHall)).size).toBe(2);
    const others = ["s/2", "s/3", "s/4"].map((key) => rings.keepersOf(key, 4));
    expect(others).not.toEqual(others.map(() => first));
  });

  test("are among those that are queried after half of all hosts ended", () => {
    const all = new KeeperRings(hosts);
    const left = new KeeperRings(hosts.filter((_, index) => index % 2 === 0));
    const names = Array.from({ length: 200 }, (_, index) => `s/${index}`);
    const found = names.filter((name) => {
      const queried = left.keepersOf(name, 8);
      return all.keepersOf(name, 4).some((host) => queried.includes(host));
    });
    // A sixteenth of the streams has lost all its four keepers.
    expect(found.length).toBeGreaterThanOrEqual(175);
  });

  test("are all hosts of a small fleet, each once", () => {
    const few = hosts.slice(16, 21);
    const keepers = new KeeperRings(few).keepersOf("s/1", 8);
    expect(new Set(keepers)).toEqual(new Set(few));
    expect(keepers.length).toBe(few.length);
  });
});

// Guards against hosts that know of a stream that it can't be told, and forget it once
// its server leaves the list, or is listed as another version again.
test.each([
  ["is removed", ({ streams }: Host) => streams.removed("s1")],
  ["is back as the former version", ({ list }: Host) => list("s1", "v1")],
  [
    "is listed as a third version much later",
    ({ clock, list }: Host) => {
      clock.advance(3_000);
      list("s1", "v3");
    },
  ],
] as const)(
  "a stream's version still can't be told when its server %s",
  async (_, change) => {
    const other = hostOf();
    other.streams.receive(RECORD);
    const keeper = hostOf();
    keeper.streams.receive(RECORD);
    const asking = hostOf([other.streams.replyTo(STREAM)]);
    asking.state.hasRead = true;
    [keeper, asking].forEach((host) => {
      host.list("s1", "v1");
      host.list("s2", "v1");
      host.clock.advance(500);
      host.list("s1", "v2");
    });
    const before = keeper.streams.isUncertain(STREAM);
    [keeper, asking].forEach(change);
    const found = await asking.streams.find(STREAM);
    expect([before, keeper.streams.isUncertain(STREAM), found]).toEqual([
      true,
      true,
      LOST,
    ]);
  },
);

// Guards against refusals of what a server began as the version that it has by now.
test("a stream's version can be told though its server had another one before", () => {
  const { clock, streams, list } = hostOf();
  list("s1", "v1");
  clock.advance(500);
  // The host that told of it has a newer list.
  streams.receive({ ...RECORD, version: "v2" });
  clock.advance(1);
  list("s1", "v2");
  const isUncertain = [streams.isUncertain(STREAM)];
  list("s1", "v1");
  clock.advance(1);
  const later = { ...RECORD, attempt: "a2" };
  streams.receive(later);
  isUncertain.push(streams.isUncertain(later));
  expect(isUncertain).toEqual([false, false]);
});

// Guards against a stream that goes on though its server is listed as another version
// while a server is chosen for it.
test("a version that another host named can't be told once its server is listed here as another one", async () => {
  const other = hostOf();
  other.streams.receive(RECORD);
  const { streams, list } = hostOf([other.streams.replyTo(STREAM)]);
  list("s1", "v1");
  list("s2", "v1");
  expect(await streams.find(STREAM)).toMatchObject({ version: "v1" });
  list("s1", "v2");
  expect(streams.isUncertain(STREAM)).toBe(true);
});

// Guards against hosts that count the time before their first list as knowledge.
test("a host that has just listed its first server doesn't know what served before", () => {
  const { clock, streams, list } = hostOf();
  clock.advance(RETENTION_MILLISECONDS);
  list("s1", "v1");
  expect([streams.isPastKnown, streams.replyTo(STREAM)]).toEqual([
    false,
    RECENT,
  ]);
});

// Guards against a host that knows that its list is old, and goes by it, since no host
// that replies keeps the stream.
test.each([
  ["told", ({ streams }: Host) => streams.receive(RECORD)],
  ["stored", ({ streams }: Host) => streams.restoreStreams([RECORD], NOT_OWN)],
  [
    "stored, and read only now",
    ({ state, streams }: Host) =>
      Object.assign(state, {
        hasRead: true,
        read: () => streams.restoreStreams([RECORD], NOT_OWN),
      }),
  ],
] as const)(
  "a version is not taken from an old list where nobody else keeps the stream: %s",
  async (_, note) => {
    const host = hostOf([UNKNOWN, UNKNOWN]);
    host.list("s1", "v1");
    note(host);
    host.state.list = { ...CURRENT_LIST, newestHeard: 2 };
    host.state.isListConfirmed = false;
    expect((await host.streams.find(STREAM)).kind).not.toBe("known");
  },
);

test.each([
  ["is as before", "v1", { ...KNOWN, version: "v1", source: "told" }],
  ["is another one", "v2", LOST],
])(
  "a version is taken from an old list as the store confirms it: its server %s",
  async (_, version, expected) => {
    const { state, streams, list } = hostOf([UNKNOWN]);
    list("s1", "v1");
    streams.receive(RECORD);
    Object.assign(state, {
      list: { ...CURRENT_LIST, newestHeard: 2 },
      confirmed: () => list("s1", version),
    });
    expect(await streams.find(STREAM)).toMatchObject(expected);
  },
);

// Guards against streams that are refused since a record was read or told once more.
test.each([
  ["read", ({ streams }: Host) => streams.restoreStreams([RECORD], NOT_OWN)],
  ["told", ({ streams }: Host) => streams.receive(RECORD)],
] as const)("a stream that is %s again counts as no younger", (_, note) => {
  const host = hostOf();
  host.list("s1", "v1");
  note(host);
  host.clock.advance(2_500);
  host.list("s1", "v2");
  const before = host.streams.isUncertain(STREAM);
  note(host);
  expect([before, host.streams.isUncertain(STREAM)]).toEqual([false, false]);
});

// Guards against a stream that is dated by its begin, though its server gave events of it
// again when it may have been another version.
test("a stream that is taken up at its server counts from then", () => {
  const { clock, streams, list, begin } = hostOf();
  list("s1", "v1");
  streams.receive(RECORD);
  clock.advance(2_500);
  begin("v1");
  list("s1", "v2");
  streams.becameOtherVersion(SERVER);
  expect(streams.isUncertain(STREAM)).toBe(true);
});

// Guards against a host that knows that its list is old, and goes by what another host with
// an old list replies: the stream's server is another version by now.
test("a version is not taken from another host's old list by a host with an old list", async () => {
  const keeper = hostOf();
  keeper.list("s1", "v1");
  keeper.streams.receive(RECORD);
  const { state, streams, list } = hostOf([keeper.streams.replyTo(STREAM)]);
  list("s1", "v1");
  list("s2", "v1");
  Object.assign(state, {
    list: { ...CURRENT_LIST, newestHeard: 2 },
    confirmed: () => list("s1", "v2"),
  });
  expect((await streams.find(STREAM)).kind).not.toBe("known");
});

// Guards against refusals of streams that a host with an old list can tell the version of,
// and against callers that are told to give up.
test.each([
  ["known, as the store is away for all", { isStoreAway: true }, "known"],
  [
    "known, as the stream is older than what the list lacks",
    { list: { ...CURRENT_LIST, newestHeard: 2, currentAt: 9_000 } },
    "known",
  ],
  ["unknown for now, as the store answers others", {}, "unknown"],
])(
  "a version that another host names, where the store confirms nothing, is %s",
  async (_, changed, expected) => {
    const { clock, state, streams, list } = hostOf([
      { ...KNOWN, serverId: "s2", ageMilliseconds: 5_000 },
    ]);
    list("s2", "v2");
    clock.advance(10_000);
    state.list = { ...CURRENT_LIST, newestHeard: 2, currentAt: 6_000 };
    Object.assign(state, { isListConfirmed: false, hasRead: true }, changed);
    expect((await streams.find(STREAM)).kind).toBe(expected);
  },
);

// Guards against a host that first listed a server as the version that came between, and
// takes a record from that time for one of the version that the server has again.
test("a version can't be told that a server had before and after the one that it was listed with then", () => {
  const { clock, streams, list } = hostOf();
  list("s1", "v2");
  clock.advance(1_000);
  // Told by a host that had not read yet that the server was another one.
  streams.receive(RECORD);
  const before = streams.isUncertain(STREAM);
  clock.advance(4_000);
  list("s1", "v1");
  expect([before, streams.isUncertain(STREAM)]).toEqual([true, true]);
});

// Guards against a doubt that ends with all hosts: a host knows that it can't be told which
// version began a stream of its former process, and stores the version nevertheless.
test("a stream that can't be told is stored as such, though a former process served it", () => {
  const { streams, list } = hostOf();
  streams.restoreStreams([RECORD], { isOwn: true });
  list("s2", "v1");
  list("s1", "v2");
  expect(streams.isUncertain(STREAM)).toBe(true);
  expect(streams.storable.map(({ version }) => version)).toEqual([undefined]);
});
