// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Reads orders of roll-outs from the platform's store and stores their states. The
 * holder of the duties watches the orders; other hosts hear of them by news, and
 * read them only when a version turns up that nobody told them of.
 *
 * @module
 */
import {
  type Clock,
  jitter,
  type Logger,
  type Random,
  repeat,
  type Repetition,
} from "rampswitch-utils";
import { type ObjectStore, type StoredObject, Watcher } from "rampswitch-store";
import type { ServingMetrics } from "../observation/mod.ts";
import type { RolloutOrders } from "./rollout_spec.ts";
import type { DueState, Rollouts } from "./rollouts.ts";

/** What the store of orders works with. */
export interface RolloutStoreParts {
  readonly rollouts: Rollouts;
  readonly orders: RolloutOrders;
  readonly store: ObjectStore;
  /** A steady clock. */
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly metrics: ServingMetrics;
  /** Whether this host may act for the fleet now. */
  holdsDuties(): boolean;
  /** Whether other hosts tell this one of orders. */
  hearsOrders(): boolean;
}

/** Longest wait of the holder's watch, in seconds: near the most that stores allow. */
const WATCH_SECONDS = 29;

/** Wait after a call that failed, in milliseconds. */
const RETRY_MILLISECONDS = 500;

/** Wait where there is nothing to read, in milliseconds. */
const IDLE_MILLISECONDS = 60_000;

/** Time for others to tell of the order of a version, in milliseconds. */
const HEARD_MILLISECONDS = 900;

/** The orders in the store. */
export class RolloutStore implements AsyncDisposable {
  readonly #parts: RolloutStoreParts;
  readonly #watcher: Watcher;
  readonly #questions: Repetition;
  /** Newest version of each order that was read. */
  readonly #versions = new Map<string, number>();

  constructor(parts: RolloutStoreParts) {
    this.#parts = parts;
    const { store, orders, clock, random } = parts;
    this.#watcher = new Watcher(store, orders.prefix, {
      clock,
      random,
      seconds: () => WATCH_SECONDS,
      listener: {
        changed: (object) => this.#take(object),
        removed: (key) =>
          parts.rollouts.withdrawn(this.#name(key), clock.now()),
        confirmed: () => this.#leaveToHolder(),
        failed: () => {
          parts.metrics.event("rollout_watch_failed");
          this.#leaveToHolder();
        },
      },
    });
    this.#watcher.suspend();
    this.#questions = repeat(
      clock,
      () => jitter(random, this.#wait()),
      () => this.#ask(),
    );
  }

  /** Follows the orders for as long as this host holds the duties. */
  follow(): void {
    this.#watcher.resume();
  }

  /** A version turned up that no order told of. */
  unknownVersion(): void {
    this.#questions.hurry();
  }

  /** Stores states that are due, one after the other. */
  async store(due: readonly DueState[]): Promise<void> {
    await due.reduce(
      (previous, state) => previous.then(() => this.#store(state)),
      Promise.resolve(),
    );
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#watcher[Symbol.asyncDispose]();
    await this.#questions[Symbol.asyncDispose]();
  }

  #leaveToHolder(): void {
    if (!this.#parts.holdsDuties()) this.#watcher.suspend();
  }

  #wait(): number {
    return Number.isFinite(this.#parts.rollouts.holdingSince)
      ? RETRY_MILLISECONDS
      : IDLE_MILLISECONDS;
  }

  async #ask(): Promise<void> {
    const { rollouts, store, orders, clock, metrics } = this.#parts;
    const waited = clock.now() - rollouts.holdingSince;
    const mayHear = this.#parts.hearsOrders() && waited < HEARD_MILLISECONDS;
    if (!Number.isFinite(rollouts.holdingSince) || mayHear) return;
    const listed = await store.list(orders.prefix);
    if (listed.isErr) {
      metrics.event("rollout_orders_unread");
      return;
    }
    listed.value.objects.forEach((object) => this.#take(object));
    rollouts.read();
  }

  #take(object: StoredObject): void {
    const { rollouts, orders, clock, logger, metrics } = this.#parts;
    // An answer that comes late tells of an order that is not the newest.
    if ((this.#versions.get(object.key) ?? 0) > object.version) return;
    this.#versions.set(object.key, object.version);
    const decoded = orders.decode(object.key, object.value);
    if (decoded.isOk) {
      rollouts.stored(decoded.value, object.version, clock.now());
      return;
    }
    rollouts.unreadable(this.#name(object.key));
    metrics.event("rollout_order_malformed");
    logger.error("order of a roll-out can't be read", {
      key: object.key,
      version: object.version,
      detail: decoded.error,
    });
  }

  async #store({ order, state, storeVersion }: DueState): Promise<void> {
    const { orders, logger, metrics } = this.#parts;
    const put = await orders.storeState(order, state, storeVersion);
    const outcome = put.isOk ? "stored" : put.error.kind;
    metrics.event(`rollout_state_${outcome}`);
    logger.info("roll-out state", {
      service: order.service,
      toVersion: order.toVersion,
      state,
      outcome,
    });
    if (put.isOk) this.#take(put.value);
    else if (put.error.kind === "conflict" && put.error.current !== undefined) {
      this.#take(put.error.current);
    }
  }

  #name(key: string): string {
    return key.slice(this.#parts.orders.prefix.length);
  }
}
