// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import { decodeMessage, encodeMessage } from "./peer_codec.ts";
import type { PeerMessage, PeerNews } from "./peer_news.ts";

// Hosts tell each other of work at servers by id. A server may start again under
// its id, and hosts hear of it at different times, so news names the life that it
// speaks of. While a deployment changes its version, hosts with and without that
// exchange messages: a message that can't be read costs all of its news.

const BORN = 1_796_169_600_123;

const NEWS: PeerNews = {
  host: "h1",
  dataHall: "a",
  cores: 1,
  incarnation: "i",
  sequence: 1,
  address: "127.0.0.1:1",
  wallTime: 1,
  carriedTime: { wallTime: 3, samples: 240 },
  stopping: false,
  configurationVersion: 1,
  configurationAge: undefined,
  followed: { configuration: 1, servers: 1 },
  admitted: {},
  levels: {},
  work: {
    told: { running: 2, unreadTokens: 70, born: BORN },
    untold: { running: 1, unreadTokens: 5, born: undefined },
  },
  counts: {},
  dispatches: [
    { server: "kept", born: BORN + 1, parts: [{ id: "p", tokens: 40 }] },
  ],
  readTokens: {},
  lease: undefined,
  quarantine: [],
  rollouts: [],
  limits: [],
  lentTo: {},
  leaving: [
    { id: "s1", born: BORN, age: 40 },
    { id: "s2", born: undefined, age: 0 },
  ],
};

const MESSAGE: PeerMessage = {
  kind: "news",
  from: "h1",
  wantsDigest: false,
  news: [{ age: 0, news: NEWS }],
};

interface EncodedNews {
  readonly w: unknown;
  readonly d: unknown;
  y?: unknown;
  j?: unknown;
}

/** A message as its sender writes it, to look at and to change. */
function written(): {
  readonly message: unknown;
  readonly news: EncodedNews;
} {
  const message = JSON.parse(encodeMessage(MESSAGE).toString("utf8")) as {
    readonly o: readonly (readonly [number, EncodedNews])[];
  };
  const news = message.o[0]?.[1];
  if (news === undefined) throw new Error("the message holds news");
  return { message, news };
}

describe("news of a life of a server", () => {
  test("comes as it was sent", () => {
    const decoded = decodeMessage(encodeMessage(MESSAGE));
    expect(decoded.unwrapOr(undefined)).toEqual(MESSAGE);
  });

  test("stands where hosts of a former version don't look", () => {
    const { news } = written();
    expect(news.w).toEqual({ told: [2, 70], untold: [1, 5] });
    expect(news.d).toEqual([["kept", [["p", 40]]]]);
  });

  test("is told by no host of a former version", () => {
    const { message, news } = written();
    delete news.y;
    const decoded = decodeMessage(Buffer.from(JSON.stringify(message)));
    const told = decoded.map((one) => (one.kind === "news" ? one.news : []));
    expect(told.unwrapOr([])[0]?.news.work["told"]).toEqual({
      running: 2,
      unreadTokens: 70,
      born: undefined,
    });
  });
});

describe("news of requests under which servers ended", () => {
  const quarantine: PeerNews["quarantine"] = [
    {
      fingerprint: "0123456789abcdef01234567",
      lostLives: { "s1/1796169600123": 350 },
      tried: undefined,
      trials: 0,
      ranWhole: 20,
    },
  ];
  const telling: PeerMessage = {
    kind: "news",
    from: "h1",
    wantsDigest: false,
    news: [{ age: 0, news: { ...NEWS, quarantine } }],
  };

  test("comes as it was sent", () => {
    const decoded = decodeMessage(encodeMessage(telling));
    expect(decoded.unwrapOr(undefined)).toEqual(telling);
  });

  test("takes no byte where there is none", () => {
    expect(written().news).not.toHaveProperty("x");
  });

  test("has a key of its own, which hosts of a former version leave out", () => {
    const text = encodeMessage(telling).toString("utf8");
    const { o } = JSON.parse(text) as {
      o: [number, Record<string, unknown>][];
    };
    const { x, ...former } = o[0]?.[1] ?? {};
    expect(x).toBeDefined();
    expect(former).toEqual(written().news);
  });
});

describe("the time of day that a host carries", () => {
  test("is the clock of a host of a former version, which carries none", () => {
    const { message, news } = written();
    delete news.j;
    const decoded = decodeMessage(Buffer.from(JSON.stringify(message)));
    const told = decoded.map((one) => (one.kind === "news" ? one.news : []));
    expect(told.unwrapOr([])[0]?.news.carriedTime).toEqual({
      wallTime: NEWS.wallTime,
      samples: 1,
    });
  });
});
