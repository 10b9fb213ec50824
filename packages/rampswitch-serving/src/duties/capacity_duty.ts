// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Orders backend servers according to the capacity plan. It scales up at once,
 * scales down after a delay, and remembers in which data halls the cloud had no
 * reclaimable servers.
 *
 * @module
 */
import type { Logger } from "rampswitch-utils";
import type { ServerDirectory, ServerRecord } from "../choice/mod.ts";
import type { RouteIndex } from "../intake/route_index.ts";
import type { Cloud, Fence, ServerOrder } from "../model/cloud.ts";
import type { Service } from "../model/configuration.ts";
import type { ServingMetrics } from "../observation/mod.ts";
import type { Rollouts } from "../rollout/mod.ts";
import {
  planCapacity,
  serversBeforeListing,
  serversBeforeLoad,
  serversMissingByLimits,
  serversNeeded,
  type DataHallServers,
  type DataHallTarget,
  type ServiceLoad,
} from "./capacity_plan.ts";

/**
 * Time for which the plan must need fewer servers before fewer are ordered, in
 * milliseconds.
 */
const SCALE_DOWN_DELAY_MILLISECONDS = 6_000;

/**
 * The same for servers on demand, in milliseconds. Fewer of them are planned as
 * soon as reclaimable ones are ready in their place. That is no fluctuation of
 * the load, and each one costs as much as four or more reclaimable ones.
 */
const ON_DEMAND_SCALE_DOWN_DELAY_MILLISECONDS = 1_500;

/** Time after a refusal until reclaimable servers are ordered again, in ms. */
const SOLD_OUT_RETRY_MILLISECONDS = 3_000;

/**
 * Time after an announced reclaim in which no reclaimable servers are ordered
 * in that data hall, in milliseconds.
 */
const RECLAIM_COOLDOWN_MILLISECONDS = 6_000;

/** Time beyond the usual start in which ordered servers are expected, in ms. */
const START_MARGIN_MILLISECONDS = 2_500;

/** Time until an order without an answer is sent again, in milliseconds. */
const ORDER_RETRY_MILLISECONDS = 1_000;

/**
 * Time after an order without an answer until the newest order is sent again,
 * in milliseconds. The cloud may carry out an unanswered order seconds later,
 * after newer ones, and reports this to nobody. It then has the servers of an
 * old plan.
 */
const ORDER_CONFIRM_MILLISECONDS = 6_000;

/**
 * Time without a further server after which the first servers of a deployment
 * are taken to be listed, in milliseconds: two of their heartbeats.
 */
const REGISTRATION_MILLISECONDS = 2_400;

/**
 * Maximum number of servers that were listed before any load, and since when.
 */
interface InitialServerCount {
  readonly listed: number;
  readonly since: number;
}

interface OrderState {
  /** Servers that the cloud accepted; `undefined` while that is not known. */
  ordered: number | undefined;
  orderedAt: number;
  excessSince: number | undefined;
  retryAt: number;
  /** When to send the newest order again, since an older one may follow it. */
  confirmAt: number | undefined;
}

/** Parts that the duty works with. */
export interface CapacityParts {
  readonly cloud: Cloud;
  readonly directory: ServerDirectory;
  readonly logger: Logger;
  readonly metrics: ServingMetrics;
  readonly rollouts: Pick<Rollouts, "counts" | "isMoving">;
  /** Data halls of the system. */
  readonly dataHalls: readonly string[];
  load(service: string): ServiceLoad;
  /** Time for which a request of a service holds a slot, in milliseconds. */
  holdMilliseconds(service: string): number;
  /** Requests per second that a server accepts, if it advertises a limit. */
  limitOf(record: ServerRecord): number | undefined;
  /** Whether no request has arrived since this host started. */
  isIdle(): boolean;
}

/** The duty of ordering servers, for as long as this host holds it. */
export class CapacityDuty {
  readonly #parts: CapacityParts;
  readonly #states = new Map<string, OrderState>();
  readonly #soldOutUntil = new Map<string, number>();
  /**
   * Load and needed servers behind the last plan of each service, for the log.
   */
  readonly #plannedLoads = new Map<string, ServiceLoad & { needed: number }>();
  readonly #initialCounts = new Map<string, InitialServerCount>();
  #fence = -1;

  constructor(parts: CapacityParts) {
    this.#parts = parts;
  }

