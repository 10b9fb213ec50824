// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { once } from "node:events";
import { connect, createServer, type Socket } from "node:net";
import { setImmediate } from "node:timers/promises";
import { expect, test } from "@jest/globals";
import { listenUntilDisposed, Ownership, splitAddress } from "rampswitch-utils";
import { OpenConnections } from "./open_connections.ts";

/** A server, this host's connections to it, and the losses that these show. */
class Contacts implements AsyncDisposable {
  readonly accepted: Socket[] = [];
  readonly losses: unknown[] = [];
  readonly connections = new OpenConnections((loss) => this.losses.push(loss));
  readonly #ownership = new Ownership();
  #address = "";

  async listen(): Promise<void> {
    const server = createServer((socket) => this.accepted.push(socket));
    const listening = await listenUntilDisposed(server, "127.0.0.1:0", () =>
      this.accepted.forEach((socket) => socket.destroy()),
    );
    this.#address = this.#ownership.own(listening).address;
  }

  /** Opens a connection, and waits until the server has it too. */
  async open(): Promise<Socket> {
    const { host, port } = splitAddress(this.#address);
    const count = this.accepted.length;
    const socket = connect(port, host);
    await once(socket, "connect");
    this.connections.add(socket);
    while (this.accepted.length === count) await setImmediate();
    return socket;
  }

  /** Opens a first connection, with a part of an answer that its caller leaves unread. */
  async openSlow(): Promise<Socket> {
    const slow = await this.open();
    this.accepted[0]?.write("part of an answer");
    slow.read(0);
    while (slow.readableLength === 0) await setImmediate();
    return slow;
  }

  /** Has the process of the server end; resolves once some connections have closed. */
  async end(...sockets: readonly Socket[]): Promise<void> {
    const closed = sockets.map((socket) => once(socket, "close"));
    this.accepted.forEach((socket) => socket.end());
    await Promise.all(closed);
  }

  [Symbol.asyncDispose](): Promise<void> {
    return this.#ownership[Symbol.asyncDispose]();
  }
}

// Guards against a server's process that ended unnoticed: the streams that the next one
// begins count as of the listed version, and go on at it once that one is lost too.
test("a server is lost though a slow caller has not read the end of its connection", async () => {
  await using contacts = new Contacts();
  await contacts.listen();
  const slow = await contacts.openSlow();
  const other = await contacts.open();
  other.resume();
  await contacts.end(other);
  const { losses, connections } = contacts;
  expect([losses.length, connections.contact]).toEqual([1, undefined]);
  slow.destroy();
});

// Guards against a host that has no contact with a server that it uses all the time, and
// doesn't notice its end: a connection closed while a slow caller had bytes of another one
// unread, and further ones followed without a gap.
test("a contact goes on, or follows, once a slow caller has read on", async () => {
  await using contacts = new Contacts();
  await contacts.listen();
  const slow = await contacts.openSlow();
  const idle = await contacts.open();
  // As a client closes a connection that is idle for long.
  const closed = once(idle, "close");
  idle.destroy();
  await closed;
  slow.resume();
  while (slow.readableLength > 0) await setImmediate();
  const next = await contacts.open();
  next.resume();
  const hasContact = contacts.connections.contact !== undefined;
  await contacts.end(slow, next);
  expect([hasContact, contacts.losses.length]).toEqual([true, 1]);
});
