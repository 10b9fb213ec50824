// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import { ManualClock, SILENT_LOGGER } from "rampswitch-utils";
import { ServingMetrics } from "../observation/mod.ts";
import {
  type LimitedServer,
  ServerTurns,
  type TurnReply,
  type TurnRequest,
} from "./server_permits.ts";

const SERVICE = "models";
const PACE = { silence: 700, interval: 250 };
const SERVERS: readonly LimitedServer[] = ["s0", "s1", "s2"].map((id) => ({
  entry: { id, born: 7, service: SERVICE },
}));
const [LIMITED = { entry: { id: "", born: 0, service: "" } }] = SERVERS;

/** A question for a turn at all servers. */
const REQUEST: TurnRequest = {
  service: SERVICE,
  servers: ["s0", "s1", "s2"],
  urgency: "urgent",
};

interface Fleet {
  readonly clock: ManualClock;
  readonly hosts: ReadonlyMap<string, ServerTurns>;
  /** Whether questions are answered. */
  answers: boolean;
  questions: number;
}

function fleet(names: readonly string[]): Fleet {
  const clock = new ManualClock();
  const hosts = new Map<string, ServerTurns>();
  const state: Fleet = { clock, hosts, answers: true, questions: 0 };
  names.forEach((host) =>
    hosts.set(
      host,
      new ServerTurns({
        host,
        clock,
        cautiousClock: clock,
        logger: SILENT_LOGGER,
        metrics: new ServingMetrics(),
        agreedTime: () => clock.now(),
        pace: () => PACE,
        hosts: () => names.length,
        server: (id) => SERVERS.find(({ entry }) => entry.id === id),
        ask: (holder, request): Promise<TurnReply | undefined> => {
          state.questions += 1;
          const asked = state.answers ? hosts.get(holder) : undefined;
          return Promise.resolve(asked?.give(request));
        },
        tell: () => undefined,
      }),
    ),
  );
  return state;
}

/** Some rounds of the news. */
function rounds({ clock, hosts }: Fleet, count: number): void {
  const holders = [...hosts.keys()];
  for (let round = 0; round < count; round += 1) {
    clock.advance(PACE.interval);
    hosts.forEach((from, name) => {
      const news = from.news({ holders, tellsAll: true });
      hosts.forEach((to, other) => {
        if (other !== name) to.heard(name, { ...news, stopping: false }, 0);
      });
    });
  }
}

/** The host that gives turns, and one that asks for them. */
function rolesOf({ hosts }: Fleet): readonly [ServerTurns, ServerTurns] {
  const [, first] = [...hosts][0] ?? [];
  const [, second] = [...hosts][1] ?? [];
  if (first === undefined || second === undefined) throw new Error("two hosts");
  const gives = first.give(REQUEST).kind === "given";
  return gives ? [first, second] : [second, first];
}

function limitedFleet(perSecond: number): Fleet {
  const state = fleet(["a", "b"]);
  const [first] = [...state.hosts.values()];
  SERVERS.forEach((server) => first?.read(server, perSecond));
  rounds(state, 12);
  return state;
}

describe("turns of a fleet", () => {
  test("are asked of the host that gives them", async () => {
    const state = limitedFleet(5);
    const [, asks] = rolesOf(state);
    rounds(state, 4);
    const reply = await asks.take(REQUEST);
    expect(reply.kind).toBe("given");
    expect(state.questions).toBe(1);
  });

  test("are not asked for again before the next one is free", async () => {
    const state = limitedFleet(1);
    const [, asks] = rolesOf(state);
    let reply: TurnReply = { kind: "given", server: "" };
    while (reply.kind === "given") reply = await asks.take(REQUEST);
    expect(reply.milliseconds).toBeLessThanOrEqual(1_000);
    const before = state.questions;
    await asks.take(REQUEST);
    expect(state.questions).toBe(before);
    state.clock.advance(500);
    await asks.take(REQUEST);
    expect(state.questions).toBe(before + 1);
  });

  test("tell a refused caller when the next one is free", async () => {
    const state = limitedFleet(0.25);
    const [gives] = rolesOf(state);
    let reply: TurnReply = { kind: "given", server: "" };
    while (reply.kind === "given") reply = await gives.take(REQUEST);
    // A slot of four seconds has just begun, or is about to end.
    const told = gives.waitToTell(SERVICE, SERVERS);
    expect(told).toBe(reply.milliseconds);
    expect(gives.waitToTell(SERVICE, SERVERS)).toBeGreaterThan(told);
  });

  test("are none where the host that gives them is silent", async () => {
    const state = limitedFleet(5);
    const [, asks] = rolesOf(state);
    state.answers = false;
    rounds(state, 4);
    expect((await asks.take(REQUEST)).kind).toBe("wait");
  });

  test("are none for servers that are not known, or need none", () => {
    const state = limitedFleet(5);
    const [gives] = rolesOf(state);
    rounds(state, 4);
    gives.forget(LIMITED);
    expect(gives.give({ ...REQUEST, servers: ["gone", "s0"] }).kind).toBe(
      "wait",
    );
  });

  test("are given to a probe where a server has said nothing for long", () => {
    const state = limitedFleet(5);
    const [gives, asks] = rolesOf(state);
    gives.read(LIMITED, 5);
    rounds(state, 4);
    expect(gives.probe(SERVICE, [LIMITED]).kind).toBe("wait");
    rounds(state, 8);
    expect(asks.probe(SERVICE, [LIMITED]).kind).toBe("wait");
    expect(gives.probe(SERVICE, [LIMITED])).toEqual({
      kind: "given",
      server: "s0",
    });
    expect(asks.unheard([LIMITED])).toEqual([]);
    rounds(state, 12);
    expect(asks.unheard([LIMITED])).toEqual([LIMITED]);
  });
});
