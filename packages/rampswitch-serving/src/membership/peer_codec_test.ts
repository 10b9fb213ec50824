// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { deflateRawSync } from "node:zlib";
import { describe, expect, test } from "@jest/globals";
import { decodeMessage, encodeMessage } from "./peer_codec.ts";
import type { PeerMessage, PeerUpdate } from "./peer_messages.ts";

// Hosts report work at servers by id. A server may restart under the same id, and
// hosts learn of that at different times, so an update names the incarnation it
// refers to. While a deployment changes its version, hosts with and without this
// field exchange messages: a message that can't be read loses all of its updates.

const BORN = 1_796_169_600_123;

const UPDATE: PeerUpdate = {
  host: "h1",
  dataHall: "a",
  cores: 1,
  incarnation: "i",
  sequence: 1,
  address: "127.0.0.1:1",
  wallTime: 1,
  timeEstimate: { wallTime: 3, samples: 240 },
  stopping: false,
  configurationVersion: 1,
  configurationAge: undefined,
  followed: { configuration: 1, servers: 1 },
  admitted: {},
  levels: {},
  work: {
    dated: { running: 2, pendingPrefillTokens: 70, born: BORN },
    undated: { running: 1, pendingPrefillTokens: 5, born: undefined },
  },
  counts: {},
  dispatches: [
    { server: "cached", born: BORN + 1, parts: [{ id: "p", tokens: 40 }] },
  ],
  readTokens: {},
  lease: undefined,
  promptParts: [],
  arrivals: {},
  quarantine: [],
  rollouts: [],
  limits: [],
  lentTo: {},
  slowdowns: [],
  leaving: [
    { id: "s1", born: BORN, age: 40 },
    { id: "s2", born: undefined, age: 0 },
  ],
  lostServers: [{ id: "s3", born: BORN, age: 12 }],
  brittle: [{ id: "s1", born: undefined, bound: 5, age: 3, rejections: 1 }],
  outOfReach: ["s1"],
  returns: [
    { key: "0123456789abcdef", id: 9, dueIn: 400, rank: 102, kept: false },
  ],
};

const MESSAGE: PeerMessage = {
  kind: "updates",
  from: "h1",
  wantsDigest: false,
  readsSharedDigest: false,
  updates: [{ age: 0, update: UPDATE }],
};

interface EncodedUpdate {
  readonly w: unknown;
  readonly d: unknown;
  y?: unknown;
  j?: unknown;
}

/** The encoded message and its update, which a test may change. */
function writtenMessage(): {
  readonly message: unknown;
  readonly update: EncodedUpdate;
} {
  const message = JSON.parse(encodeMessage(MESSAGE).toString("utf8")) as {
    readonly o: readonly (readonly [number, EncodedUpdate])[];
  };
  const update = message.o[0]?.[1];
  if (update === undefined) throw new Error("the message has no update");
  return { message, update };
}

describe("the server incarnation in an update", () => {
  test("is decoded as it was encoded", () => {
    const decoded = decodeMessage(encodeMessage(MESSAGE));
    expect(decoded.unwrapOr(undefined)).toEqual(MESSAGE);
  });

  test("is not in a field that hosts of an earlier version read", () => {
    const { update } = writtenMessage();
    expect(update.w).toEqual({ dated: [2, 70], undated: [1, 5] });
    expect(update.d).toEqual([["cached", [["p", 40]]]]);
  });

  test("is undefined in an update of a host of an earlier version", () => {
    const { message, update } = writtenMessage();
    delete update.y;
    const decoded = decodeMessage(Buffer.from(JSON.stringify(message)));
    const updates = decoded.map((one) =>
      one.kind === "updates" ? one.updates : [],
    );
    expect(updates.unwrapOr([])[0]?.update.work["dated"]).toEqual({
      running: 2,
      pendingPrefillTokens: 70,
      born: undefined,
    });
  });
});

describe("arrivals of a host", () => {
  test.each([{}, { models: 12.5 }, undefined])(
    "are decoded as they were encoded: %j",
    (arrivals) => {
      const message: PeerMessage = {
        kind: "updates",
        from: "h1",
        wantsDigest: false,
        readsSharedDigest: false,
        updates: [{ age: 0, update: { ...UPDATE, arrivals } }],
      };
      const decoded = decodeMessage(encodeMessage(message));
      expect(decoded.unwrapOr(undefined)).toEqual(message);
    },
  );
});

/** Guards against relays that decode each update once for each relay that forwards it. */
describe("an update that was applied before", () => {
  test("is left out, and the others of the message are decoded", () => {
    const newer = { ...UPDATE, sequence: 2 };
    const datagram = encodeMessage({
      kind: "updates",
      from: "h1",
      wantsDigest: true,
      readsSharedDigest: true,
      updates: [
        { age: 0, update: UPDATE },
        { age: 0, update: newer },
      ],
    });
    const decoded = decodeMessage(
      datagram,
      (host, incarnation, sequence) =>
        host === "h1" && incarnation === "i" && sequence <= 1,
    );
    expect(decoded.unwrapOr(undefined)).toEqual({
      kind: "updates",
      from: "h1",
      wantsDigest: true,
      readsSharedDigest: true,
      updates: [{ age: 0, update: newer }],
    });
  });
});

