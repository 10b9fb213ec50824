// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { connect, type Socket } from "node:net";
import type { ServerResponse } from "node:http";
import { expect, test } from "@jest/globals";
import { BoundedServer } from "./bounded_server.ts";
import { correctEnds } from "./connection_ends.ts";
import { Ownership } from "./disposal.ts";
import { listen } from "./listen.ts";
import { type IntakeBudgets, intakeBudgets } from "./machine_limits.ts";
import { MemoryBudget } from "./memory_budget.ts";

const HEADER_BYTES = 1_024;
const BODY_BYTES = 64 * 1024;

const GET = "GET / HTTP/1.1\r\n\r\n";

/** A machine with much memory. */
const LARGE_MACHINE = { memoryBytes: 2 ** 33, descriptors: 1_000 };

/** More than the system takes for a caller that reads nothing, in bytes. */
const LARGE_BYTES = 64_000_000;

/** A server of a test, what it was asked and how it answers. */
class TestServer implements AsyncDisposable {
  readonly #ownership = new Ownership();
  readonly responses: ServerResponse[] = [];
  /** Sizes of the bodies that were read, or why they weren't. */
  readonly bodies: (number | string)[] = [];
  /** Parts of bodies that were handed on in each turn of the event loop. */
  partsInTurn = 0;
  #address = "";

  static async start(
    budgets: Partial<IntakeBudgets> = {},
  ): Promise<TestServer> {
    const started = new TestServer();
    const server: BoundedServer = new BoundedServer(
      {
        budgets: { ...intakeBudgets(LARGE_MACHINE), ...budgets },
        connectionShare: 1,
        headerBytes: () => HEADER_BYTES,
        requireHostHeader: false,
      },
      {
        request: (incoming, response) => {
          started.responses.push(response);
          incoming.on("data", () => {
            started.partsInTurn += 1;
          });
          void server.readBody(incoming, BODY_BYTES).then((body) => {
            started.bodies.push(body.isOk ? body.value.length : body.error);
          });
        },
      },
    );
    const listening = await listen(server.http, "127.0.0.1:0");
    started.#ownership.own(listening);
    started.#address = listening.address;
    return started;
  }

  /** Opens a connection and sends some bytes. */
  send(text: string): TestCaller {
    const [ip, port] = this.#address.split(":");
    const caller = new TestCaller(connect(Number(port), ip));
    this.#ownership.defer(() => void caller.socket.destroy());
    caller.socket.write(text, "latin1");
    return caller;
  }

  [Symbol.asyncDispose](): Promise<void> {
    return this.#ownership[Symbol.asyncDispose]();
  }
}

/** A connection, and what it gets. */
class TestCaller {
  readonly socket: Socket;
  received = "";
  closed = false;
  /** Whether the connection ended in the regular way. */
  ended = false;

  constructor(socket: Socket) {
    this.socket = socket;
    correctEnds(socket);
    socket.setEncoding("latin1");
    socket.on("data", (text: string) => (this.received += text));
    socket.on("error", () => undefined);
    socket.on("end", () => (this.ended = true));
    socket.on("close", () => (this.closed = true));
  }
}

async function until(holds: () => boolean): Promise<void> {
  while (!holds()) await new Promise((resolve) => setTimeout(resolve, 5));
}

/** Lets a server read whatever it would. */
async function someTurns(): Promise<void> {
  for (let turn = 0; turn < 50; turn += 1) {
    await new Promise((resolve) => setImmediate(resolve));
  }
  await new Promise((resolve) => setTimeout(resolve, 50));
}

test("requests sent ahead are handed on one at a time, in their order", async () => {
  await using server = await TestServer.start();
  const caller = server.send(GET.repeat(200));
  for (let answered = 0; answered < 200; answered += 1) {
    await until(() => server.responses.length > answered);
    expect(server.responses).toHaveLength(answered + 1);
    server.responses[answered]?.end(`${answered};`);
  }
  await until(() => caller.received.includes("199;"));
});

test("no request is handed on of a connection that was destroyed", async () => {
  await using server = await TestServer.start();
  server.send(GET.repeat(2_000));
  await until(() => server.responses.length > 0);
  server.responses[0]?.destroy();
  await someTurns();
  expect(server.responses).toHaveLength(1);
});

test("a caller that ends its side gets no further request read", async () => {
  await using server = await TestServer.start();
  const caller = server.send(GET.repeat(3));
  await until(() => server.responses.length > 0);
  caller.socket.end();
  await until(() => server.responses[0]?.destroyed === true);
  expect(server.responses).toHaveLength(1);
});

test("a chunked body of tiny chunks is read in several turns", async () => {
  await using server = await TestServer.start();
  const head = "POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n";
  let mostInTurn = 0;
  const count = () => {
    mostInTurn = Math.max(mostInTurn, server.partsInTurn);
    server.partsInTurn = 0;
    if (server.bodies.length === 0) setImmediate(count);
  };
  server.send(`${head}${"1\r\nb\r\n".repeat(10_000)}0\r\n\r\n`);
  count();
  await until(() => server.bodies.length > 0);
  expect(server.bodies).toEqual([10_000]);
  // Fewer than the parser would be given by one read.
  expect(mostInTurn).toBeLessThan(2_000);
});

test.each([
  ["at the limit", HEADER_BYTES, 200],
  ["one byte over it", HEADER_BYTES + 1, 431],
])("a head %s", async (_name, bytes, status) => {
  await using server = await TestServer.start();
  const start = "GET / HTTP/1.1\r\na: ";
  const filled = "b".repeat(bytes - start.length - "\r\n\r\n".length);
  const caller = server.send(`${start}${filled}\r\n\r\n`);
  await until(() => server.responses.length > 0 || caller.received.length > 0);
  server.responses[0]?.end();
  await until(() => caller.received.startsWith(`HTTP/1.1 ${status} `));
});

