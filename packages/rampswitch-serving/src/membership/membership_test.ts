// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { afterEach, describe, expect, test } from "@jest/globals";
import { Result } from "true-myth";
import {
  ManualClock,
  Ownership,
  seededRandom,
  SILENT_LOGGER,
} from "rampswitch-utils";
import type { ObjectStore, StoredObject } from "rampswitch-store";
import { ServingMetrics } from "../observation/mod.ts";
import { Membership, type OwnNews } from "./membership.ts";
import { decodeNews, encodeNews, type PeerNews } from "./peer_news.ts";

const NEWS: OwnNews = {
  stopping: false,
  configurationVersion: 4,
  configurationAge: 120,
  admitted: { large: 5 },
  levels: { large: 90 },
  work: { s1: { running: 2, unreadTokens: 700 } },
  counts: { "17": { large: 3 } },
  dispatches: [{ server: "s1", parts: [{ id: "p", tokens: 40 }] }],
  readTokens: { models: 1_000 },
  lease: { fence: 3, version: 77 },
};

/** A list of hosts that all tests' hosts share. */
function sharedStore(): ObjectStore {
  const objects = new Map<string, StoredObject>();
  let version = 0;
  const unused = () => Promise.reject(new Error("not used by membership"));
  return {
    list: () =>
      Promise.resolve(Result.ok({ version, objects: [...objects.values()] })),
    put: (key, value) => {
      version += 1;
      const object = { key, value, version };
      objects.set(key, object);
      return Promise.resolve(Result.ok(object));
    },
    get: unused,
    remove: unused,
    watch: unused,
  };
}

let ownership = new Ownership();

afterEach(async () => {
  await ownership[Symbol.asyncDispose]();
  ownership = new Ownership();
});

async function openHost(
  host: string,
  shared: {
    readonly store: ObjectStore;
    readonly clock: ManualClock;
    readonly heard: PeerNews[];
    readonly wallTime: number;
  },
): Promise<Membership> {
  return ownership.own(
    await Membership.open(
      {
        host,
        incarnation: `life-of-${host}`,
        address: "127.0.0.1:0",
        store: shared.store,
        hostsPrefix: "hosts/",
        clock: shared.clock,
        wallTime: () => shared.wallTime,
        random: seededRandom(host.length),
        logger: SILENT_LOGGER,
        metrics: new ServingMetrics(),
      },
      {
        ownNews: () => NEWS,
        onNews: (news) => shared.heard.push(news),
        onListed: () => undefined,
      },
    ),
  );
}

/** Lets sockets and promises do their work for one step of the clock. */
async function step(clock: ManualClock, milliseconds: number): Promise<void> {
  clock.advance(milliseconds);
  await new Promise((resolve) => setTimeout(resolve, 5));
}

describe("hosts that start together", () => {
  test("hear each other within two seconds", async () => {
    const clock = new ManualClock(1_000);
    const store = sharedStore();
    const heard: PeerNews[] = [];
    const hosts = await Promise.all(
      ["a", "b", "c"].map((name, index) =>
        openHost(name, { store, clock, heard, wallTime: index * 2_400 }),
      ),
    );
    for (let at = 0; at < 2_000; at += 50) await step(clock, 50);
    expect(hosts.map((host) => host.size)).toEqual([3, 3, 3]);
    expect(heard[0]).toMatchObject(NEWS);
  });

  test("agree on the time of day of most, whatever one clock says", async () => {
    const clock = new ManualClock(1_000);
    const store = sharedStore();
    const shared = { store, clock, heard: [] };
    const right = [
      await openHost("a", { ...shared, wallTime: 500_000 }),
      await openHost("b", { ...shared, wallTime: 500_000 }),
    ];
    const wrong = await openHost("c", { ...shared, wallTime: 502_400 });
    for (let at = 0; at < 2_000; at += 50) await step(clock, 50);
    const agreed = wrong.agreedWallTime();
    right.forEach((host) => {
      expect(Math.abs(host.agreedWallTime() - agreed)).toBeLessThan(600);
    });
  });
});

describe("news on the network", () => {
  test("comes out as it went in", () => {
    const news: PeerNews = {
      ...NEWS,
      host: "a",
      incarnation: "1",
      address: "127.0.0.1:1",
      wallTime: 5,
    };
    const decoded = decodeNews(encodeNews(news));
    expect(decoded.isOk && decoded.value).toEqual(news);
  });

  test.each(["", "{", "[]", '{"h":1}', "\u0000\u0001"])(
    "that can't be read is told: %j",
    (text) => {
      expect(decodeNews(Buffer.from(text)).isErr).toBe(true);
    },
  );
});