describe("requests during which servers ended", () => {
  const quarantine: PeerUpdate["quarantine"] = [
    {
      fingerprint: "0123456789abcdef01234567",
      lostIncarnations: { "s1/1796169600123": 350 },
      lastTrialAge: undefined,
      trials: 0,
      completedAge: 20,
    },
  ];
  const quarantineMessage: PeerMessage = {
    kind: "updates",
    from: "h1",
    wantsDigest: false,
    readsSharedDigest: false,
    updates: [{ age: 0, update: { ...UPDATE, quarantine } }],
  };

  test("are decoded as they were encoded", () => {
    const decoded = decodeMessage(encodeMessage(quarantineMessage));
    expect(decoded.unwrapOr(undefined)).toEqual(quarantineMessage);
  });

  test("are left out when there are none", () => {
    expect(writtenMessage().update).not.toHaveProperty("x");
  });

  test("have a key of their own, which hosts of an earlier version ignore", () => {
    const text = encodeMessage(quarantineMessage).toString("utf8");
    const { o } = JSON.parse(text) as {
      o: [number, Record<string, unknown>][];
    };
    const { x, ...former } = o[0]?.[1] ?? {};
    expect(x).toBeDefined();
    expect(former).toEqual(writtenMessage().update);
  });
});

describe("slowdowns of servers", () => {
  const slowdowns = [{ id: "s1", born: BORN, slowdown: 2.5, hosts: 1 }];
  const slowdownMessage: PeerMessage = {
    kind: "updates",
    from: "h1",
    wantsDigest: false,
    readsSharedDigest: false,
    updates: [{ age: 0, update: { ...UPDATE, slowdowns } }],
  };

  test("are decoded as they were encoded", () => {
    const decoded = decodeMessage(encodeMessage(slowdownMessage));
    expect(decoded.unwrapOr(undefined)).toEqual(slowdownMessage);
  });

  test("have a key of their own, which hosts of an earlier version ignore", () => {
    const text = encodeMessage(slowdownMessage).toString("utf8");
    const { o } = JSON.parse(text) as {
      o: [number, Record<string, unknown>][];
    };
    const { sp, ...former } = o[0]?.[1] ?? {};
    expect(sp).toEqual([["s1", BORN, 250, 1]]);
    expect(former).toEqual(writtenMessage().update);
  });
});

describe("demand by class", () => {
  const room: NonNullable<PeerUpdate["room"]> = {
    isShort: true,
    rates: [
      {
        roomClass: {
          service: "models",
          workspaceRank: 0,
          routeRank: 2,
          workspace: "large",
        },
        offered: 8,
        admitted: 4,
      },
    ],
  };
  const demandMessage: PeerMessage = {
    kind: "updates",
    from: "h1",
    wantsDigest: false,
    readsSharedDigest: false,
    updates: [{ age: 0, update: { ...UPDATE, room } }],
  };

  test("is decoded as it was encoded", () => {
    const decoded = decodeMessage(encodeMessage(demandMessage));
    expect(decoded.unwrapOr(undefined)).toEqual(demandMessage);
  });

  test("has a key of its own, which hosts of an earlier version ignore", () => {
    const text = encodeMessage(demandMessage).toString("utf8");
    const { o } = JSON.parse(text) as {
      o: [number, Record<string, unknown>][];
    };
    const { rm, ...former } = o[0]?.[1] ?? {};
    expect(rm).toBeDefined();
    expect(former).toEqual(writtenMessage().update);
  });
});

describe("the estimated time of a host", () => {
  test("is its clock if an earlier version sends no estimate", () => {
    const { message, update } = writtenMessage();
    delete update.j;
    const decoded = decodeMessage(Buffer.from(JSON.stringify(message)));
    const updates = decoded.map((one) =>
      one.kind === "updates" ? one.updates : [],
    );
    expect(updates.unwrapOr([])[0]?.update.timeEstimate).toEqual({
      wallTime: UPDATE.wallTime,
      samples: 1,
    });
  });
});

// Guards against a small datagram stopping a host for half a second.
test("a datagram that holds deeply nested lists is refused before it is parsed", () => {
  const text = `{"k":"n","o":${"[".repeat(400_000)}${"]".repeat(400_000)}}`;
  const compressed = deflateRawSync(Buffer.from(text));
  expect(compressed.length).toBeLessThan(4_000);
  const decoded = decodeMessage(Buffer.concat([Buffer.from([1]), compressed]));
  expect(decoded.toString()).toContain("nested levels");
});

// Guards against a datagram that ends a host: a reply to such an address throws.
test.each(["", "host.example:1", "127.0.0.1:0", "127.0.0.1:70000", "x"])(
  "a message that names %j as an address is refused",
  (address) => {
    const query = { k: "w", a: address };
    const decoded = decodeMessage(Buffer.from(JSON.stringify(query)));
    expect(decoded.isErr).toBe(true);
  },
);
