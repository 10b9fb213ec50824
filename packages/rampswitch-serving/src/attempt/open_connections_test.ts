// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { once } from "node:events";
import { connect, createServer, type Socket } from "node:net";
import { setImmediate } from "node:timers/promises";
import { expect, test } from "@jest/globals";
import { listenUntilDisposed, splitAddress } from "rampswitch-utils";
import { OpenConnections } from "./open_connections.ts";

// Guards against a server's process that ended unnoticed: the streams that the next one
// begins count as of the listed version, and go on at it once that one is lost too.
test("a server is lost though a slow caller has not read the end of its connection", async () => {
  const accepted: Socket[] = [];
  const server = createServer((socket) => accepted.push(socket));
  await using listening = await listenUntilDisposed(server, "127.0.0.1:0", () =>
    accepted.forEach((socket) => socket.destroy()),
  );
  const { host, port } = splitAddress(listening.address);
  const losses: unknown[] = [];
  const connections = new OpenConnections((loss) => losses.push(loss));
  const open = async (): Promise<Socket> => {
    const socket = connect(port, host);
    await once(socket, "connect");
    connections.add(socket);
    return socket;
  };
  const slow = await open();
  while (accepted.length === 0) await setImmediate();
  accepted[0]?.write("part of an answer");
  slow.read(0);
  while (slow.readableLength === 0) await setImmediate();
  const other = await open();
  other.resume();
  while (accepted.length < 2) await setImmediate();
  const closed = once(other, "close");
  accepted.forEach((socket) => socket.end());
  await closed;
  expect([losses.length, connections.contact]).toEqual([1, undefined]);
  slow.destroy();
});

// Guards against a host that has no contact with a server that it uses all the time, and
// doesn't notice its end: a connection closed while a slow caller had bytes of another one
// unread, and further ones followed without a gap.
test("a contact goes on, or follows, once a slow caller has read on", async () => {
  const accepted: Socket[] = [];
  const server = createServer((socket) => accepted.push(socket));
  await using listening = await listenUntilDisposed(server, "127.0.0.1:0", () =>
    accepted.forEach((socket) => socket.destroy()),
  );
  const { host, port } = splitAddress(listening.address);
  const losses: unknown[] = [];
  const connections = new OpenConnections((loss) => losses.push(loss));
  const open = async (): Promise<Socket> => {
    const socket = connect(port, host);
    await once(socket, "connect");
    connections.add(socket);
    return socket;
  };
  const slow = await open();
  while (accepted.length === 0) await setImmediate();
  const idle = await open();
  while (accepted.length < 2) await setImmediate();
  accepted[0]?.write("part of an answer");
  slow.read(0);
  while (slow.readableLength === 0) await setImmediate();
  // As a client closes a connection that is idle for long.
  const closed = once(idle, "close");
  idle.destroy();
  await closed;
  slow.resume();
  while (slow.readableLength > 0) await setImmediate();
  const next = await open();
  next.resume();
  while (accepted.length < 3) await setImmediate();
  const hasContact = connections.contact !== undefined;
  const ended = [slow, next].map((socket) => once(socket, "close"));
  accepted.forEach((socket) => socket.end());
  await Promise.all(ended);
  expect([hasContact, losses.length]).toEqual([true, 1]);
});
