// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import { ManualClock } from "rampswitch-utils";
import { ServerRecord } from "../choice/mod.ts";
import type { Service } from "../model/configuration.ts";
import type { AdmittedRequest } from "./admitted_request.ts";
import {
  type PlacementContext,
  RequestPlacement,
} from "./request_placement.ts";

const ENGINE: Service = {
  name: "models",
  maximumConnections: 100,
  engine: { slots: 8, memoryTokens: 500_000, migratable: true },
  capacity: undefined,
};

const PLAIN: Service = { ...ENGINE, name: "plain", engine: undefined };

function setUp(hosts = 1) {
  const clock = new ManualClock(1_000);
  const records = ["s1", "s2", "s3", "s4", "s5", "s6", "s7", "s8"].map(
    (id) =>
      new ServerRecord({
        id,
        service: "models",
        address: "127.0.0.1:1",
        dataHall: "a",
        slots: 8,
        state: "ready",
        version: "v1",
        reclaimable: true,
        born: 1,
      }),
  );
  const context = {
    clock,
    directory: { of: () => records },
    hosts: () => hosts,
    workEstimates: {
      meanHoldMilliseconds: () => 700,
      prefillRate: () => 50,
      of: () => ({ memoryTokens: 4_400 }),
    },
  } as unknown as PlacementContext;
  const placement = new RequestPlacement();
  const requestOf = (service: Service, parts: readonly string[]) => {
    const promptParts = parts.map((id) => ({ id, tokens: 2_000 }));
    const head = { promptParts, promptTokens: 4_000 };
    return { service, head } as unknown as AdmittedRequest;
  };
  const memoryOf = (service = ENGINE) =>
    placement.memoryTokens(requestOf(service, ["subject", "own"]), context);
  const of = (service = ENGINE, parts = ["subject", "own"]) => {
    const request = requestOf(service, parts);
    const found = placement.of(request, context);
    placement.count(request, context);
    return found;
  };
  return { clock, records, of, memoryOf };
}

describe("new rules of placement", () => {
  test("have no effect where no server reports its speed", () => {
    const { of, memoryOf } = setUp();
    expect(of()).toBeUndefined();
    expect(memoryOf()).toBe(0);
  });

  test("take effect at services whose servers report their speed", () => {
    const { clock, records, of, memoryOf } = setUp();
    expect(of(PLAIN)).toBeUndefined();
    records[3]?.speed.reported(120, clock.now());
    clock.advance(1_000);
    expect(of(PLAIN)).toBeDefined();
    expect(of()).toEqual({
      homes: 1,
      meanHoldMilliseconds: 700,
      memoryTokens: 4_400,
    });
    expect(memoryOf()).toBe(4_400);
    expect(memoryOf(PLAIN)).toBe(0);
    // Figures come only with answers, and a service may be without requests.
    clock.advance(600_000);
    expect(of(PLAIN)).toBeDefined();
  });

  test("spread a subject with much of the traffic, and no other", () => {
    const { clock, records, of } = setUp(60);
    records[0]?.speed.reported(100, clock.now());
    Array.from({ length: 100 }).forEach(() => {
      clock.advance(1_000);
      of();
    });
    expect(of()?.homes).toBe(2);
    expect(of(ENGINE, ["other", "own"])?.homes).toBe(1);
    expect(of(ENGINE, ["own"])?.homes).toBe(1);
    clock.advance(60_000);
    expect(of()?.homes).toBe(1);
  });
});