  /** Sends the orders that are due; resolves when all were answered. */
  async sendDueOrders(
    routes: RouteIndex,
    fence: Fence,
    now: number,
  ): Promise<void> {
    if (fence.fence !== this.#fence) {
      this.#fence = fence.fence;
      this.#states.clear();
    }
    const due = routes.configuration.services.flatMap((service) =>
      this.#dueOrders(service, now),
    );
    await due.reduce(
      (previous, order) =>
        previous.then(() => this.#sendOrder(order, fence, now)),
      Promise.resolve(),
    );
  }

  #dueOrders(service: Service, now: number): readonly ServerOrder[] {
    const { capacity, engine } = service;
    if (capacity === undefined || engine === undefined) return [];
    if (this.#parts.isIdle()) this.#recordInitialCount(service, now);
    const load = this.#parts.load(service.name);
    const neededForLoad = serversNeeded(load, engine);
    const missing = this.#missingServers(service, load, {
      needed: neededForLoad,
      now,
    });
    const needed = Math.max(
      neededForLoad + missing,
      this.#parts.isIdle() ? this.#initiallyNeeded(service, now) : 0,
    );
    this.#parts.metrics.gauge("servers_missing_by_limits", missing);
    this.#plannedLoads.set(service.name, { ...load, needed });
    this.#parts.metrics.gauge("servers_needed", needed);
    const halls = this.#hallServers(service, now);
    return planCapacity(needed, halls, capacity)
      .flatMap((hallTarget, index) => {
        const hall = halls[index];
        return hall === undefined
          ? []
          : this.#ordersFor(service, hallTarget, hall);
      })
      .filter(({ order, ready }) => this.#isDue(order, ready, now))
      .map(({ order }) => order);
  }

