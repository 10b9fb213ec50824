// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import {
  createServer,
  request,
  type RequestListener,
  type ServerResponse,
} from "node:http";
import { createServer as createRawServer, type Socket } from "node:net";
import { setImmediate as immediate } from "node:timers/promises";
import { describe, expect, test } from "@jest/globals";
import {
  listen,
  listenUntilDisposed,
  intakeBudgets,
  machineLimits,
  MONOTONIC_CLOCK,
  Ownership,
  SILENT_LOGGER,
} from "rampswitch-utils";
import { BackendClient, type SendListener } from "../attempt/mod.ts";
import { ServingMetrics } from "../observation/mod.ts";
import { ForwardingClient } from "./forwarding_client.ts";
import {
  type ForwardedRun,
  ForwardingServer,
  type ForwardingServerParts,
} from "./forwarding_server.ts";
import { LimitedSend } from "./limited_send.ts";

/** An address of this machine that belongs to no host of the test. */
const FOREIGN_ADDRESS = "127.0.0.2";

const SERVER_ID = "s1";

/** Ways in which a host ends that is killed. */
const CONNECTION_ENDS: Readonly<Record<string, (socket: Socket) => void>> = {
  "by an end": (socket) => socket.end(),
  "by a reset": (socket) => socket.resetAndDestroy(),
  "by an end some time later": (socket) => {
    setTimeout(() => socket.end(), END_MILLISECONDS);
  },
};

/** Time between a part of a head and a later end, in milliseconds. */
const END_MILLISECONDS = 5;

/** What a listener was told, in one word each. */
type Told = string;

class Parts implements AsyncDisposable {
  readonly ownership = new Ownership();
  readonly forwarding: ForwardingClient;
  readonly serverAddress: string;
  readonly doorAddress: string;
  readonly door: ForwardingServer;

  private constructor(
    door: ForwardingServer,
    addresses: { readonly server: string; readonly door: string },
  ) {
    this.door = door;
    this.serverAddress = addresses.server;
    this.doorAddress = addresses.door;
    this.forwarding = this.ownership.own(
      new ForwardingClient({
        host: "a",
        ip: "127.0.0.1",
        clock: MONOTONIC_CLOCK,
      }),
    );
  }

  /** Starts a server and a host that forwards requests to it. */
  static async start(
    serve: RequestListener,
    overrides: Partial<ForwardingServerParts> = {},
  ): Promise<Parts> {
    const client = new BackendClient();
    const server = await listen(createServer(serve), "127.0.0.1:0");
    const door = new ForwardingServer({
      clock: MONOTONIC_CLOCK,
      logger: SILENT_LOGGER,
      metrics: new ServingMetrics(),
      intake: intakeBudgets(machineLimits()),
      isHostAddress: (ip) => ip === "127.0.0.1",
      serverOf: (id) =>
        id === SERVER_ID ? { id, ...server, born: 2 } : undefined,
      stopping: () => false,
      confirms: () => Promise.resolve(true),
      stopRun: () => undefined,
      client: {
        isOutOfReach: () => false,
        sendDirect: (to, asked, options) =>
          new LimitedSend(to, asked, {
            ...options,
            clock: MONOTONIC_CLOCK,
            client,
            mayFail: () => true,
            onLate: () => undefined,
            watch: () => () => undefined,
          }),
      },
      ...overrides,
    });
    const listening = await door.listen("127.0.0.1:0");
    const addresses = { server: server.address, door: listening.address };
    const parts = new Parts(door, addresses);
    [client, server, listening].forEach((part) => parts.ownership.own(part));
    return parts;
  }

  [Symbol.asyncDispose](): Promise<void> {
    return this.ownership[Symbol.asyncDispose]();
  }

