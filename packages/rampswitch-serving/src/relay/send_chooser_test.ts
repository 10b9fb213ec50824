// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import { ManualClock } from "rampswitch-utils";
import { ServerRecord } from "../choice/mod.ts";
import { backendServerStandin } from "../model/backend_server_standin.ts";
import { Fingerprint } from "../quarantine/mod.ts";
import { ReturnTimes, WaitingRequests } from "../room/mod.ts";
import type { RequestContext } from "./request_context.ts";
import { chooseForSend } from "./send_choice.ts";
import { type ChooserRun, SendChooser } from "./send_chooser.ts";

const WORK = 20;
const TARGET = 800;

/** A host whose service has one server, which takes all that admission lets pass. */
function hostOf(available: number, perMillisecond = 1) {
  const clock = new ManualClock(1_000);
  const state = { available, perMillisecond, decided: 0, returned: 0 };
  const configured = { priority: 1 };
  const roomNow = () => ({
    perMillisecond: state.perMillisecond,
    available: state.available + (clock.now() - 1_000) * state.perMillisecond,
    work: WORK,
  });
  const decide = () =>
    roomNow().available > 0
      ? { kind: "admitted" as const }
      : { kind: "short" as const, room: roomNow(), rank: "1.0", share: 0.5 };
  const waitedAt: string[] = [];
  const returns = new ReturnTimes(
    { hosts: () => 1, lagMilliseconds: () => 250, draw: () => 0 },
    {
      kept: () => undefined,
      refused: () => undefined,
      lapsed: () => undefined,
    },
  );
  const waiting = new WaitingRequests(clock, {
    roomOf: roomNow,
    take: ({ work }) => {
      if (roomNow().available <= 0) return false;
      state.available -= work;
      return true;
    },
    waited: (rank) => waitedAt.push(rank),
  });
  const context = {
    clock,
    waiting,
    returns,
    room: {
      decide: () => {
        state.decided += 1;
        return decide();
      },
      admitReturned: () => (state.returned += 1),
      roomOf: roomNow,
    },
    rollouts: { choice: () => ({ first: [], fallback: undefined }) },
    permits: { unlimited: () => [], limited: () => [] },
    brittle: {
      allows: () => true,
      hasFreeShare: () => false,
      isBrittleService: () => false,
    },
    workEstimates: {
      of: () => ({ holdMilliseconds: WORK }),
      prefillRate: () => 1,
    },
    prefixes: {},
    endsAt: () => Infinity,
    ownPart: () => 1,
    hosts: () => 1,
    drainMilliseconds: () => 0,
    receivesDispatches: () => true,
    random: { next: () => 0.5 },
    configuration: () => ({
      routes: {
        configuration: {
          routes: [],
          workspaces: [{ name: "burst", priority: configured.priority }],
        },
      },
    }),
  } as unknown as RequestContext;
  return { clock, state, context, waiting, returns, waitedAt, configured };
}

const STREAM_OF_ANY = {
  required: undefined,
  isUncertain: false,
  settled: Promise.resolve(),
};

function chooserOf(
  context: RequestContext,
  body = "a",
  stream: ChooserRun["stream"] = STREAM_OF_ANY,
) {
  const events: string[] = [];
  const request = {
    head: { promptParts: [], promptTokens: 10 },
    body: Buffer.from(body),
    fingerprint: new Fingerprint({
      method: "POST",
      hostName: "models.example",
      target: "/",
      workspace: "burst",
      body: Buffer.from(body),
    }),
    route: {
      name: "replies",
      priority: 0,
      targetMilliseconds: TARGET,
      timeoutMilliseconds: 4_000,
      streaming: false,
    },
    service: { name: "models", maximumConnections: 8 },
    workspace: { name: "burst", priority: 1 },
    arrivedAt: context.clock.now(),
  } as unknown as ChooserRun["request"];
  const chooser = new SendChooser(
    {
      request,
      tried: new Set(),
      stream,
      finished: () => false,
      shortOfRoom: ({ rank }) => events.push(`short ${rank}`),
    },
    context,
  );
  // No server is listed, so a request that admission lets pass ends with `no_server`.
  chooser.chooseForFirstSend({
    chosen: () => events.push("chosen"),
    none: (reason) => events.push(reason),
  });
  return { chooser, events, request };
}

