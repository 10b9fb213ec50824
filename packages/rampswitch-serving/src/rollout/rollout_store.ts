// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Reads roll-out specs from the platform's store and stores their states. The
 * duty holder watches the specs. Other hosts receive them by gossip, and read
 * them only when a version appears that no update named.
 *
 * @module
 */
import {
  type Clock,
  failureReporter,
  jitter,
  type Logger,
  type Random,
  repeat,
  type Repetition,
} from "rampswitch-utils";
import { type ObjectStore, type StoredObject, Watcher } from "rampswitch-store";
import type { ServingMetrics } from "../observation/mod.ts";
import type { RolloutSpecAdapter } from "./rollout_spec.ts";
import type { DueState, Rollouts } from "./rollouts.ts";

/** What the roll-out store depends on. */
export interface RolloutStoreParts {
  readonly rollouts: Rollouts;
  readonly adapter: RolloutSpecAdapter;
  readonly store: ObjectStore;
  /** A monotonic clock. */
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly metrics: ServingMetrics;
  /** Whether this host may act for the fleet now. */
  holdsDuties(): boolean;
  /** Whether this host receives specs from other hosts. */
  receivesSpecs(): boolean;
}

/**
 * Maximum duration of one watch call, in seconds: close to the maximum that
 * stores allow.
 */
const MAXIMUM_WATCH_SECONDS = 29;

/** Wait after a call that failed, in milliseconds. */
const RETRY_INTERVAL_MILLISECONDS = 500;

/** Wait while there is nothing to read, in milliseconds. */
const IDLE_INTERVAL_MILLISECONDS = 60_000;

/** Time to receive the spec of a new version by gossip, in milliseconds. */
const GOSSIP_WAIT_MILLISECONDS = 900;

/** Reads the specs in the store, and stores their states. */
export class RolloutStore implements AsyncDisposable {
  readonly #parts: RolloutStoreParts;
  readonly #watcher: Watcher;
  readonly #listReads: Repetition;
  /** Newest version of each spec's entry that was read. */
  readonly #versions = new Map<string, number>();

  constructor(parts: RolloutStoreParts) {
    this.#parts = parts;
    const { store, adapter, clock, random } = parts;
    this.#watcher = new Watcher(store, adapter.prefix, {
      clock,
      random,
      reportFailure: failureReporter(parts),
      seconds: () => MAXIMUM_WATCH_SECONDS,
      listener: {
        changed: (object) => this.#apply(object),
        removed: (key) =>
          parts.rollouts.withdrawn(this.#serviceOf(key), clock.now()),
        confirmed: () => this.#suspendUnlessHolder(),
        failed: () => {
          parts.metrics.event("rollout_watch_failed");
          this.#suspendUnlessHolder();
        },
      },
    });
    this.#watcher.suspend();
    this.#listReads = repeat(
      clock,
      () => jitter(random, this.#readInterval()),
      {
        name: "reads of roll-out specs",
        reportFailure: failureReporter(parts),
        run: () => this.#readSpecs(),
      },
    );
  }

  /** Watches the specs for as long as this host holds the duties. */
  follow(): void {
    this.#watcher.resume();
  }

  /** Reads the specs soon, since a version appeared that no known spec names. */
  unknownVersion(): void {
    this.#listReads.runNow();
  }

  /** Stores due states one after the other. */
  async store(due: readonly DueState[]): Promise<void> {
    await due.reduce(
      (previous, state) => previous.then(() => this.#store(state)),
      Promise.resolve(),
    );
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#watcher[Symbol.asyncDispose]();
    await this.#listReads[Symbol.asyncDispose]();
  }

  #suspendUnlessHolder(): void {
    if (!this.#parts.holdsDuties()) this.#watcher.suspend();
  }

  #readInterval(): number {
    return Number.isFinite(this.#parts.rollouts.heldBackSince)
      ? RETRY_INTERVAL_MILLISECONDS
      : IDLE_INTERVAL_MILLISECONDS;
  }

  async #readSpecs(): Promise<void> {
    const { rollouts, store, adapter, clock, metrics } = this.#parts;
    const heldBackFor = clock.now() - rollouts.heldBackSince;
    const canStillReceive =
      this.#parts.receivesSpecs() && heldBackFor < GOSSIP_WAIT_MILLISECONDS;
    if (!Number.isFinite(rollouts.heldBackSince) || canStillReceive) return;
    const listed = await store.list(adapter.prefix);
    if (listed.isErr) {
      metrics.event("rollout_orders_unread");
      return;
    }
    listed.value.objects.forEach((object) => this.#apply(object));
    rollouts.specsRead();
  }

  #apply(object: StoredObject): void {
    const { rollouts, adapter, clock, logger, metrics } = this.#parts;
    // A delayed answer may hold an older version of the spec.
    if ((this.#versions.get(object.key) ?? 0) > object.version) return;
    this.#versions.set(object.key, object.version);
    const decoded = adapter.decode(object.key, object.value);
    if (decoded.isOk) {
      rollouts.stored(decoded.value, object.version, clock.now());
      return;
    }
    rollouts.unreadable(this.#serviceOf(object.key));
    metrics.event("rollout_order_malformed");
    logger.error("order of a roll-out can't be read", {
      key: object.key,
      version: object.version,
      detail: decoded.error,
    });
  }

  async #store({ spec, state, storeVersion }: DueState): Promise<void> {
    const { adapter, logger, metrics } = this.#parts;
    const put = await adapter.storeState(spec, state, storeVersion);
    const outcome = put.isOk ? "stored" : put.error.kind;
    metrics.event(`rollout_state_${outcome}`);
    logger.info("roll-out state", {
      service: spec.service,
      toVersion: spec.toVersion,
      state,
      outcome,
    });
    if (put.isOk) this.#apply(put.value);
    else if (put.error.kind === "conflict" && put.error.current !== undefined) {
      this.#apply(put.error.current);
    }
  }

  #serviceOf(key: string): string {
    return key.slice(this.#parts.adapter.prefix.length);
  }
}
