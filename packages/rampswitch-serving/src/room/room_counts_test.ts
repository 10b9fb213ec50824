// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import type { RoomClass } from "./room_class.ts";
import {
  type ClassRates,
  MAXIMUM_CLASSES,
  MERGED_WORKSPACE,
  RoomCounts,
} from "./room_counts.ts";

function classOf(workspace: string): RoomClass {
  return { service: "models", workspaceRank: 0, routeRank: 1, workspace };
}

function rates(workspace: string, offered: number): ClassRates {
  return { roomClass: classOf(workspace), offered, admitted: 0 };
}

/** Demand of one class at two hosts, as the first of them knows it. */
function demandOf(counts: RoomCounts, workspace: string, now: number) {
  const all = counts.demand("models", {
    now,
    lagMilliseconds: 250,
    maximumOfPeer: 100,
    hosts: 62,
  });
  return [...all.values()].find((one) => one.roomClass.workspace === workspace);
}

describe("counts of demand", () => {
  test("are rates of work in slots", () => {
    const counts = new RoomCounts();
    for (let now = 0; now < 5_000; now += 10) {
      counts.addOffered(classOf("a"), 200, now);
    }
    expect(demandOf(counts, "a", 5_000)?.fleet).toBeCloseTo(20, 0);
  });

  test("of peers count once, however often a message comes", () => {
    const counts = new RoomCounts();
    const report = { isShort: true, rates: [rates("a", 6)] };
    counts.receive("h1", report, 0);
    counts.receive("h1", report, 10);
    expect(demandOf(counts, "a", 20)?.fleet).toBe(6);
  });

  test("of a peer that is silent for three seconds are dropped", () => {
    const counts = new RoomCounts();
    counts.receive("h1", { isShort: true, rates: [rates("a", 6)] }, 0);
    expect(counts.knownHosts(4, 2_999)).toBe(2);
    expect(counts.knownHosts(4, 3_000)).toBe(1);
    expect(demandOf(counts, "a", 3_000)).toBeUndefined();
    counts.dropExpired(3_000);
    expect(counts.size).toBe(0);
  });

  test("of a peer that reports too much are bounded", () => {
    const counts = new RoomCounts();
    const report = {
      isShort: true,
      rates: [rates("a", 1e12), rates("b", 1e12)],
    };
    counts.receive("h1", report, 0);
    expect(demandOf(counts, "a", 10)?.fleet).toBe(50);
  });

  test("of a digest are bounded as those of all hosts that it adds up", () => {
    const counts = new RoomCounts();
    const receive = (offered: number) =>
      counts.receiveFleet(
        { isShort: true, rates: [rates("a", offered)] },
        { own: undefined, now: 0 },
      );
    // Each of 61 other hosts asks for a tenth of what one may at most.
    receive(610);
    expect(demandOf(counts, "a", 10)?.fleet).toBe(610);
    receive(1e12);
    expect(demandOf(counts, "a", 10)?.fleet).toBe(6_100);
  });

  test("are reported only while capacity is short here or at a peer", () => {
    const [one, other] = [new RoomCounts(), new RoomCounts()];
    one.addOffered(classOf("a"), 200, 0);
    other.addOffered(classOf("b"), 200, 0);
    expect(one.ownReport(0)).toBeUndefined();
    one.recordShort(0);
    other.receive("one", one.ownReport(0), 100);
    expect(other.ownReport(100)?.isShort).toBe(false);
    one.receive("other", other.ownReport(100), 200);
    // A report that follows from another one keeps neither of them going.
    expect(one.ownReport(3_100)).toBeUndefined();
    expect(other.ownReport(3_100)).toBeUndefined();
  });

  test("beyond the maximum of a message are merged by rank, and none is lost", () => {
    const counts = new RoomCounts();
    counts.recordShort(0);
    for (let index = 0; index < 100; index += 1) {
      counts.addOffered(classOf(`w${String(index)}`), 200 + index, 0);
    }
    const reported = counts.ownReport(0)?.rates ?? [];
    expect(reported).toHaveLength(MAXIMUM_CLASSES + 1);
    expect(reported.at(-1)?.roomClass.workspace).toBe(MERGED_WORKSPACE);
    const sum = reported.reduce((total, { offered }) => total + offered, 0);
    expect(sum).toBeCloseTo((100 * 200 + 4_950) / 500);
  });

  test("of a digest are those of all hosts but its receiver", () => {
    const counts = new RoomCounts();
    counts.recordShort(0);
    counts.addOffered(classOf("a"), 500, 0);
    counts.receive("h1", { isShort: false, rates: [rates("a", 6)] }, 0);
    counts.receive(
      "h2",
      { isShort: false, rates: [rates("a", 3), rates("b", 2)] },
      0,
    );
    const report = counts.reportExcept("h1", 0)?.rates ?? [];
    expect(
      report.map(({ roomClass, offered }) => [roomClass.workspace, offered]),
    ).toEqual([
      ["a", 4],
      ["b", 2],
    ]);
  });

  test("give each of two hosts its part, also while demand rises", () => {
    const hosts = [new RoomCounts(), new RoomCounts()] as const;
    let parts = 0;
    const delayed: (() => void)[][] = [];
    for (let now = 0; now <= 1_500; now += 10) {
      const work = now < 1_000 ? 20 : 200;
      hosts.forEach((counts) => counts.addOffered(classOf("a"), work, now));
      if (now % 100 !== 0) continue;
      hosts.forEach((counts, index) => {
        counts.recordShort(now);
        const report = counts.ownReport(now);
        const other = hosts[1 - index];
        (delayed[now / 100 + 2] ??= []).push(() =>
          other?.receive(String(index), report, now + 200),
        );
      });
      delayed[now / 100]?.forEach((deliver) => deliver());
      parts = hosts
        .map((counts) => demandOf(counts, "a", now)?.part ?? 0.5)
        .reduce((sum, part) => sum + part, 0);
      if (now >= 600) expect(parts).toBeLessThan(1.25);
    }
  });
});