describe("a first send while capacity is short", () => {
  test("waits for room, is decided on once, and goes on", () => {
    const { clock, context, state, waitedAt } = hostOf(-30);
    const { events } = chooserOf(context);
    expect(events).toEqual([]);
    expect(waitedAt).toEqual(["1.0"]);
    clock.advance(40);
    expect(events).toEqual(["no_server"]);
    expect(state.decided).toBe(1);
  });

  test("is refused at once if its turn would come too late", () => {
    const { context, waiting } = hostOf(-300);
    const { chooser, events } = chooserOf(context);
    expect(events).toEqual(["short 1.0", "servers_full"]);
    expect(chooser.refusal?.share).toBe(0.5);
    expect(waiting.size).toBe(0);
  });

  test("frees its place when its caller leaves, and is not chosen for later", () => {
    const { clock, context, waiting } = hostOf(-30);
    const { chooser, events } = chooserOf(context);
    chooser.stopWaiting();
    expect(waiting.size).toBe(0);
    clock.advance(1_000);
    expect(events).toEqual([]);
  });

  test("is refused once if the host stops", () => {
    const { clock, context, waiting } = hostOf(-30);
    const { chooser, events } = chooserOf(context);
    waiting.stop();
    chooser.stopWaiting();
    clock.advance(1_000);
    expect(events).toEqual(["short 1.0", "servers_full"]);
  });

  test("waits with the rank that the configuration gives its workspace now", () => {
    const { context, waitedAt, configured } = hostOf(-30);
    configured.priority = 2;
    chooserOf(context);
    expect(waitedAt).toEqual(["2.0"]);
  });

  test("of a caller who returns as told is admitted without a decision", () => {
    const { clock, context, state, returns } = hostOf(-300);
    const { request, chooser } = chooserOf(context);
    const room = chooser.refusal?.room;
    if (room === undefined) throw new Error("the request was not refused");
    const { delayMilliseconds } = returns.assign(
      {
        roomClass: {
          service: "models",
          workspaceRank: 1,
          routeRank: 0,
          workspace: "burst",
        },
        fingerprint: request.fingerprint,
        leftMilliseconds: 4_000,
        serviceRate: 1,
      },
      room,
      clock.now(),
    );
    state.available = -1_000;
    clock.advance(delayMilliseconds);
    expect(chooserOf(context).events).toEqual(["no_server"]);
    expect([state.decided, state.returned]).toEqual([1, 1]);
    // Another request, and the same one once more, are new.
    expect(chooserOf(context, "b").events).toContain("servers_full");
    expect(chooserOf(context).events).toContain("servers_full");
  });
});

// Guards against a stream that goes on at the version that was found, though it became
// known during the choice of a server that the version can't be told.
test.each([
  [false, ["chosen"]],
  [true, ["stream_origin_lost"]],
])(
  "a stream that becomes uncertain while its server is asked: %s",
  async (isUncertain, expected) => {
    const { context } = hostOf(30);
    const record = new ServerRecord(backendServerStandin({ version: "v1" }));
    const stream = { ...STREAM_OF_ANY, required: "v1" };
    Object.assign(context, {
      rollouts: { choice: () => ({ first: [record] }) },
      permits: { unlimited: () => [record], limited: () => [] },
      prefixes: { cachedTokens: () => 0 },
      directory: { allOf: () => [] },
      streams: { goneMilliseconds: () => 0 },
      client: { isConfirmedElsewhere: () => false },
      incarnations: {
        mayContinueAt: () => {
          stream.isUncertain = isUncertain;
          return Promise.resolve(true);
        },
      },
    });
    const { events } = chooserOf(context, "a", stream);
    await new Promise((resolve) => setImmediate(resolve));
    expect(events).toEqual(expected);
  },
);

const BACK_OFF = { now: 1_000, milliseconds: 9_000, returnDelay: 0 };

interface Named {
  readonly unnamed?: readonly string[];
  readonly route?: object;
  readonly tried?: readonly string[];
  /** Changes the only server of v1. */
  readonly change?: (server: ServerRecord | undefined) => void;
}

// Guards against streams that begin at a version that no stored object names: hosts that
// started after the end of all others took the named one for the one that began them.
test.each<[string, string, Named]>([
  ["a stream", "v1", {}],
  ["a stream where all are named", "v2", { unnamed: [] }],
  ["a stream where none is named", "v2", { unnamed: ["v1", "v2"] }],
  ["no stream", "v2", { route: { streaming: false } }],
  ["a stream that isn't resumable", "v2", { route: { resumable: false } }],
  ["a stream sent to v1 before", "v2", { tried: ["v1"] }],
  ["a stream where v1 leaves", "v2", { change: (server) => server?.end() }],
  [
    "a stream where v1 backs off",
    "v2",
    { change: (server) => server?.backOff.requested(BACK_OFF) },
  ],
])(
  "of two versions with equal servers, %s gets %s",
  (_, expected, { unnamed = ["v2"], route, tried, change }) => {
    const { context } = hostOf(30);
    const first = ["v1", "v2"].map(
      (version) =>
        new ServerRecord(backendServerStandin({ id: version, version })),
    );
    change?.(first[0]);
    Object.assign(context, {
      rollouts: { choice: () => ({ first }) },
      permits: { unlimited: (all: unknown) => all, limited: () => [] },
      prefixes: { cachedTokens: () => 0 },
      streams: { names: { unnamedOf: () => new Set(unnamed) } },
    });
    const { request } = chooserOf(context);
    Object.assign(request.route, { streaming: true, resumable: true }, route);
    const send = { tried: new Set(tried), hasRoom: true };
    const { outcome } = chooseForSend(request, send, context);
    const record = outcome.kind === "chosen" && outcome.choice.record;
    expect(record && record.entry.version).toBe(expected);
  },
);
