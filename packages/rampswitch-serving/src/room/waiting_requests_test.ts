// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import fc from "fast-check";
import { ManualClock } from "rampswitch-utils";
import type { RoomRequest } from "./room_admission.ts";
import {
  MAXIMUM_WAITING,
  MAXIMUM_WAITING_BYTES,
  type WaitingPlace,
  WaitingRequests,
} from "./waiting_requests.ts";

const TARGET = 800;

interface Arrival {
  readonly rank?: number;
  readonly work?: number;
  readonly bytes?: number;
  readonly left?: number;
}

/** A host's queue; the room of each class is a level that the test sets. */
function queueOf({ perMillisecond = 1, available = -50 } = {}) {
  const clock = new ManualClock();
  const levels = new Map<number, number>();
  const ends: string[] = [];
  const places = new Map<string, WaitingPlace>();
  const state = { perMillisecond, ranks: new Map<string, number>() };
  let filledAt = 0;
  const level = (rank: number) => levels.get(rank) ?? available;
  const fill = () => {
    const gain = (clock.now() - filledAt) * state.perMillisecond;
    filledAt = clock.now();
    [0, 1, 2].forEach((rank) => levels.set(rank, level(rank) + gain));
  };
  const waiting = new WaitingRequests(clock, {
    roomOf: ({ roomClass, work }) => {
      fill();
      const { workspaceRank } = roomClass;
      return {
        perMillisecond: state.perMillisecond,
        available: level(workspaceRank),
        work,
      };
    },
    take: ({ roomClass, work }) => {
      fill();
      const { workspaceRank } = roomClass;
      if (level(workspaceRank) <= 0) return false;
      levels.set(workspaceRank, level(workspaceRank) - work);
      return true;
    },
    waited: () => undefined,
  });
  const add = (
    name: string,
    { rank = 0, work = 10, bytes = 100, left = 4_000 }: Arrival = {},
  ): boolean => {
    state.ranks.set(name, rank);
    const place = waiting.add({
      arrivedAt: clock.now(),
      endsAt: clock.now() + left,
      bytes,
      room: () => roomOf(state.ranks.get(name) ?? 0, work),
      send: () => ends.push(`${name} sent`),
      refuse: () => ends.push(`${name} refused`),
    });
    if (place !== undefined) places.set(name, place);
    return place !== undefined;
  };
  return { clock, waiting, ends, places, state, levels, add };
}

function roomOf(workspaceRank: number, work: number): RoomRequest {
  return {
    roomClass: {
      service: "models",
      workspaceRank,
      routeRank: 0,
      workspace: "quiet",
    },
    work,
    targetMilliseconds: TARGET,
    sharesAlone: false,
    servers: () => [],
  };
}

