// Copyright 2026 the rampswitch authors. Apache-2.0 license.

import { describe, expect, test } from "@jest/globals";
import { Result } from "true-myth";
import { SILENT_LOGGER } from "rampswitch-utils";
import { ServerDirectory } from "../choice/mod.ts";
import { RouteIndex } from "../intake/route_index.ts";
import type { ServerOrder } from "../model/cloud.ts";
import { ServingMetrics } from "../observation/mod.ts";
import { singleHostRollouts } from "../rollout/rollout_standin.ts";
import { CapacityDuty, type CapacityParts } from "./capacity_duty.ts";

const DATA_HALLS = ["a", "b", "c", "d"];
const FENCE = { holder: "host", fence: 1 };

const ROUTES = new RouteIndex({
  version: 1,
  routes: [],
  services: [
    {
      name: "models",
      maximumConnections: 100,
      engine: { slots: 32, memoryTokens: 250_000, migratable: true },
      capacity: {
        minimum: 1,
        maximum: 46,
        startMilliseconds: 4_000,
        reclaimablePriceShare: 0.2,
        dataHallPrices: new Map(DATA_HALLS.map((hall) => [hall, 1])),
      },
    },
  ],
  workspaces: [],
  callerLimits: {
    headerBytes: 1,
    bodyBytes: 1,
    headerMilliseconds: 1,
    idleMilliseconds: 1,
  },
});

/**
 * Creates a duty before any load; the cloud takes every order that it answers.
 */
function idleDuty(
  doesAnswer: () => boolean = () => true,
  overrides: Partial<
    Pick<CapacityParts, "load" | "holdMilliseconds" | "limitOf" | "isIdle">
  > = {},
): {
  readonly duty: CapacityDuty;
  readonly orders: ServerOrder[];
  readonly directory: ServerDirectory;
} {
  const orders: ServerOrder[] = [];
  const directory = new ServerDirectory();
  const duty = new CapacityDuty({
    cloud: {
      reportUsage: () => Promise.resolve(Result.ok(undefined)),
      orderServers: (order) => {
        orders.push(order);
        return Promise.resolve(
          doesAnswer() ? Result.ok(undefined) : Result.err("no_answer"),
        );
      },
    },
    directory,
    logger: SILENT_LOGGER,
    metrics: new ServingMetrics(),
    rollouts: singleHostRollouts(directory),
    dataHalls: DATA_HALLS,
    load: () => ({ running: 0, readTokensPerSecond: 0, readingRate: 40 }),
    holdMilliseconds: () => 1_000,
    limitOf: () => undefined,
    isIdle: () => true,
    ...overrides,
  });
  return { duty, orders, directory };
}

function listServers(directory: ServerDirectory, count: number): void {
  Array.from({ length: count }, (_, index) =>
    directory.put(
      {
        id: `s${index}`,
        service: "models",
        address: `10.0.0.${index}:1`,
        dataHall: DATA_HALLS[index % DATA_HALLS.length] ?? "a",
        slots: 32,
        state: "ready",
        version: "v1",
        reclaimable: false,
        born: undefined,
      },
      0,
    ),
  );
}

describe("servers before the first load", () => {
  test("are ordered at once, by the limits of the service", async () => {
    const { duty, orders, directory } = idleDuty();
    listServers(directory, 3);
    await duty.sendDueOrders(ROUTES, FENCE, 0);
    expect(totalDesired(orders, true)).toBeGreaterThanOrEqual(54);
    expect(totalDesired(orders, false)).toBeGreaterThanOrEqual(54);
  });

  test("are not given up while they still register", async () => {
    const { duty, orders, directory } = idleDuty();
    for (let at = 0; at <= 3_000; at += 500) {
      const listed = 1 + (at / 500) * 15;
      listServers(directory, listed);
      await duty.sendDueOrders(ROUTES, FENCE, at);
      // 0.6 of 90 servers on demand are retained, or all that exist.
      expect(onDemandAfterOrders(orders, directory)).toBeGreaterThanOrEqual(
        Math.min(54, listed),
      );
    }
  });

  test("are planned by the number that registered", async () => {
    const { duty, orders, directory } = idleDuty();
    listServers(directory, 20);
    await duty.sendDueOrders(ROUTES, FENCE, 0);
    await duty.sendDueOrders(ROUTES, FENCE, 9_000);
    const last = new Map(
      orders
        .filter(({ reclaimable }) => reclaimable)
        .map((order) => [order.dataHall, order.desired]),
    );
    // 0.6 of 20 servers, 16/9 of it with the reserve, over four data halls.
    expect([...last.values()]).toEqual([6, 6, 5, 5]);
  });
});

