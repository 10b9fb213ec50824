// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Share of the requests that a service's engines can take while all hosts act on
 * updates that are some hundred milliseconds old. Near the capacity limit only few
 * engines seem to have a free slot, and all hosts would send every request there until
 * the next update. Pure.
 *
 * @module
 */

/** Maximum wait for a slot, as a share of the request's target. */
const MAXIMUM_WAIT_SHARE = 0.25;

/** Slots of one server as this host knows them. */
export interface ServerSlots {
  readonly slots: number;
  /** Requests that run and wait there. */
  readonly load: number;
}

/** Slots of all servers of a service together. */
export interface SlotTotals {
  readonly slots: number;
  readonly load: number;
  /** Requests that run; at each server at most as many as it has slots. */
  readonly running: number;
}

/** Maximum load of one server that counts, as a multiple of its slots. */
const MAXIMUM_LOAD_RATIO = 2;

/** Time for which totals are cached, in milliseconds; shorter than between updates. */
const CACHE_LIFETIME_MILLISECONDS = 100;

/** Demand for the slots of a service. */
export interface SlotDemand {
  /** Requests for the service per millisecond, from all hosts. */
  readonly arrivalsPerMillisecond: number;
  /** Time for which a request holds a slot, in milliseconds. */
  readonly holdMilliseconds: number;
  /** Target time to the first part of the answer, in milliseconds. */
  readonly targetMilliseconds: number;
  /** Age of the latest updates about the work of other hosts, in milliseconds. */
  readonly lagMilliseconds: number;
}

/**
 * Load of a server as it counts among others; it is bounded, so that one server with a
 * false report can't make hosts refuse requests.
 */
export function boundedLoad({ slots, load }: ServerSlots): number {
  return Math.min(Math.max(load, 0), MAXIMUM_LOAD_RATIO * slots);
}

/** Adds up the slots of servers. */
export function slotTotals(servers: readonly ServerSlots[]): SlotTotals {
  const sum = { slots: 0, load: 0, running: 0 };
  for (const server of servers) {
    const { slots } = server;
    const load = boundedLoad(server);
    sum.slots += slots;
    sum.load += load;
    sum.running += Math.min(slots, load);
  }
  return sum;
}

/** Caches totals by service, so that not every request adds up all servers. */
export class SlotTotalsCache {
  readonly #totals = new Map<
    string,
    { readonly at: number; readonly totals: SlotTotals }
  >();

  /** Returns the totals of a service; calls `servers` only if the cached ones expired. */
  of(
    service: string,
    now: number,
    servers: () => readonly ServerSlots[],
  ): SlotTotals {
    const cached = this.#totals.get(service);
    if (cached !== undefined && now - cached.at < CACHE_LIFETIME_MILLISECONDS) {
      return cached.totals;
    }
    const totals = slotTotals(servers());
    this.#totals.set(service, { at: now, totals });
    return totals;
  }
}

/**
 * Returns the share of the requests to accept, 0 to 1: those that get a slot at once
 * or wait for one no longer than a share of their target. A longer queue would delay
 * all requests and complete none of them sooner.
 */
export function admittedShare(
  { slots, load, running }: SlotTotals,
  demand: SlotDemand,
): number {
  const { arrivalsPerMillisecond, holdMilliseconds, lagMilliseconds } = demand;
  const expected = arrivalsPerMillisecond * lagMilliseconds;
  // Without servers, all requests pass and the choice returns the precise reason.
  if (expected <= 0 || slots === 0) return 1;
  const queueShare =
    (demand.targetMilliseconds * MAXIMUM_WAIT_SHARE) / holdMilliseconds;
  const freeSlots = slots * (1 + queueShare) - load;
  const freedSlots = (running * lagMilliseconds) / holdMilliseconds;
  return Math.min(1, Math.max(0, (freeSlots + freedSlots) / expected));
}
