// Copyright 2026 the rampswitch authors. Apache-2.0 license.

// Guards against a query that ends with its first reply, though a host that is present
// knows that the stream's version can't be told.

import { expect, test } from "@jest/globals";
import { ManualClock } from "rampswitch-utils";
import type { StreamReply } from "../streams/mod.ts";
import type { KnownHost } from "./fleet_hosts.ts";
import type { PeerMessage } from "./peer_messages.ts";
import { StreamExchange } from "./stream_exchange.ts";

const KEY = { service: "models", attempt: "a1" };
const KNOWN: StreamReply = { kind: "known", version: "v1" };
const UNKNOWN: StreamReply = { kind: "unknown" };
const HOSTS = ["h1", "h2", "h3"];

/** Queries three hosts; `answersAt` is when each one answers, `undefined`: it does not. */
async function query(
  answersAt: readonly (number | undefined)[],
): Promise<{ readonly kinds: readonly string[]; readonly until: number }> {
  const clock = new ManualClock(0);
  const ids = new Map<string, number>();
  const exchange = new StreamExchange({
    clock,
    address: "10.0.0.9:7600",
    hosts: () =>
      HOSTS.map((name) => ({
        name,
        address: name,
        dataHall: "a",
      })) as unknown as readonly KnownHost[],
    mayAnswer: () => true,
    fleet: () => ({
      listed: 1,
      hosts: [],
      digest: undefined,
      isRelayed: false,
      now: clock.now(),
    }),
    send: ([address = ""], message: PeerMessage) => {
      if (message.kind === "stream_query") ids.set(address, message.query.id);
    },
    onStream: () => undefined,
    answerTo: () => ({ reply: UNKNOWN }),
  });
  answersAt.forEach((at, index) => {
    if (at === undefined) return;
    const reply = index === 0 ? KNOWN : UNKNOWN;
    clock.after(at, () =>
      exchange.receiveAnswer({ id: ids.get(HOSTS[index] ?? "") ?? 0, reply }),
    );
  });
  let until = Infinity;
  const found = exchange.query(KEY).then(({ replies }) => {
    until = clock.now();
    return replies.map(({ kind }) => kind);
  });
  for (let step = 0; step < 100; step += 1) {
    clock.advance(1);
    await new Promise((resolve) => setImmediate(resolve));
  }
  return { kinds: await found, until };
}

test.each([
  { name: "waits a little once one knows", at: [1, 6, 9], count: 3, until: 9 },
  {
    name: "does not wait long once one knows",
    at: [1, undefined, undefined],
    count: 1,
    until: 11,
  },
  {
    name: "waits for all while nobody knows",
    at: [undefined, 2, 50],
    count: 2,
    until: 60,
  },
])("a query of a stream's version $name", async ({ at, count, until }) => {
  const found = await query(at);
  expect([found.kinds.length, found.until]).toEqual([count, until]);
});
