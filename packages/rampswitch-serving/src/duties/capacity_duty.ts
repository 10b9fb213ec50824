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
import type { Rollouts } from "../rollout/mod.ts";
import {
  planCapacity,
  serversBeforeListing,
  serversBeforeLoad,
  serversMissing,
  serversNeeded,
  type DataHallServers,
  type DataHallWish,
  type ServiceLoad,
} from "./capacity_plan.ts";

/** A fall of a wish is ordered after it lasted this long, in milliseconds. */
const FALL_MILLISECONDS = 6_000;

/**
 * The same for servers on demand, in milliseconds. They are wished for less as
 * soon as reclaimable ones are ready in their place, which is no chance of the
 * load, and each costs as much as four or more of those.
 */
const FALL_ON_DEMAND_MILLISECONDS = 1_500;

/** After a refusal, reclaimable servers are asked for again after this, in ms. */
const SOLD_OUT_MILLISECONDS = 3_000;

/**
 * After an announced reclaim, none are asked for in that data hall for this
 * long, in milliseconds.
 */
const RECLAIMED_MILLISECONDS = 6_000;

/** Time beyond the usual start in which ordered servers are expected, in ms. */
const START_MARGIN_MILLISECONDS = 2_500;

/** Wait before an order without an answer is repeated, in milliseconds. */
const REPEAT_MILLISECONDS = 1_000;

/**
 * Time after an order without an answer until the newest one is sent again, in
 * milliseconds. The cloud may carry an unanswered order out seconds later, behind
 * newer ones, and tells nobody: what it has then is what an old plan wished.
 */
const CONFIRM_MILLISECONDS = 6_000;

/**
 * Time without a further server after which a deployment's first servers are
 * taken to be listed, in milliseconds: two heartbeats of theirs.
 */
const REGISTRATION_MILLISECONDS = 2_400;

/** Most servers that were listed before any load, and since when. */
interface FirstCount {
  readonly most: number;
  readonly since: number;
}

interface OrderState {
  /** What the cloud has taken; `undefined` when that is not known. */
  ordered: number | undefined;
  orderedAt: number;
  fallSince: number | undefined;
  notBefore: number;
  /** When to repeat the newest order, since an older one may follow it. */
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
  /** Time for which a request of a service holds a place, in milliseconds. */
  holdMilliseconds(service: string): number;
  /** Requests a second that a server takes, where it names a limit. */
  limitOf(record: ServerRecord): number | undefined;
  /** Whether no request has come since this host started. */
  idle(): boolean;
}

/** The duty of ordering servers, for as long as this host holds it. */
export class CapacityDuty {
  readonly #parts: CapacityParts;
  readonly #states = new Map<string, OrderState>();
  readonly #soldOutUntil = new Map<string, number>();
  /** What the last plan of each service went by, for the log. */
  readonly #plannedBy = new Map<string, ServiceLoad & { needed: number }>();
  readonly #firstCounts = new Map<string, FirstCount>();
  #fence = -1;

  constructor(parts: CapacityParts) {
    this.#parts = parts;
  }

  /** Sends the orders that are due; resolves when all were answered. */
  async act(routes: RouteIndex, fence: Fence, now: number): Promise<void> {
    if (fence.fence !== this.#fence) {
      this.#fence = fence.fence;
      this.#states.clear();
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
    if (this.#parts.idle()) this.#countFirst(service, now);
    const load = this.#parts.load(service.name);
    const loaded = serversNeeded(load, engine);
    const missing = this.#missing(service, load, {
      needed: loaded,
      now,
    });
    const needed = Math.max(
      loaded + missing,
      this.#parts.idle() ? this.#firstNeeded(service, now) : 0,
    );
    this.#parts.metrics.gauge("servers_missing_by_limits", missing);
    this.#plannedBy.set(service.name, { ...load, needed });
    this.#parts.metrics.gauge("servers_needed", needed);
    const halls = this.#halls(service, now);
    return planCapacity(needed, halls, capacity)
      .flatMap((wish, index) => {
        const hall = halls[index];
        return hall === undefined ? [] : this.#ordersOf(service, wish, hall);
      })
      .filter(({ order, ready }) => this.#isDue(order, ready, now))
      .map(({ order }) => order);
  }

  /**
   * Servers that are needed in place of limited ones, until the limits end, and of
   * those that rest, by the share of the time that they do.
   */
  #missing(
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
    const byLimits = serversMissing(limits, {
      running: load.running,
      holdMilliseconds: this.#parts.holdMilliseconds(name),
      needed,
    });
    const resting = ready.reduce((sum, { rest }) => sum + rest.share(now), 0);
    return byLimits + Math.ceil(resting);
  }

