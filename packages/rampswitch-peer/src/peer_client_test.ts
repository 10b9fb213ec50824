// Copyright 2026 the rampswitch authors. Apache-2.0 license.

// Guards against a part of a peer's answer that counts as the whole one: a message of
// which the last fields are missing can be decoded.

import { create, toBinary } from "@bufbuild/protobuf";
import { createServer, type ServerHttp2Stream } from "node:http2";
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
