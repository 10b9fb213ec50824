// Copyright 2026 the rampswitch authors. Apache-2.0 license.

// Guards against a part of a peer's answer that counts as the whole one: a message of
// which the last fields are missing can be decoded.

import { create, toBinary } from "@bufbuild/protobuf";
import {
  createServer,
  type Http2Session,
  type ServerHttp2Stream,
} from "node:http2";
import type { Socket } from "node:net";
import { expect, test } from "@jest/globals";
import { listenUntilDisposed, MONOTONIC_CLOCK } from "rampswitch-utils";
import { FetchConfigurationResponseSchema } from "./generated/rampswitch/peer/v1/peer_pb.ts";
import { PeerClients } from "./peer_client.ts";
import { PeerTokens } from "./peer_token.ts";

/** The first of some parts of an answer. */
const PART = toBinary(
  FetchConfigurationResponseSchema,
  create(FetchConfigurationResponseSchema, { stateParts: ["one"] }),
);

const HEAD = { ":status": 200, "content-type": "application/proto" };

/** Time in which a peer answers, in milliseconds. */
const CALL_MILLISECONDS = 2_000;

/** Time between a part of an answer and the end of its connection, in milliseconds. */
const END_MILLISECONDS = 20;

/** Writes a part of an answer before its end. */
function afterPart(
  end: (stream: ServerHttp2Stream, socket: Socket) => void,
): (stream: ServerHttp2Stream, socket: Socket) => void {
  return (stream, socket) => {
    stream.respond(HEAD);
    stream.write(PART);
    setTimeout(() => end(stream, socket), END_MILLISECONDS);
  };
}

/** Ways in which an answer ends early. */
const ENDS: Readonly<
  Record<string, (stream: ServerHttp2Stream, socket: Socket) => void>
> = {
  "an end before its head": (_stream, socket) => socket.end(),
  "a reset before its head": (_stream, socket) => socket.resetAndDestroy(),
  "an end after its head": (stream, socket) => {
    stream.respond(HEAD);
    setTimeout(() => socket.end(), END_MILLISECONDS);
  },
  "an end of the connection": afterPart((_stream, socket) => socket.end()),
  "a reset of the connection": afterPart((_stream, socket) =>
    socket.resetAndDestroy(),
  ),
  "a failure of its stream": afterPart((stream) =>
    stream.destroy(new Error("failed")),
  ),
  "its length": (stream) => {
    stream.respond({ ...HEAD, "content-length": PART.length + 1 });
    stream.end(PART);
  },
};

test.each(Object.entries(ENDS))(
  "an answer of a peer that is cut short by %s is none",
  async (_name, end) => {
    const sockets: Socket[] = [];
    const server = createServer();
    server.on("connection", (socket: Socket) => sockets.push(socket));
    server.on("sessionError", () => undefined);
    server.on("stream", (stream) => {
      stream.on("error", () => undefined);
      sockets.slice(-1).forEach((socket) => end(stream, socket));
    });
    await using listening = await listenUntilDisposed(
      server,
      "127.0.0.1:0",
      () => sockets.forEach((socket) => socket.destroy()),
    );
    const tokens = new PeerTokens("secret", "a");
    const clients = new PeerClients(tokens, MONOTONIC_CLOCK);
    const result = await clients.call(listening.address, (client) =>
      client.fetchConfiguration({}, { timeoutMs: CALL_MILLISECONDS }),
    );
    expect(result.isErr).toBe(true);
  },
);

/** Calls of which several begin while their connection is being closed. */
const CALLS = 600;

/** Longest pause before a call, in turns of the event loop and in ticks. */
const MAXIMUM_TURNS = 6;
const MAXIMUM_TICKS = 5;

async function pauseBefore(call: number): Promise<void> {
  const turns = call % MAXIMUM_TURNS;
  for (let turn = 0; turn < turns; turn += 1)
    await new Promise((resolve) => setImmediate(resolve));
  const ticks = Math.floor(call / MAXIMUM_TURNS) % MAXIMUM_TICKS;
  for (let tick = 0; tick < ticks; tick += 1)
    await new Promise<void>((resolve) => process.nextTick(resolve));
}

// Guards against a process that ends by an error that nobody handles: a peer closed an
// idle connection while the next call to it began. Jest fails a test with such an error.
test("a peer that closes idle connections raises no error beside the next calls", async () => {
  const server = createServer();
  const sessions = new Set<Http2Session>();
  server.on("session", (session) => sessions.add(session));
  server.on("sessionError", () => undefined);
  server.on("stream", (stream) => {
    const { session } = stream;
    stream.respond(HEAD);
    stream.end(PART);
    stream.on("close", () =>
      setImmediate(() => setImmediate(() => session?.destroy())),
    );
  });
  await using listening = await listenUntilDisposed(server, "127.0.0.1:0", () =>
    sessions.forEach((session) => session.destroy()),
  );
  const tokens = new PeerTokens("secret", "a");
  const clients = new PeerClients(tokens, MONOTONIC_CLOCK);
  let answered = 0;
  for (let call = 0; call < CALLS; call += 1) {
    const result = await clients.call(listening.address, (client) =>
      client.fetchConfiguration({}, { timeoutMs: CALL_MILLISECONDS }),
    );
    answered += result.isOk ? 1 : 0;
    await pauseBefore(call);
  }
  expect(answered).toBeGreaterThan(0);
});

/** The largest answer of a peer, and what waits in the system, in bytes. */
const LARGEST_ANSWER_BYTES = 16 * 1024 * 1024;
const SYSTEM_BYTES = 12 * 1024 * 1024;

const PIECE = Buffer.alloc(64 * 1024, "x");

// Guards against a host that collects what a peer sends until it has no memory left.
test("an answer of a peer without an end is none, and is read no further than one may be long", async () => {
  let taken = 0;
  const sessions = new Set<Http2Session>();
  const server = createServer();
  server.on("session", (session) => sessions.add(session));
  server.on("stream", (stream) => {
    stream.on("error", () => undefined);
    stream.respond(HEAD);
    const more = () => {
      if (stream.destroyed) return;
      taken += PIECE.length;
      stream.write(PIECE, () => setImmediate(more));
    };
    more();
  });
  await using listening = await listenUntilDisposed(server, "127.0.0.1:0", () =>
    sessions.forEach((session) => session.destroy()),
  );
  const tokens = new PeerTokens("secret", "a");
  const clients = new PeerClients(tokens, MONOTONIC_CLOCK);
  const result = await clients.call(listening.address, (client) =>
    client.fetchConfiguration({}, { timeoutMs: CALL_MILLISECONDS }),
  );
  expect(result.isErr).toBe(true);
  expect(taken).toBeLessThan(LARGEST_ANSWER_BYTES + SYSTEM_BYTES);
});
