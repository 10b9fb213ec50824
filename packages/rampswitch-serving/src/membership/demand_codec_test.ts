// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import { type ClassRates, RoomCounts, type RoomReport } from "../room/mod.ts";
import { demandOf, encodedDemand, isDemand } from "./demand_codec.ts";

function rates(workspace: string): ClassRates {
  const roomClass = {
    service: "models",
    workspaceRank: 1,
    routeRank: 2,
    workspace,
  };
  return { roomClass, offered: 12.25, admitted: 3.5 };
}

function decoded(report: RoomReport | undefined): RoomReport | undefined {
  const text = JSON.stringify({ rm: encodedDemand(report) });
  const { rm } = JSON.parse(text) as { rm?: unknown };
  if (!isDemand(rm)) throw new Error("expected an encoded report");
  return demandOf(rm);
}

describe("the demand in a message", () => {
  test("is decoded as it was encoded, also that of requests without a workspace", () => {
    const report = { isShort: true, rates: [rates("large"), rates("")] };
    expect(decoded(report)).toEqual(report);
  });

  test("is left out if there is none, as by hosts of an earlier version", () => {
    expect(JSON.stringify({ rm: encodedDemand(undefined) })).toBe("{}");
    expect(decoded(undefined)).toBeUndefined();
  });

  test("is rejected if it is negative or no number", () => {
    [-1, null, "1"].forEach((offered) => {
      const message = [true, { models: [[1, 2, "a", offered, 0]] }];
      expect(isDemand(message)).toBe(false);
    });
  });

  // A relay sends one digest to all its members, which includes each one's own demand.
  test("counts the receiver's own demand once if a digest includes it", () => {
    const counts = new RoomCounts();
    const own = { isShort: true, rates: [rates("large")] };
    const all = {
      isShort: true,
      rates: [{ ...rates("large"), offered: 20 }],
    };
    counts.receiveFleet(all, { own, now: 0 });
    const demand = counts.demand("models", {
      now: 0,
      lagMilliseconds: 800,
      maximumOfPeer: 1_000,
      hosts: 2,
    });
    expect([...demand.values()].map(({ fleet }) => fleet)).toEqual([7.75]);
  });

  test("has a bounded size, however many workspaces there are", () => {
    const counts = new RoomCounts();
    counts.recordShort(0);
    for (let index = 0; index < 1_000; index += 1) {
      counts.addOffered(rates(`workspace-${String(index)}`).roomClass, 200, 0);
    }
    const text = JSON.stringify(encodedDemand(counts.ownReport(0)));
    expect(text.length).toBeLessThan(3_000);
  });
});
