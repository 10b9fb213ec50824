// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import { decodeMessage, encodeMessage } from "./peer_codec.ts";
import type { PeerMessage } from "./peer_messages.ts";

const KEY = { service: "models", attempt: "9c41d07be2a35f68" };
const QUERY = { ...KEY, id: 7, address: "10.0.0.1:7600" };

const STATE = { runningMilliseconds: 60_000, listAgeMilliseconds: 250 };

const UNLISTED_STATE = { ...STATE, listAgeMilliseconds: Infinity };

const MESSAGES: readonly PeerMessage[] = [
  ...["v1.2", undefined].map((version): PeerMessage => ({
    kind: "stream_begun",
    record: { ...KEY, version, lifetimeMilliseconds: 8_000 },
  })),
  {
    kind: "stream_begun",
    record: {
      ...KEY,
      version: undefined,
      serverId: "s1",
      start: 1_796_169_600_123,
      lifetimeMilliseconds: 8_000,
    },
  },
  { kind: "stream_query", query: QUERY },
  { kind: "stream_query", query: { ...QUERY, attempt: "" } },
  ...(["known", "single", "single_since_gap", "single_recently"] as const).map(
    (kind): PeerMessage => ({
      kind: "stream_answer",
      answer: { id: 7, reply: { kind, version: "v1" } },
    }),
  ),
  {
    kind: "stream_answer",
    answer: {
      id: 7,
      reply: {
        kind: "known",
        version: "v1",
        serverId: "s1",
        ageMilliseconds: 1.5,
      },
    },
  },
  ...(["none", "unknown", "uncertain"] as const).map((kind): PeerMessage => ({
    kind: "stream_answer",
    answer: { id: 7, reply: { kind } },
  })),
  ...[STATE, UNLISTED_STATE].map((state): PeerMessage => ({
    kind: "stream_answer",
    answer: { id: 7, reply: { kind: "none" }, state },
  })),
];

describe("messages about the versions of streams", () => {
  test.each(MESSAGES.map((message) => [message]))(
    "are decoded as they were encoded: %j",
    (message) => {
      const decoded = decodeMessage(encodeMessage(message));
      expect(decoded.isOk ? decoded.value : decoded.error).toEqual(message);
    },
  );

  test.each([
    { k: "b", s: "", r: "a", v: "v1", t: 1 },
    { k: "b", s: "models", r: "a", v: "v1", t: -1 },
    { k: "b", s: "models", r: "a".repeat(300), v: "v1", t: 1 },
    { k: "b", s: "models", r: "a", w: "s1", n: "1", t: 1 },
    { k: "e", i: "7", a: "10.0.0.1:7600", s: "models", r: "a" },
    { k: "f", i: 7, o: "surely", v: "v1" },
    { k: "f", i: 7, o: "single", v: "v1", u: -1, l: 1 },
    { k: "f", i: 7, o: "single", v: "v1", u: 1, l: "1" },
  ])("are refused where they are malformed: %j", (message) => {
    expect(decodeMessage(Buffer.from(JSON.stringify(message))).isErr).toBe(
      true,
    );
  });
});
