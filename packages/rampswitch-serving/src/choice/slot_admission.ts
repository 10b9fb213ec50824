// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Which share of the requests a service's engines can take while all hosts act on
 * news that is some hundred milliseconds old. Near their limits few engines seem to
 * have a place left, and all hosts would send everything there until the next news.
 * Pure.
 *
 * @module
 */

/** Part of the target that a request may wait for a place. */
const WAITING_PART = 0.25;

/** Places of one server as this host knows them. */
export interface ServerPlaces {
  readonly slots: number;
  /** Requests that run and wait there. */
  readonly load: number;
}

/** Places of all servers of a service together. */
export interface PlaceTotals {
  readonly slots: number;
  readonly load: number;
  /** Requests that run, where no more do than servers have places. */
  readonly running: number;
}

/** Most requests at a server that are believed, as a multiple of its slots. */
const MOST_LOAD = 2;

/** How long totals are used, in milliseconds; a part of the time between news. */
const KEPT_MILLISECONDS = 100;

/** What the share depends on. */
export interface PlaceDemand {
  /** Requests for the service, of all hosts, in a millisecond. */
  readonly arrivalsPerMillisecond: number;
  /** Time for which a request holds a place, in milliseconds. */
  readonly holdMilliseconds: number;
  /** Time to the first part of the answer that is wanted, in milliseconds. */
  readonly targetMilliseconds: number;
  /** Age of what this host knows of the others' work, in milliseconds. */
  readonly lagMilliseconds: number;
}

/** Adds up the places of some servers; no single one's word counts for more than it. */
export function placeTotals(servers: readonly ServerPlaces[]): PlaceTotals {
  return servers.reduce<PlaceTotals>(
    (sum, { slots, load }) => {
      const told = Math.min(Math.max(load, 0), MOST_LOAD * slots);
      return {
        slots: sum.slots + slots,
        load: sum.load + told,
        running: sum.running + Math.min(slots, told),
      };
    },
    { slots: 0, load: 0, running: 0 },
  );
}

/** Totals by service, so that not each request adds up all servers. */
export class KnownPlaces {
  readonly #totals = new Map<
    string,
    { readonly at: number; readonly totals: PlaceTotals }
  >();

  /** Totals of a service; `servers` are read when the known ones are old. */
  of(
    service: string,
    now: number,
    servers: () => readonly ServerPlaces[],
  ): PlaceTotals {
    const known = this.#totals.get(service);
    if (known !== undefined && now - known.at < KEPT_MILLISECONDS) {
      return known.totals;
    }
    const totals = placeTotals(servers());
    this.#totals.set(service, { at: now, totals });
    return totals;
  }
}

/**
 * Share of the requests to take, 0 to 1: those that get a place, or wait for one no
 * longer than a part of their target. A longer queue makes all late, and ends none of
 * them sooner.
 */
export function shareWithPlaces(
  { slots, load, running }: PlaceTotals,
  demand: PlaceDemand,
): number {
  const { arrivalsPerMillisecond, holdMilliseconds, lagMilliseconds } = demand;
  const expected = arrivalsPerMillisecond * lagMilliseconds;
  // Without any server, the choice tells what is missing.
  if (expected <= 0 || slots === 0) return 1;
  const waitingShare =
    (demand.targetMilliseconds * WAITING_PART) / holdMilliseconds;
  const free = slots * (1 + waitingShare) - load;
  const freed = (running * lagMilliseconds) / holdMilliseconds;
  return Math.min(1, Math.max(0, (free + freed) / expected));
}
