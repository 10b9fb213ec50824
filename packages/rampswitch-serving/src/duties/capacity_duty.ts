// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Orders backend servers by the plan: rises at once, falls after a while, and
 * remembers where the cloud had nothing to give.
 *
 * @module
 */
import type { Logger } from "rampswitch-utils";
import type { ServerDirectory, ServerRecord } from "../choice/mod.ts";
import type { RouteIndex } from "../intake/route_index.ts";
import type { Cloud, Fence, ServerOrder } from "../model/cloud.ts";
import type { Service } from "../model/configuration.ts";
import type { ServingMetrics } from "../observation/mod.ts";
import {
  planCapacity,
  serversNeeded,
  type DataHallServers,
  type DataHallWish,
  type ServiceLoad,
} from "./capacity_plan.ts";

/** A fall of a wish is ordered after it lasted this long, in milliseconds. */
const FALL_MILLISECONDS = 6_000;

/** After a refusal, reclaimable servers are asked for again after this. */
const SOLD_OUT_MILLISECONDS = 3_000;

/** Wait before an order without an answer is repeated, in milliseconds. */
const REPEAT_MILLISECONDS = 1_000;

interface OrderState {
  /** What the cloud has taken; `undefined` when that is not known. */
  ordered: number | undefined;
  fallSince: number | undefined;
  notBefore: number;
}

/** Parts that the duty works with. */
export interface CapacityParts {
  readonly cloud: Cloud;
  readonly directory: ServerDirectory;
  readonly logger: Logger;
  readonly metrics: ServingMetrics;
  /** Data halls of the system. */
  readonly dataHalls: readonly string[];
  load(service: string): ServiceLoad;
}

/** The duty of ordering servers, for as long as this host holds it. */
export class CapacityDuty {
  readonly #parts: CapacityParts;
  readonly #orders = new Map<string, OrderState>();
  readonly #soldOutUntil = new Map<string, number>();
  #fence = -1;

  constructor(parts: CapacityParts) {
    this.#parts = parts;
  }

  /** Sends the orders that are due; resolves when all were answered. */
  async act(routes: RouteIndex, fence: Fence, now: number): Promise<void> {
    if (fence.fence !== this.#fence) {
      this.#fence = fence.fence;
      this.#orders.clear();
    }
    const due = routes.configuration.services.flatMap((service) =>
      this.#dueOrders(service, now),
    );
    await due.reduce(
      (previous, order) => previous.then(() => this.#order(order, fence, now)),
      Promise.resolve(),
    );
  }

  #dueOrders(service: Service, now: number): readonly ServerOrder[] {
    const { capacity, engine } = service;
    if (capacity === undefined || engine === undefined) return [];
    const needed = serversNeeded(this.#parts.load(service.name), engine);
    this.#parts.metrics.gauge("servers_needed", needed);
    const halls = this.#halls(service, now);
    return planCapacity(needed, halls, capacity)
      .flatMap((wish) => ordersOf(service.name, wish))
      .filter((order) => this.#isDue(order, now));
  }

  #halls(service: Service, now: number): readonly DataHallServers[] {
    const records = this.#parts.directory.of(service.name);
    const priced = service.capacity?.dataHallPrices;
    return this.#parts.dataHalls
      .filter((dataHall) => priced?.has(dataHall) ?? true)
      .map((dataHall) => {
        const ready = records.filter(
          ({ entry }) => entry.dataHall === dataHall && entry.state === "ready",
        );
        return {
          dataHall,
          onDemandReady: ready.filter((r) => !r.entry.reclaimable).length,
          reclaimableReady: ready.filter(isReclaimable).length,
          reclaimableSoldOut:
            (this.#soldOutUntil.get(`${service.name}/${dataHall}`) ?? 0) > now,
        };
      });
  }

  #isDue(order: ServerOrder, now: number): boolean {
    const state = this.#state(order);
    if (now < state.notBefore || state.ordered === order.desired) {
      if (state.ordered === order.desired) state.fallSince = undefined;
      return false;
    }
    const first = state.ordered === undefined;
    const rises = !first && order.desired > (state.ordered ?? 0);
    // Servers on demand that run from the start stay until others are ready.
    if (rises || (first && order.reclaimable)) return true;
    state.fallSince ??= now;
    return now - state.fallSince >= FALL_MILLISECONDS;
  }

  async #order(order: ServerOrder, fence: Fence, now: number): Promise<void> {
    const state = this.#state(order);
    const outcome = await this.#parts.cloud.orderServers(order, fence);
    const result = outcome.isOk ? "taken" : outcome.error;
    this.#parts.metrics.event(`order_${result}`);
    this.#parts.logger.info("servers ordered", {
      service: order.service,
      dataHall: order.dataHall,
      reclaimable: order.reclaimable,
      desired: order.desired,
      before: state.ordered,
      fence: fence.fence,
      outcome: result,
    });
    if (outcome.isOk) {
      state.ordered = order.desired;
      state.fallSince = undefined;
      return;
    }
    state.notBefore = now + REPEAT_MILLISECONDS;
    if (outcome.error === "conflict" && order.reclaimable) {
      const place = `${order.service}/${order.dataHall}`;
      this.#soldOutUntil.set(place, now + SOLD_OUT_MILLISECONDS);
    }
  }

  #state(order: ServerOrder): OrderState {
    const key = `${order.service}/${order.dataHall}/${order.reclaimable}`;
    const state = this.#orders.get(key) ?? {
      ordered: undefined,
      fallSince: undefined,
      notBefore: 0,
    };
    this.#orders.set(key, state);
    return state;
  }
}

function isReclaimable(record: ServerRecord): boolean {
  return record.entry.reclaimable;
}

function ordersOf(service: string, wish: DataHallWish): readonly ServerOrder[] {
  return [
    {
      service,
      dataHall: wish.dataHall,
      reclaimable: true,
      desired: wish.reclaimable,
    },
    {
      service,
      dataHall: wish.dataHall,
      reclaimable: false,
      desired: wish.onDemand,
    },
  ];
}
