// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import { ManualClock, SILENT_LOGGER } from "rampswitch-utils";
import { ServingMetrics } from "../observation/mod.ts";
import {
  type LimitedServer,
  ServerPermits,
  type PermitReply,
  type PermitRequest,
} from "./server_permits.ts";

const SERVICE = "models";
const INTERVALS = { silence: 700, interval: 250 };
const SERVERS: readonly LimitedServer[] = ["s0", "s1", "s2"].map((id) => ({
  entry: { id, born: 7, service: SERVICE },
}));
const [LIMITED = { entry: { id: "", born: 0, service: "" } }] = SERVERS;

/** A query for a permit at one of all servers. */
const REQUEST: PermitRequest = {
  service: SERVICE,
  servers: ["s0", "s1", "s2"],
  urgency: "urgent",
};

interface Fleet {
  readonly clock: ManualClock;
  readonly hosts: ReadonlyMap<string, ServerPermits>;
  /** Whether the holder answers queries. */
  answers: boolean;
  queries: number;
}

function fleet(names: readonly string[]): Fleet {
  const clock = new ManualClock();
  const hosts = new Map<string, ServerPermits>();
  const state: Fleet = { clock, hosts, answers: true, queries: 0 };
  names.forEach((host) =>
    hosts.set(
      host,
      new ServerPermits({
        host,
        clock,
        cautiousClock: clock,
        logger: SILENT_LOGGER,
        metrics: new ServingMetrics(),
        fleetTime: () => clock.now(),
        gossipIntervals: () => INTERVALS,
        ownPart: () => 1 / names.length,
        server: (id) => SERVERS.find(({ entry }) => entry.id === id),
        queryHolder: (holder, request): Promise<PermitReply | undefined> => {
          state.queries += 1;
          const holderHost = state.answers ? hosts.get(holder) : undefined;
          return Promise.resolve(holderHost?.grant(request));
        },
        broadcast: () => undefined,
      }),
    ),
  );
  return state;
}

/** Passes some gossip intervals. */
function rounds({ clock, hosts }: Fleet, count: number): void {
  const holders = [...hosts.keys()];
  for (let round = 0; round < count; round += 1) {
    clock.advance(INTERVALS.interval);
    hosts.forEach((from, name) => {
      const update = from.updates({ holders, reportsAll: true });
      hosts.forEach((to, other) => {
        if (other !== name) to.receive(name, { ...update, stopping: false }, 0);
      });
    });
  }
}

/** Returns the holder and the other host. */
function rolesOf({ hosts }: Fleet): readonly [ServerPermits, ServerPermits] {
  const [, first] = [...hosts][0] ?? [];
  const [, second] = [...hosts][1] ?? [];
  if (first === undefined || second === undefined) throw new Error("two hosts");
  const isFirstHolder = first.grant(REQUEST).kind === "given";
  return isFirstHolder ? [first, second] : [second, first];
}

function limitedFleet(perSecond: number): Fleet {
  const state = fleet(["a", "b"]);
  const [first] = [...state.hosts.values()];
  SERVERS.forEach((server) => first?.recordAdvertised(server, perSecond));
  rounds(state, 12);
  return state;
}

describe("permits of a fleet", () => {
  test("are requested from the holder", async () => {
    const state = limitedFleet(5);
    const [, other] = rolesOf(state);
    rounds(state, 4);
    const reply = await other.acquire(REQUEST);
    expect(reply.kind).toBe("given");
    expect(state.queries).toBe(1);
  });

  test("are not requested again before the next one is free", async () => {
    const state = limitedFleet(1);
    const [, other] = rolesOf(state);
    let reply: PermitReply = { kind: "given", server: "" };
    while (reply.kind === "given") reply = await other.acquire(REQUEST);
    expect(reply.milliseconds).toBeLessThanOrEqual(1_000);
    const before = state.queries;
    await other.acquire(REQUEST);
    expect(state.queries).toBe(before);
    state.clock.advance(500);
    await other.acquire(REQUEST);
    expect(state.queries).toBe(before + 1);
  });

  test("are refused with a retry delay until the next one is free", async () => {
    const state = limitedFleet(0.25);
    const [holder] = rolesOf(state);
    let reply: PermitReply = { kind: "given", server: "" };
    while (reply.kind === "given") reply = await holder.acquire(REQUEST);
    // A time slot of four seconds has just begun, or is about to end.
    const retryDelay = holder.assignRetryDelay(SERVICE, SERVERS);
    expect(retryDelay).toBe(reply.milliseconds);
    expect(holder.assignRetryDelay(SERVICE, SERVERS)).toBeGreaterThan(
      retryDelay,
    );
  });

  test("are not granted while the holder is unresponsive", async () => {
    const state = limitedFleet(5);
    const [, other] = rolesOf(state);
    state.answers = false;
    rounds(state, 4);
    expect((await other.acquire(REQUEST)).kind).toBe("wait");
  });

  test("are not granted for unknown servers and servers without a limit", () => {
    const state = limitedFleet(5);
    const [holder] = rolesOf(state);
    rounds(state, 4);
    holder.forget(LIMITED);
    expect(holder.grant({ ...REQUEST, servers: ["gone", "s0"] }).kind).toBe(
      "wait",
    );
  });

  test("are granted for a probe where a server's limit was not reported for long", () => {
    const state = limitedFleet(5);
    const [holder, other] = rolesOf(state);
    holder.recordAdvertised(LIMITED, 5);
    rounds(state, 4);
    expect(holder.probe(SERVICE, [LIMITED]).kind).toBe("wait");
    rounds(state, 8);
    expect(other.probe(SERVICE, [LIMITED]).kind).toBe("wait");
    expect(holder.probe(SERVICE, [LIMITED])).toEqual({
      kind: "given",
      server: "s0",
    });
    expect(other.withoutRecentReport([LIMITED])).toEqual([]);
    rounds(state, 12);
    expect(other.withoutRecentReport([LIMITED])).toEqual([LIMITED]);
  });
});
