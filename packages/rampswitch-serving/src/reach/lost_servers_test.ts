// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import { ManualClock, SILENT_LOGGER } from "rampswitch-utils";
import type { ServerIncarnation } from "../model/backend_server.ts";
import { LostServers } from "./lost_servers.ts";

const SERVER = { id: "s1", born: 1 };
const UNUSUAL = { isUnusual: true };
const OWN = { ownOnly: true };

/** Losses as one host knows them; all servers but `s0` are expected to serve. */
function lostServers() {
  const clock = new ManualClock(0);
  const heard: string[] = [];
  const told: ServerIncarnation[] = [];
  const lost = new LostServers({
    clock,
    logger: SILENT_LOGGER,
    isExpected: ({ id }) => id !== "s0",
    onUpdate: () => heard.push("broadcast"),
  });
  lost.onReported((incarnation) => told.push(incarnation));
  return { clock, heard, told, lost };
}

// Guards against hosts without a connection to a server that do not learn of its end, and
// against hosts that report ends that are none.
describe("the loss of a server", () => {
  test("is told once by the host that noticed it, for some time", () => {
    const { clock, heard, lost } = lostServers();
    lost.lost(SERVER, UNUSUAL);
    clock.advance(100);
    lost.lost(SERVER, UNUSUAL);
    expect(heard).toEqual(["broadcast"]);
    clock.advance(40);
    expect(lost.updates(OWN)).toEqual([{ ...SERVER, age: 40 }]);
    clock.advance(10_000);
    expect(lost.updates(OWN)).toEqual([]);
    expect(lost.lostAt(SERVER)).toBe(100);
  });

  test.each([
    ["may have closed an idle connection", SERVER, { isUnusual: false }],
    ["was going to leave", { id: "s0", born: 1 }, UNUSUAL],
  ])("is not told where the server %s", (_, server, loss) => {
    const { heard, lost } = lostServers();
    lost.lost(server, loss);
    expect([heard, lost.updates({ ownOnly: false })]).toEqual([[], []]);
    expect(lost.lostAt(server)).toBe(0);
  });

  test("is not told where this host's links are the likely cause", () => {
    const { lost } = lostServers();
    Array.from({ length: 33 }, (_, born) => ({ id: "s1", born })).forEach(
      (server) => lost.lost(server, UNUSUAL),
    );
    expect(lost.updates(OWN)).toEqual([]);
  });

  // Guards against news of servers that run, one second after a host's links broke.
  test("is not told later either where this host's links were the likely cause", () => {
    const { clock, lost } = lostServers();
    Array.from({ length: 33 }, (_, born) => ({ id: "s1", born })).forEach(
      (server) => lost.lost(server, UNUSUAL),
    );
    clock.advance(1_000);
    expect(lost.updates(OWN)).toEqual([]);
  });

  // Guards against hosts that have each other broadcast while a listed server refuses
  // their connections.
  test("is broadcast once, although other hosts notice it too", () => {
    const { clock, heard, lost } = lostServers();
    Array.from({ length: 10 }).forEach(() => {
      lost.lost(SERVER, UNUSUAL);
      clock.advance(300);
      lost.received([{ ...SERVER, age: 0 }], 0);
      clock.advance(300);
    });
    expect(heard).toEqual(["broadcast"]);
  });

  test("counts where another host tells of it, once however often that is", () => {
    const { clock, told, lost } = lostServers();
    clock.advance(1_000);
    [100, 20].forEach((age) => lost.received([{ ...SERVER, age }], 10));
    expect(told).toMatchObject([SERVER]);
    expect(lost.lostAt(SERVER)).toBe(890);
    expect(lost.updates(OWN)).toEqual([]);
    expect(lost.updates({ ownOnly: false })).toMatchObject([SERVER]);
  });
});