  /** Sends a request through the host; resolves to what its listener was told. */
  async send(
    options: {
      readonly server?: string;
      readonly born?: number;
      readonly headers?: readonly string[];
      readonly body?: string;
      readonly needsConfirmation?: boolean;
      readonly attemptId?: string;
      /** Address of the host that forwards; the one started by default. */
      readonly door?: string;
    } = {},
  ): Promise<readonly Told[]> {
    const told: Told[] = [];
    await new Promise<void>((resolve) => {
      const listener: SendListener = {
        written: () => told.push("written"),
        head: (status) => told.push(`head ${status}`),
        data: (chunk) => told.push(chunk.toString()),
        ended: () => resolve(void told.push("ended")),
        failed: (failure, detail) =>
          resolve(void told.push(`${failure}: ${detail}`)),
      };
      const { server = SERVER_ID, born, headers = [], body } = options;
      const { door = this.doorAddress, needsConfirmation = false } = options;
      const { attemptId } = options;
      this.forwarding.send(
        {
          through: { name: "b", address: door, dataHall: "a" },
          server: { id: server, address: this.serverAddress, born },
          request: {
            attemptId,
            method: body === undefined ? "GET" : "POST",
            target: "/path?query",
            headers: ["Host", "api.example", ...headers],
            body: body === undefined ? undefined : Buffer.from(body),
            needsConfirmation,
          },
        },
        listener,
      );
    });
    return told;
  }
}

