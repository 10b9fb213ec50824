// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Demand for the servers of each service, as one holder of the duty observes it, and
 * for which services it replaces the plan by running requests alone.
 *
 * @module
 */
import type { ServerDirectory } from "../choice/mod.ts";
import type {
  CapacityLimits,
  EngineLimits,
  Service,
} from "../model/configuration.ts";
import type { DataHallServers, ServiceLoad } from "./capacity_plan.ts";
import {
  DemandHistory,
  type ServerDemand,
  serversForRunning,
} from "./server_demand.ts";

/**
 * Time for which a service counts as one whose servers report their speed, in
 * milliseconds. Reports come with answers, so a minute without any is no change of
 * the servers.
 */
const REPORT_RETENTION_MILLISECONDS = 60_000;

/**
 * Requests that run and wait at one server and count at most, for each of its slots.
 * Hosts send no more than 1.75 for each slot, so more is a false report.
 */
const MAXIMUM_RUNNING_PER_SLOT = 2;

/**
 * Time without any request for which a new holder retains the servers that it finds, in
 * milliseconds, if reclaimable ones show that the deployment is not new. After a loss of
 * all hosts, these take up to 5 s to start, and callers return within a third of a
 * deadline of 15 s.
 */
const IDLE_RETENTION_MILLISECONDS = 10_000;

/** Parts that the demand is read from. */
export interface DemandParts {
  readonly directory: ServerDirectory;
  /**
   * Work refused for lack of capacity over all hosts, in slot milliseconds a second;
   * absent where it is not counted.
   */
  refusedWork?(service: string): number;
  /** Tokens of memory that a running request holds on average; absent if not known. */
  memoryTokens?(service: string): number;
}

/** A service whose servers are ordered. */
export type OrderedService = Service & {
  readonly engine: EngineLimits;
  readonly capacity: CapacityLimits;
};

/** Which changes of orders the observed load allows. */
export interface OrderGate {
  readonly mayRaise: boolean;
  readonly mayLower: boolean;
}

interface ServiceState {
  readonly history: DemandHistory;
  /** Since when fewer reclaimable servers are ready than are needed. */
  lackingSince: number | undefined;
  /** Until when the servers that this holder found are retained while it is idle. */
  retainedUntil: number | undefined;
}

/** Demand for the servers of all services. */
export class ServiceDemands {
  readonly #parts: DemandParts;
  readonly #states = new Map<string, ServiceState>();
  /** When a server of the service last reported its speed. */
  readonly #reportedAt = new Map<string, number>();

  constructor(parts: DemandParts) {
    this.#parts = parts;
  }

  /** Forgets what was observed, for a new time as the holder. */
  reset(): void {
    this.#states.clear();
  }

  /**
   * Whether the demand of a service is planned: its servers report their speed, or did
   * so a short time ago.
   */
  applies(service: string, now: number): boolean {
    const isReported = this.#parts.directory
      .of(service)
      .some(({ speed }) => speed.isReported(now));
    if (isReported) this.#reportedAt.set(service, now);
    const reportedAt = this.#reportedAt.get(service) ?? -Infinity;
    return now - reportedAt < REPORT_RETENTION_MILLISECONDS;
  }

  /** Adds the current load of a service, and returns the servers that it needs. */
  update(
    { name, engine, capacity }: OrderedService,
    load: ServiceLoad,
    now: number,
  ): ServerDemand {
    return this.#state(name).history.update(
      {
        load,
        running: this.#running(name, now),
        listedServers: this.#parts.directory.of(name).length,
        refusedWork: this.#parts.refusedWork?.(name) ?? 0,
        memoryTokens: this.#memoryTokens(name),
      },
      engine,
      { startMilliseconds: capacity.startMilliseconds, now },
    );
  }

  /**
   * Whether fewer reclaimable servers than needed are ready for longer than they take
   * to start.
   */
  isReclaimableLacking(
    service: string,
    halls: readonly DataHallServers[],
    options: {
      readonly needed: number;
      readonly startMilliseconds: number;
      readonly now: number;
    },
  ): boolean {
    const { needed, startMilliseconds, now } = options;
    const state = this.#state(service);
    const ready = halls.reduce((sum, hall) => sum + hall.reclaimableReady, 0);
    if (ready >= needed) {
      state.lackingSince = undefined;
      return false;
    }
    state.lackingSince ??= now;
    return now - state.lackingSince > startMilliseconds;
  }

  /**
   * Returns which changes of orders the observed load allows, if `remaining` servers
   * that are ready remain after them.
   */
  gate(
    { name, engine, capacity }: OrderedService,
    remaining: number,
    now: number,
  ): OrderGate {
    const { history } = this.#state(name);
    const forRunning = serversForRunning(
      {
        running: this.#running(name, now),
        memoryTokens: this.#memoryTokens(name),
      },
      engine,
    );
    return {
      mayRaise: history.isLoadKnown(now),
      mayLower:
        history.mayGiveUp(capacity.startMilliseconds, now) &&
        remaining >= forRunning,
    };
  }

  /** Returns which changes of orders are allowed before any request has arrived. */
  idleGate(
    service: string,
    halls: readonly DataHallServers[],
    now: number,
  ): OrderGate {
    const state = this.#state(service);
    const isNew = halls.every(({ reclaimableReady }) => reclaimableReady === 0);
    state.retainedUntil ??= isNew ? now : now + IDLE_RETENTION_MILLISECONDS;
    const isAllowed = now >= state.retainedUntil;
    return { mayRaise: isAllowed, mayLower: isAllowed };
  }

  /** Whether a holder observed the load for long enough to order servers by it. */
  isLoadKnown(service: string, now: number): boolean {
    return this.#state(service).history.isLoadKnown(now);
  }

  /**
   * Returns the requests that run or wait now at all servers of a service, including
   * those whose entries can't be read.
   */
  #running(service: string, now: number): number {
    return this.#parts.directory
      .all()
      .filter(({ entry }) => entry.service === service)
      .reduce(
        (sum, record) =>
          sum +
          Math.min(
            record.load(now),
            record.entry.slots * MAXIMUM_RUNNING_PER_SLOT,
          ),
        0,
      );
  }

  #memoryTokens(service: string): number {
    return this.#parts.memoryTokens?.(service) ?? 0;
  }

  #state(service: string): ServiceState {
    const known = this.#states.get(service);
    if (known !== undefined) return known;
    const created = {
      history: new DemandHistory(),
      lackingSince: undefined,
      retainedUntil: undefined,
    };
    this.#states.set(service, created);
    return created;
  }
}