  /**
   * Returns the servers that are needed in place of limited ones, until their
   * limits end, and of those in back-off, by the share of the time that they
   * back off.
   */
  #missingServers(
    { name }: Service,
    load: ServiceLoad,
    { needed, now }: { readonly needed: number; readonly now: number },
  ): number {
    const ready = this.#parts.directory
      .of(name)
      .filter(
        (record) => record.isReady && this.#parts.rollouts.counts(record),
      );
    const limits = ready.flatMap((record) => this.#parts.limitOf(record) ?? []);
    const byLimits = serversMissingByLimits(limits, {
      running: load.running,
      holdMilliseconds: this.#parts.holdMilliseconds(name),
      needed,
    });
    const backingOff = ready.reduce(
      (sum, { backOff: rest }) => sum + rest.share(now),
      0,
    );
    return byLimits + Math.ceil(backingOff);
  }

  /**
   * Returns the servers that are needed before any load. They follow from the
   * number of servers that the deployment began with or, while these still
   * register, from the limits of the service.
   */
  #initiallyNeeded({ name, capacity }: Service, now: number): number {
    const initial = this.#initialCounts.get(name);
    const listed = serversBeforeLoad(initial?.listed ?? 0);
    const isRegistering =
      initial === undefined || now - initial.since < REGISTRATION_MILLISECONDS;
    const halls = this.#parts.dataHalls.length;
    return isRegistering && capacity !== undefined
      ? Math.max(listed, serversBeforeListing(capacity, halls))
      : listed;
  }

  /** Records how many servers a deployment begins with, while they register. */
  #recordInitialCount(service: Service, now: number): void {
    // Reclaimable servers were ordered by the plan itself.
    const listed = this.#parts.directory
      .of(service.name)
      .filter((record) => !isReclaimable(record)).length;
    const recorded = this.#initialCounts.get(service.name);
    if (recorded !== undefined && recorded.listed >= listed) return;
    this.#initialCounts.set(service.name, { listed, since: now });
  }

  #hallServers(service: Service, now: number): readonly DataHallServers[] {
    // Servers of a version that is still being evaluated carry no load yet.
    const records = this.#parts.directory
      .of(service.name)
      .filter((record) => this.#parts.rollouts.counts(record));
    const hallPrices = service.capacity?.dataHallPrices;
    return this.#parts.dataHalls
      .filter((dataHall) => hallPrices?.has(dataHall) ?? true)
      .map((dataHall) => {
        const ready = records.filter(
          ({ entry }) => entry.dataHall === dataHall && entry.state === "ready",
        );
        return {
          dataHall,
          onDemandReady: ready.filter((r) => !r.entry.reclaimable).length,
          reclaimableReady: ready.filter(isReclaimable).length,
          reclaimableExpected: this.#expectedReclaimable(service, dataHall, {
            ready: ready.filter(isReclaimable).length,
            now,
          }),
          reclaimableSoldOut: this.#isSoldOut(service, dataHall, now),
        };
      });
  }

  /** Returns the reclaimable servers that are ready or should soon be. */
  #expectedReclaimable(
    service: Service,
    dataHall: string,
    options: { readonly ready: number; readonly now: number },
  ): number {
    const state = this.#states.get(stateKey(service.name, dataHall, true));
    const startMilliseconds = service.capacity?.startMilliseconds ?? 0;
    const isStarting =
      state?.ordered !== undefined &&
      options.now - state.orderedAt <
        startMilliseconds + START_MARGIN_MILLISECONDS;
    return isStarting
      ? Math.max(options.ready, state.ordered ?? 0)
      : options.ready;
  }

  /** Whether a data hall lately was reclaimed or had no servers to give. */
  #isSoldOut(service: Service, dataHall: string, now: number): boolean {
    const until = this.#soldOutUntil.get(`${service.name}/${dataHall}`) ?? 0;
    return until > now;
  }

  /**
   * Records that the reclaim of a reclaimable server was announced. If more
   * servers were ordered than remain, the cloud takes them back and has none to
   * give for a while.
   */
  recordAnnouncedReclaim(
    service: string,
    dataHall: string,
    options: { readonly remaining: number; readonly now: number },
  ): void {
    const state = this.#states.get(stateKey(service, dataHall, true));
    if (state?.ordered === undefined || state.ordered <= options.remaining)
      return;
    state.ordered = 0;
    const until = options.now + RECLAIM_COOLDOWN_MILLISECONDS;
    this.#soldOutUntil.set(`${service}/${dataHall}`, until);
    this.#parts.metrics.event("reclaim_seen");
  }

  #ordersFor(
    service: Service,
    hallTarget: DataHallTarget,
    hall: DataHallServers,
  ): readonly { readonly order: ServerOrder; readonly ready: number }[] {
    const common = { service: service.name, dataHall: hall.dataHall };
    const onDemand = this.#states.get(
      stateKey(service.name, hall.dataHall, false),
    );
    // While the first servers register, more may exist than were ordered.
    const current = this.#parts.isIdle()
      ? Math.max(onDemand?.ordered ?? 0, hall.onDemandReady)
      : (onDemand?.ordered ?? hall.onDemandReady);
    const onDemandDesired = Math.min(
      hallTarget.onDemandMaximum,
      Math.max(hallTarget.onDemandMinimum, current),
    );
    const orders = [
      {
        order: { ...common, reclaimable: false, desired: onDemandDesired },
        ready: hall.onDemandReady,
      },
    ];
    return hallTarget.reclaimable === undefined
      ? orders
      : [
          {
            order: {
              ...common,
              reclaimable: true,
              desired: hallTarget.reclaimable,
            },
            ready: hall.reclaimableReady,
          },
          ...orders,
        ];
  }

  #isDue(order: ServerOrder, ready: number, now: number): boolean {
    const state = this.#orderState(order);
    const current = state.ordered ?? ready;
    const needsConfirmation =
      state.confirmAt !== undefined && now >= state.confirmAt;
    if (order.desired === current) {
      state.excessSince = undefined;
      return needsConfirmation && now >= state.retryAt;
    }
    if (now < state.retryAt) return false;
    if (order.desired > current) return true;
    // A roll-out needs all existing servers; surplus ones are given up after
    // it.
    if (this.#parts.rollouts.isMoving(order.service)) return false;
    state.excessSince ??= now;
    const wait = order.reclaimable
      ? SCALE_DOWN_DELAY_MILLISECONDS
      : ON_DEMAND_SCALE_DOWN_DELAY_MILLISECONDS;
    return now - state.excessSince >= (this.#parts.isIdle() ? 0 : wait);
  }

  async #sendOrder(
    order: ServerOrder,
    fence: Fence,
    now: number,
  ): Promise<void> {
    const state = this.#orderState(order);
    const outcome = await this.#parts.cloud.orderServers(order, fence);
    const result = outcome.isOk ? "taken" : outcome.error;
    this.#parts.metrics.event(`order_${result}`);
    this.#parts.logger.info("servers ordered", {
      service: order.service,
      dataHall: order.dataHall,
      reclaimable: order.reclaimable,
      desired: order.desired,
      before: state.ordered,
      ...this.#plannedLoads.get(order.service),
      fence: fence.fence,
      outcome: result,
    });
    if (outcome.isOk) {
      const due = state.confirmAt !== undefined && now >= state.confirmAt;
      if (due) state.confirmAt = undefined;
      state.ordered = order.desired;
      state.orderedAt = now;
      state.excessSince = undefined;
      return;
    }
    state.retryAt = now + ORDER_RETRY_MILLISECONDS;
    if (outcome.error === "no_answer") {
      state.confirmAt = now + ORDER_CONFIRM_MILLISECONDS;
    }
    if (outcome.error === "conflict" && order.reclaimable) {
      const hallKey = `${order.service}/${order.dataHall}`;
      this.#soldOutUntil.set(hallKey, now + SOLD_OUT_RETRY_MILLISECONDS);
    }
  }

  #orderState(order: ServerOrder): OrderState {
    const key = stateKey(order.service, order.dataHall, order.reclaimable);
    const state = this.#states.get(key) ?? {
      ordered: undefined,
      orderedAt: 0,
      excessSince: undefined,
      retryAt: 0,
      confirmAt: undefined,
    };
    this.#states.set(key, state);
    return state;
  }
}

function isReclaimable(record: ServerRecord): boolean {
  return record.entry.reclaimable;
}

function stateKey(
  service: string,
  dataHall: string,
  reclaimable: boolean,
): string {
  return `${service}/${dataHall}/${reclaimable}`;
}
