// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import { ManualClock } from "rampswitch-utils";
import { ServerRecord } from "../choice/mod.ts";
import { RouteIndex } from "../intake/route_index.ts";
import type { Route, Service } from "../model/configuration.ts";
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

function route(name: string, more: Partial<Route>): Route {
  return {
    name,
    hostName: "h",
    pathPrefix: `/${name}`,
    streaming: true,
    repeatability: "at_most_once",
    resumable: false,
    open: false,
    targets: [{ service: "models", weight: 1 }],
    maximumRuns: 1,
    timeoutMilliseconds: 4_000,
    targetMilliseconds: 800,
    priority: 1,
    ...more,
  };
}

function setUp(routes: readonly Route[], hosts = 1) {
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
  const index = new RouteIndex({
    version: 1,
    routes,
    services: [ENGINE, PLAIN],
    workspaces: [],
    callerLimits: {
      headerBytes: 1,
      bodyBytes: 1,
      headerMilliseconds: 1,
      idleMilliseconds: 1,
    },
  });
  const context = {
    clock,
    configuration: () => ({ routes: index }),
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
  test.each([
    ["no route", []],
    ["one streaming route", [route("a", {})]],
    ["equal streaming routes", [route("a", {}), route("b", {})]],
    [
      "one streaming route beside a plain one of another rank",
      [route("a", {}), route("b", { streaming: false, priority: 0 })],
    ],
    [
      "streams of another service",
      [
        route("a", {}),
        route("b", { priority: 0, targets: [{ service: "plain", weight: 1 }] }),
      ],
    ],
  ])("have no effect with %s", (_, routes) => {
    const { of, memoryOf } = setUp(routes);
    expect(of()).toBeUndefined();
    expect(memoryOf()).toBe(0);
  });

  test.each([
    ["ranks", { priority: 0 }],
    ["targets", { targetMilliseconds: 2_500 }],
  ])("take effect with streams of two %s at engines", (_, more) => {
    const { of, memoryOf } = setUp([route("a", {}), route("b", more)]);
    expect(memoryOf()).toBe(4_400);
    expect(memoryOf(PLAIN)).toBe(0);
    expect(of()).toEqual({
      homes: 1,
      meanHoldMilliseconds: 700,
      memoryTokens: 4_400,
    });
    expect(of(PLAIN)).toBeUndefined();
  });

  test("take effect at services whose servers report their speed", () => {
    const { clock, records, of } = setUp([]);
    expect(of(PLAIN)).toBeUndefined();
    records[3]?.speed.reported(120, clock.now());
    clock.advance(1_000);
    expect(of(PLAIN)).toBeDefined();
    expect(of()).toBeDefined();
    // Figures come only with answers, and a service may be without requests.
    clock.advance(600_000);
    expect(of(PLAIN)).toBeDefined();
  });

  test("spread a subject with much of the traffic, and no other", () => {
    const routes = [route("a", {}), route("b", { priority: 0 })];
    const { clock, of } = setUp(routes, 60);
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