  /**
   * Servers needed before any load: by the number that the deployment began
   * with, or, while that still registers, by what the service may grow to.
   */
  #firstNeeded({ name, capacity }: Service, now: number): number {
    const first = this.#firstCounts.get(name);
    const listed = serversBeforeLoad(first?.most ?? 0);
    const registers =
      first === undefined || now - first.since < REGISTRATION_MILLISECONDS;
    const halls = this.#parts.dataHalls.length;
    return registers && capacity !== undefined
      ? Math.max(listed, serversBeforeListing(capacity, halls))
      : listed;
  }

  /** Counts the servers that a deployment begins with while they register. */
  #countFirst(service: Service, now: number): void {
    // Reclaimable ones were ordered by the plan itself.
    const listed = this.#parts.directory
      .of(service.name)
      .filter((record) => !isReclaimable(record)).length;
    const known = this.#firstCounts.get(service.name);
    if (known !== undefined && known.most >= listed) return;
    this.#firstCounts.set(service.name, { most: listed, since: now });
  }

  #halls(service: Service, now: number): readonly DataHallServers[] {
    // Servers of a version that is still judged carry nothing yet.
    const records = this.#parts.directory
      .of(service.name)
      .filter((record) => this.#parts.rollouts.counts(record));
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
          reclaimableExpected: this.#expected(service, dataHall, {
            ready: ready.filter(isReclaimable).length,
            now,
          }),
          reclaimableSoldOut: this.#isSoldOut(service, dataHall, now),
        };
      });
  }

  /** Reclaimable servers that are ready or should soon be. */
  #expected(
    service: Service,
    dataHall: string,
    options: { readonly ready: number; readonly now: number },
  ): number {
    const state = this.#states.get(stateKey(service.name, dataHall, true));
    const start = service.capacity?.startMilliseconds ?? 0;
    const starting =
      state?.ordered !== undefined &&
      options.now - state.orderedAt < start + START_MARGIN_MILLISECONDS;
    return starting
      ? Math.max(options.ready, state.ordered ?? 0)
      : options.ready;
  }

  /** Whether a data hall was reclaimed or had nothing to give lately. */
  #isSoldOut(service: Service, dataHall: string, now: number): boolean {
    const until = this.#soldOutUntil.get(`${service.name}/${dataHall}`) ?? 0;
    return until > now;
  }

  /**
   * A reclaimable server was announced to leave. Where more were ordered than
   * are left, the cloud takes them back and has none to give for a while.
   */
  reclaimableLeaves(
    service: string,
    dataHall: string,
    options: { readonly left: number; readonly now: number },
  ): void {
    const state = this.#states.get(stateKey(service, dataHall, true));
    if (state?.ordered === undefined || state.ordered <= options.left) return;
    state.ordered = 0;
    const until = options.now + RECLAIMED_MILLISECONDS;
    this.#soldOutUntil.set(`${service}/${dataHall}`, until);
    this.#parts.metrics.event("reclaim_seen");
  }

  #ordersOf(
    service: Service,
    wish: DataHallWish,
    hall: DataHallServers,
  ): readonly { readonly order: ServerOrder; readonly ready: number }[] {
    const common = { service: service.name, dataHall: hall.dataHall };
    const onDemand = this.#states.get(
      stateKey(service.name, hall.dataHall, false),
    );
    // While the first servers register, more may be there than were ordered.
    const current = this.#parts.idle()
      ? Math.max(onDemand?.ordered ?? 0, hall.onDemandReady)
      : (onDemand?.ordered ?? hall.onDemandReady);
    const kept = Math.min(
      wish.onDemandMost,
      Math.max(wish.onDemandLeast, current),
    );
    const orders = [
      {
        order: { ...common, reclaimable: false, desired: kept },
        ready: hall.onDemandReady,
      },
    ];
    return wish.reclaimable === undefined
      ? orders
      : [
          {
            order: {
              ...common,
              reclaimable: true,
              desired: wish.reclaimable,
            },
            ready: hall.reclaimableReady,
          },
          ...orders,
        ];
  }

  #isDue(order: ServerOrder, ready: number, now: number): boolean {
    const state = this.#state(order);
    const current = state.ordered ?? ready;
    const confirms = state.confirmAt !== undefined && now >= state.confirmAt;
    if (order.desired === current) {
      state.fallSince = undefined;
      return confirms && now >= state.notBefore;
    }
    if (now < state.notBefore) return false;
    if (order.desired > current) return true;
    // A roll-out needs all that there are; what is too many falls after it.
    if (this.#parts.rollouts.isMoving(order.service)) return false;
    state.fallSince ??= now;
    const wait = order.reclaimable
      ? FALL_MILLISECONDS
      : FALL_ON_DEMAND_MILLISECONDS;
    return now - state.fallSince >= (this.#parts.idle() ? 0 : wait);
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
      ...this.#plannedBy.get(order.service),
      fence: fence.fence,
      outcome: result,
    });
    if (outcome.isOk) {
      const due = state.confirmAt !== undefined && now >= state.confirmAt;
      if (due) state.confirmAt = undefined;
      state.ordered = order.desired;
      state.orderedAt = now;
      state.fallSince = undefined;
      return;
    }
    state.notBefore = now + REPEAT_MILLISECONDS;
    if (outcome.error === "no_answer") {
      state.confirmAt = now + CONFIRM_MILLISECONDS;
    }
    if (outcome.error === "conflict" && order.reclaimable) {
      const place = `${order.service}/${order.dataHall}`;
      this.#soldOutUntil.set(place, now + SOLD_OUT_MILLISECONDS);
    }
  }

  #state(order: ServerOrder): OrderState {
    const key = stateKey(order.service, order.dataHall, order.reclaimable);
    const state = this.#states.get(key) ?? {
      ordered: undefined,
      orderedAt: 0,
      fallSince: undefined,
      notBefore: 0,
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