describe("servers that advertise limits", () => {
  /** Returns the reclaimable servers ordered while some servers have limits. */
  async function reclaimableOrderedWith(
    limits: readonly number[],
  ): Promise<number> {
    const { duty, orders, directory } = idleDuty(() => true, {
      isIdle: () => false,
      // Some 16 requests per second for each of the servers that this load
      // needs.
      load: () => ({ running: 160, readTokensPerSecond: 0, readingRate: 40 }),
      limitOf: ({ entry }) => limits[Number(entry.id.slice(1))],
    });
    listServers(directory, 20);
    await duty.sendDueOrders(ROUTES, FENCE, 60_000);
    return totalDesired(orders, true);
  }

  test("are replaced for the share that they do not accept", async () => {
    const usual = await reclaimableOrderedWith([]);
    const replaced = await reclaimableOrderedWith([1, 1.2, 0.5, 0]);
    // Four servers, 16/9 of them with the reserve.
    expect(replaced - usual).toBeGreaterThanOrEqual(6);
    expect(replaced - usual).toBeLessThanOrEqual(8);
  });

  test("are not replaced if they accept as much as any other", async () => {
    expect(await reclaimableOrderedWith([80, 80])).toBe(
      await reclaimableOrderedWith([]),
    );
  });
});

describe("orders while the cloud does not answer", () => {
  /** Returns the orders sent in each second of a simulation. */
  async function ordersBySecond(
    seconds: number,
    answersAt: (second: number) => boolean,
  ): Promise<readonly (readonly ServerOrder[])[]> {
    let second = 0;
    const { duty, orders, directory } = idleDuty(() => answersAt(second));
    listServers(directory, 60);
    const sent: (readonly ServerOrder[])[] = [];
    for (; second < seconds; second += 1) {
      const before = orders.length;
      for (let part = 0; part < 4; part += 1) {
        await duty.sendDueOrders(
          ROUTES,
          FENCE,
          10_000 + second * 1_000 + part * 250,
        );
      }
      sent.push(orders.slice(before));
    }
    return sent;
  }

  function subjectOf({ dataHall, reclaimable }: ServerOrder): string {
    return `${dataHall}/${reclaimable}`;
  }

  test("are repeated once a second until they are answered", async () => {
    const sent = await ordersBySecond(6, (second) => second >= 4);
    const subjects = sent.map((orders) => orders.map(subjectOf));
    subjects.slice(0, 4).forEach((names) => {
      expect(names.length).toBeGreaterThan(0);
      expect(new Set(names).size).toBe(names.length);
    });
    expect(subjects[4]).toEqual(expect.arrayContaining(subjects[0] ?? []));
  });

  test("are sent once more afterwards, since they may be carried out late", async () => {
    const sent = await ordersBySecond(20, (second) => second >= 2);
    const unanswered = new Set(sent.slice(0, 2).flat().map(subjectOf));
    const answered = sent.slice(2).flat();
    unanswered.forEach((name) => {
      const orders = answered.filter((order) => subjectOf(order) === name);
      const repeated = orders.filter(
        ({ desired }, index) => desired === orders[index - 1]?.desired,
      );
      expect([name, repeated.length]).toEqual([name, 1]);
    });
  });
});

/** Servers on demand over all data halls once the orders are carried out. */
function onDemandAfterOrders(
  orders: readonly ServerOrder[],
  directory: ServerDirectory,
): number {
  return DATA_HALLS.reduce((total, hall) => {
    const last = orders.findLast(
      ({ dataHall, reclaimable }) => dataHall === hall && !reclaimable,
    );
    const listed = directory
      .all()
      .filter(({ entry }) => entry.dataHall === hall).length;
    return total + (last?.desired ?? listed);
  }, 0);
}

function totalDesired(
  orders: readonly ServerOrder[],
  reclaimable: boolean,
): number {
  return orders
    .filter((order) => order.reclaimable === reclaimable)
    .reduce((sum, order) => sum + order.desired, 0);
}