test("a head that goes on beyond the limit is refused before its end", async () => {
  await using server = await TestServer.start();
  const caller = server.send(`GET / HTTP/1.1\r\n${"a:\r\n".repeat(400)}`);
  await until(() => caller.closed);
  expect(server.responses).toHaveLength(0);
});

test("each line of a legal head is handed on", async () => {
  await using server = await TestServer.start();
  server.send(`GET / HTTP/1.1\r\n${"a:\r\n".repeat(250)}\r\n`);
  await until(() => server.responses.length > 0);
  expect(server.responses[0]?.req.rawHeaders).toHaveLength(500);
});

test("a head for which no memory is left is refused, a small one is not", async () => {
  const heads = new MemoryBudget(100_000);
  await using server = await TestServer.start({ heads });
  const long = `GET / HTTP/1.1\r\n${"a:\r\n".repeat(200)}\r\n`;
  server.send(long);
  await until(() => server.responses.length === 1);
  const refused = server.send(long);
  await until(() => refused.received.startsWith("HTTP/1.1 503 "));
  server.send(GET);
  await until(() => server.responses.length === 2);
});

test("a request is answered though no memory is left for the head behind it", async () => {
  const heads = new MemoryBudget(100_000);
  await using server = await TestServer.start({ heads });
  const lines = "a:\r\n".repeat(200);
  const holders = [1, 2].map(() =>
    server.send(`GET / HTTP/1.1\r\n${lines}\r\n`),
  );
  await until(() => server.responses.length > 0);
  const caller = server.send(`${GET}GET / HTTP/1.1\r\n${lines}`);
  await until(() => server.responses.length > 1);
  await someTurns();
  server.responses.at(-1)?.end("answered");
  await until(() => caller.received.includes("answered"));
  holders.forEach(({ socket }) => socket.destroy());
});

test("a body for which no memory is left is not read on", async () => {
  const bodies = new MemoryBudget(20_000);
  await using server = await TestServer.start({ bodies });
  const head = "POST / HTTP/1.1\r\ncontent-length: 60000\r\n\r\n";
  server.send(`${head}${"b".repeat(60_000)}`);
  await until(() => server.bodies.length > 0);
  expect(server.bodies).toEqual(["no_memory"]);
});

test("a body that is announced over the limit is not read", async () => {
  await using server = await TestServer.start();
  server.send("POST / HTTP/1.1\r\ncontent-length: 1000000000\r\n\r\n");
  await until(() => server.bodies.length > 0);
  expect(server.bodies).toEqual(["too_large"]);
});

test("the oldest answer that isn't read makes room for another one", async () => {
  const bodies = new MemoryBudget(3.2 * LARGE_BYTES);
  await using server = await TestServer.start({ bodies });
  const callers = [server.send(GET), server.send(GET)];
  callers.forEach(({ socket }) => socket.pause());
  await until(() => server.responses.length === 2);
  for (const response of server.responses) {
    response.end(Buffer.alloc(LARGE_BYTES));
    await someTurns();
  }
  callers.forEach(({ socket }) => socket.resume());
  const [first, second] = callers.map((caller) => () => caller.received.length);
  await until(() => (second?.() ?? 0) > LARGE_BYTES);
  expect(first?.()).toBeLessThan(LARGE_BYTES);
});

// Guards against a broken answer that ends as complete.
test("an unread answer without a length that makes room for another one is reset", async () => {
  const bodies = new MemoryBudget(3.2 * LARGE_BYTES);
  await using server = await TestServer.start({ bodies });
  const caller = server.send("GET / HTTP/1.0\r\n\r\n");
  const callers = [caller, server.send(GET)];
  callers.forEach(({ socket }) => socket.pause());
  await until(() => server.responses.length === 2);
  for (const response of server.responses) {
    response.write(Buffer.alloc(LARGE_BYTES));
    response.end();
    await someTurns();
  }
  callers.forEach(({ socket }) => socket.resume());
  await until(() => caller.closed);
  expect(caller.received.length).toBeLessThan(LARGE_BYTES);
  expect(caller.ended).toBe(false);
});

test("the connection that is idle the longest makes room for a new one", async () => {
  await using server = await TestServer.start({ descriptors: 3 });
  const busy = server.send(GET);
  await until(() => server.responses.length === 1);
  const idle = server.send("");
  const later = server.send("");
  await someTurns();
  server.send(GET);
  await until(() => server.responses.length === 2);
  await until(() => idle.closed);
  expect([busy.closed, later.closed]).toEqual([false, false]);
});

test("memory is returned when connections close in whatever state", async () => {
  const heads = new MemoryBudget(1_000_000);
  const bodies = new MemoryBudget(1_000_000);
  await using server = await TestServer.start({ heads, bodies });
  const callers = [
    GET.repeat(5_000),
    "GET / HTTP/1.1\r\na: b\r\n",
    "POST / HTTP/1.1\r\ncontent-length: 60000\r\n\r\nbbbb",
    "POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n1\r\nb\r\n",
  ].map((text) => server.send(text));
  await until(() => server.responses.length === 3);
  await someTurns();
  expect(heads.used).toBeGreaterThan(0);
  callers.forEach(({ socket }) => socket.destroy());
  server.responses.forEach((response) => response.destroy());
  await until(() => heads.used === 0 && bodies.used === 0);
});