describe("requests that wait at the host", () => {
  test("wait only if they get their turn within an eighth of the target", () => {
    // The turns come after 41, 51, 61 and 71 ms of 100 ms at two thirds of the rate.
    const { add } = queueOf({ available: -41 });
    const names = ["a", "b", "c", "d"];
    expect(names.filter((name) => add(name))).toEqual(["a", "b", "c"]);
  });

  test("do not wait for a turn that comes after their time limit", () => {
    const { add } = queueOf({ available: -41 });
    expect(add("a", { left: 50 })).toBe(false);
    expect(add("b", { left: 80 })).toBe(true);
  });

  test("are sent one by one as room comes free", () => {
    const { add, clock, ends, waiting } = queueOf({ available: -50 });
    add("a");
    add("b");
    clock.advance(49);
    expect(ends).toEqual([]);
    clock.advance(2);
    expect(ends).toEqual(["a sent"]);
    clock.advance(11);
    expect(ends).toEqual(["a sent", "b sent"]);
    expect(waiting.size).toBe(0);
  });

  test("leave by rank, then by the time that they have left", () => {
    const { add, clock, ends } = queueOf({ available: -20 });
    add("late", { rank: 1, left: 900 });
    add("patient", { left: 4_000 });
    add("hurried", { left: 1_000 });
    clock.advance(45);
    expect(ends).toEqual(["hurried sent", "patient sent", "late sent"]);
  });

  test("are not pushed past their time by one with less time left", () => {
    const { add, clock } = queueOf({ available: -60 });
    add("a", { work: 30 });
    clock.advance(30);
    expect(add("b", { work: 80, left: 100 })).toBe(false);
  });

  test("free their place at once when their callers leave", () => {
    const { add, clock, ends, places, waiting } = queueOf();
    add("a", { bytes: MAXIMUM_WAITING_BYTES });
    expect(add("b")).toBe(false);
    places.get("a")?.leave();
    expect([waiting.size, waiting.bytes]).toEqual([0, 0]);
    expect(add("b")).toBe(true);
    clock.advance(1_000);
    expect(ends).toEqual(["b sent"]);
  });

  test("are refused when room does not come as expected", () => {
    const { add, clock, ends, state } = queueOf();
    add("a");
    clock.advance(10);
    state.perMillisecond = 0;
    clock.advance(95);
    expect(ends).toEqual(["a refused"]);
  });

  test("are refused when the host stops, and none waits afterwards", () => {
    const { add, ends, waiting } = queueOf();
    add("a");
    add("b", { rank: 1 });
    waiting.stop();
    expect(ends).toEqual(["a refused", "b refused"]);
    expect(add("c")).toBe(false);
  });

  test("are ranked again when the configuration changes", () => {
    const { add, clock, ends, state, waiting } = queueOf({ available: -20 });
    add("a", { rank: 0, left: 2_000 });
    add("b", { rank: 1 });
    state.ranks.set("a", 2);
    state.ranks.set("b", 0);
    waiting.rankAgain();
    clock.advance(60);
    expect(ends).toEqual(["b sent", "a sent"]);
  });

  test("are at most as many as the memory of a host allows", () => {
    const { add, waiting } = queueOf({ available: -1 });
    for (let index = 0; index <= MAXIMUM_WAITING; index += 1) {
      add(`${index}`, { work: 0.1 });
    }
    expect(waiting.size).toBe(MAXIMUM_WAITING);
  });

  test("are sent after a pause of the process if there is room", () => {
    const { add, clock, ends } = queueOf();
    add("a");
    clock.advance(3_999);
    expect(ends).toEqual(["a sent"]);
  });

  test("are not sent after a pause in which their time limit passed", () => {
    const { add, clock, ends } = queueOf();
    add("a");
    clock.advance(4_000);
    expect(ends).toEqual(["a refused"]);
  });

  test("end exactly once, whatever happens, and nothing remains", () => {
    const step = fc.oneof(
      fc.record({
        kind: fc.constant("arrive" as const),
        rank: fc.nat(2),
        work: fc.integer({ min: 1, max: 200 }),
        bytes: fc.nat(300_000),
        left: fc.integer({ min: 10, max: 4_000 }),
      }),
      fc.record({ kind: fc.constant("pass" as const), time: fc.nat(120) }),
      fc.record({ kind: fc.constant("leave" as const), index: fc.nat(200) }),
      fc.record({
        kind: fc.constant("room" as const),
        perMillisecond: fc.nat(20),
        level: fc.integer({ min: -300, max: 300 }),
      }),
      fc.record({
        kind: fc.constant("rank" as const),
        index: fc.nat(200),
        rank: fc.nat(2),
      }),
      fc.record({ kind: fc.constant("stop" as const) }),
    );
    fc.assert(
      fc.property(fc.array(step, { maxLength: 120 }), (steps) => {
        const queue = queueOf();
        const left = new Set<string>();
        let stopped = false;
        steps.forEach((next, index) => {
          const name = `r${index}`;
          const other = "index" in next ? `r${next.index}` : "";
          if (next.kind === "arrive") {
            const waits = queue.add(name, next);
            expect(stopped && waits).toBe(false);
          } else if (next.kind === "pass") queue.clock.advance(next.time);
          else if (next.kind === "room") {
            queue.state.perMillisecond = next.perMillisecond;
            queue.levels.set(0, next.level);
            queue.waiting.examine();
          } else if (next.kind === "rank") {
            queue.state.ranks.set(other, next.rank);
            queue.waiting.rankAgain();
          } else if (next.kind === "stop") {
            stopped = true;
            queue.waiting.stop();
          } else if (queue.places.has(other)) {
            const ended = queue.ends.some((end) => end.startsWith(`${other} `));
            queue.places.get(other)?.leave();
            if (!ended) left.add(other);
          }
          expect(queue.waiting.size).toBeLessThanOrEqual(MAXIMUM_WAITING);
          expect(queue.waiting.bytes).toBeLessThanOrEqual(
            MAXIMUM_WAITING_BYTES,
          );
        });
        for (let time = 0; time < 100; time += 1) queue.clock.advance(2);
        const names = queue.ends.map((end) => end.split(" ")[0] ?? "");
        expect(new Set(names).size).toBe(names.length);
        expect(names.filter((name) => left.has(name))).toEqual([]);
        expect(new Set([...names, ...left])).toEqual(
          new Set(queue.places.keys()),
        );
        expect([queue.waiting.size, queue.waiting.bytes]).toEqual([0, 0]);
      }),
      { numRuns: 300, seed: 20_261_203 },
    );
  });
});