describe("a host that forwards requests", () => {
  test("sends a request as it is and relays the answer", async () => {
    const seen: unknown[] = [];
    await using parts = await Parts.start((incoming, response) => {
      const { method, url, rawHeaders } = incoming;
      seen.push({ method, url, rawHeaders, length: rawHeaders.length });
      incoming.on("data", (chunk: Buffer) => response.end(chunk));
    });
    const headers = ["X-One", "1", "X-One", "2"];
    const told = await parts.send({ headers, body: "sent" });
    expect(told).toEqual(["written", "head 200", "sent", "ended"]);
    const framing = ["connection", "keep-alive", "content-length", "4"];
    expect(seen).toEqual([
      {
        method: "POST",
        url: "/path?query",
        rawHeaders: expect.arrayContaining([...headers, ...framing]),
        length: 10,
      },
    ]);
  });

  test("says that a request was not sent, which counts as not written", async () => {
    await using parts = await Parts.start((_, response) => response.end());
    const told = await parts.send({ server: "unknown" });
    expect(told).toEqual(["written", "not_written: unknown_server"]);
  });

  // Guards against a send that lasts as long as its host sends reasons.
  test("is read no further than a reason may be long", async () => {
    let isClosed = false;
    const server = createServer((_, response) => {
      response.once("close", () => (isClosed = true));
      response.writeHead(503, { "X-Forwarding-Outcome": "not_sent" });
      const more = () => {
        if (!response.destroyed) response.write("x".repeat(1024), more);
      };
      more();
    });
    await using host = await listen(server, "127.0.0.1:0");
    await using parts = await Parts.start((_, response) => response.end());
    const told = await parts.send({ door: host.address });
    expect(told.at(-1)).toMatch(/^not_written: x{200}$/);
    while (!isClosed) await immediate();
  }, 5_000);

  test("says so where the server takes no connection", async () => {
    await using parts = await Parts.start((_, response) => response.end(), {
      serverOf: (id) => ({ id, address: "127.0.0.1:1" }),
    });
    Object.assign(parts, { serverAddress: "127.0.0.1:1" });
    const told = await parts.send();
    expect(told).toEqual(["written", "not_written: out_of_reach"]);
  });

  test.each<[string, Partial<ForwardingServerParts>]>([
    ["stopping", { stopping: () => true }],
    ["unknown_host", { isHostAddress: () => false }],
  ])("refuses with %s", async (reason, overrides) => {
    await using parts = await Parts.start(
      (_, response) => response.end(),
      overrides,
    );
    expect((await parts.send()).at(-1)).toBe(`not_written: ${reason}`);
  });

  // Guards against a request that is passed on by a host whose stop began while it read or
  // confirmed the request, and that is cut off at the end of the stop.
  test.each([
    ["read", { body: "sent" }],
    ["confirmed", { needsConfirmation: true }],
  ])("refuses a request that is %s when it begins to stop", async (_, sent) => {
    let checks = 0;
    const stopping = () => {
      checks += 1;
      return checks > 1;
    };
    const reached: string[] = [];
    await using parts = await Parts.start(
      (incoming, response) => {
        reached.push(incoming.url ?? "");
        response.end();
      },
      { stopping },
    );
    expect((await parts.send(sent)).at(-1)).toBe("not_written: stopping");
    expect(reached).toEqual([]);
  });

  // Guards against a stream that goes on at another version through a host which knows
  // that the server is another one by now.
  test.each([
    [undefined, "ended"],
    [1, "not_written: unknown_server"],
    [2, "ended"],
    [3, "ended"],
  ])(
    "sends nothing for an incarnation, %s, before the one that it knows, 2",
    async (born, last) => {
      await using parts = await Parts.start((_, response) => response.end());
      const told = await parts.send(born === undefined ? {} : { born });
      expect(told.at(-1)).toBe(last);
    },
  );

  // Guards against a stream that goes on at a server which is back as another version, sent
  // by a host that can't ask it.
  test.each([
    [true, true, "ended"],
    [true, false, "not_written: unconfirmed_server"],
    [false, false, "ended"],
  ])(
    "asks for a confirmation where it is needed: %s, confirmed: %s",
    async (needsConfirmation, isConfirmed, last) => {
      await using parts = await Parts.start((_, response) => response.end(), {
        confirms: () => Promise.resolve(isConfirmed),
      });
      const told = await parts.send({ needsConfirmation });
      expect(told.at(-1)).toBe(last);
    },
  );

  test("is closed to addresses that belong to no host", async () => {
    await using parts = await Parts.start((_, response) =>
      response.end("reached"),
    );
    const [host, port] = parts.doorAddress.split(":");
    const status = await new Promise((resolve) => {
      const headers = {
        "x-forwarding-server": SERVER_ID,
        "x-forwarding-address": parts.serverAddress,
      };
      const localAddress = FOREIGN_ADDRESS;
      request({ host, port, headers, localAddress }, (answer) =>
        resolve(answer.headers["x-forwarding-outcome"]),
      ).end();
    });
    expect(status).toBe("not_sent");
  });

  test("passes a broken answer on as a lost one", async () => {
    await using parts = await Parts.start((_, response) => {
      response.writeHead(200, { "Content-Length": 100 });
      response.write("part", () => response.destroy());
    });
    const told = await parts.send();
    expect(told.slice(0, 2)).toEqual(["written", "head 200"]);
    expect(told.at(-1)).toMatch(/^lost/);
  });

  // Guards against bytes that are no answer and go on to a caller as one, and against a
  // host that throws since no head can hold their status.
  test.each(["000", "099", "600", "999"])(
    "passes an answer with the status %s on as a lost one",
    async (status) => {
      const stopped: string[] = [];
      await using parts = await Parts.start(
        (_, { socket }) =>
          socket?.write(
            `HTTP/1.1 ${status} X\r\nContent-Length: 4\r\n\r\ntext`,
          ),
        { stopRun: ({ server }) => stopped.push(server) },
      );
      const lost = expect.stringMatching(/^lost: /) as unknown;
      expect(await parts.send()).toEqual(["written", lost]);
      while (stopped.length === 0) await immediate();
      expect(stopped).toEqual([SERVER_ID]);
    },
  );

  // Guards against a run that goes on at a server after its answer was lost: the host
  // that forwards it may not reach that server to stop it.
  // Guards against a request that counts as not run, or as answered, by a part of a head.
  test.each(
    ["answered", "not_sent"].flatMap((outcome) =>
      Object.entries(CONNECTION_ENDS).map(
        ([name, end]) => [outcome, name, end] as const,
      ),
    ),
  )(
    "is lost with the request if it stops within its head (%s, %s)",
    async (outcome, _name, end) => {
      await using parts = await Parts.start(() => undefined);
      const head = `HTTP/1.1 200 X\r\nX-Forwarding-Outcome: ${outcome}\r\nContent-Length: 4\r\n\r\n`;
      let length = 0;
      const { address } = parts.ownership.own(
        await listenUntilDisposed(
          createRawServer((socket) => {
            socket.on("error", () => undefined);
            socket.once("data", () => {
              socket.write(head.slice(0, length));
              end(socket);
            });
          }),
          "127.0.0.1:0",
          () => undefined,
        ),
      );
      for (; length < head.length; length += 1) {
        const told = await parts.send({ door: address });
        const lost = expect.stringMatching(/^lost: /) as unknown;
        expect([length, ...told]).toEqual([length, "written", lost]);
      }
    },
  );

  test("has the run stopped whose answer is lost or unwanted, and no other", async () => {
    const stopped: unknown[] = [];
    const stopRun = (run: ForwardedRun) =>
      stopped.push([run.server, run.mayWait, run.present()]);
    const stops = async (count: number) => {
      while (stopped.length < count) await immediate();
      return stopped;
    };
    await using losing = await Parts.start(
      (_, response) => response.destroy(),
      { stopRun },
    );
    await losing.send();
    expect(await stops(1)).toEqual([[SERVER_ID, true, undefined]]);
    await using breaking = await Parts.start(
      (_, response) => {
        response.writeHead(200, { "Content-Length": 100 });
        response.write("part", () => response.destroy());
      },
      { stopRun },
    );
    await breaking.send();
    expect((await stops(2))[1]).toEqual([SERVER_ID, false, undefined]);
    await using serving = await Parts.start((_, response) => response.end(), {
      stopRun,
    });
    await serving.send();
    await serving.send({ server: "unknown" });
    expect(stopped.length).toBe(2);
  });

  // Guards against a moved stream whose memory is freed under it.
  test.each([
    ["its own", "moved", []],
    ["of another run", "another", [SERVER_ID]],
  ])(
    "leaves a run to the host that announces a stop %s",
    async (_whose, announced, expected) => {
      const stopped: string[] = [];
      const open: ServerResponse[] = [];
      await using parts = await Parts.start(
        (_, response) => {
          open.push(response);
          response.writeHead(200).write("part");
        },
        { stopRun: ({ server }) => stopped.push(server) },
      );
      const sent = parts.send({ attemptId: "moved" });
      while (open.length === 0) await immediate();
      const address = parts.serverAddress;
      await parts.forwarding.announceStop({ attemptId: announced, address });
      open[0]?.destroy();
      await sent;
      while (parts.door.inProgress > 0) await immediate();
      expect(stopped).toEqual(expected);
    },
  );

  test("does not let a server's answer pass as its own", async () => {
    await using parts = await Parts.start((_, response) => {
      response.writeHead(503, { "X-Forwarding-Outcome": "not_sent" }).end();
    });
    expect(await parts.send()).toEqual(["written", "head 503", "ended"]);
  });

  test("ends the send when the other host leaves", async () => {
    const closed: Promise<void>[] = [];
    await using parts = await Parts.start((_, response) => {
      closed.push(new Promise((resolve) => response.once("close", resolve)));
    });
    const through = { name: "b", address: parts.doorAddress, dataHall: "a" };
    const server = { id: SERVER_ID, address: parts.serverAddress };
    const send = parts.forwarding.send(
      {
        through,
        server,
        request: { method: "GET", target: "/", headers: [], body: undefined },
      },
      {
        written: () => undefined,
        head: () => undefined,
        data: () => undefined,
        ended: () => undefined,
        failed: () => undefined,
      },
    );
    while (closed.length === 0) await new Promise(setImmediate);
    expect(parts.door.inProgress).toBe(1);
    send.abort();
    await closed[0];
    while (parts.door.inProgress > 0) await new Promise(setImmediate);
  });
});
