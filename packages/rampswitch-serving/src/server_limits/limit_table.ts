// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The limits that backend servers advertise, as one host has read them in answers
 * or received them from other hosts. Pure; all times are in milliseconds on the
 * monotonic clock of this host.
 *
 * @module
 */
import type { Logger } from "rampswitch-utils";
import {
  incarnationId,
  type ServerIncarnation,
} from "../model/backend_server.ts";
import type { ServingMetrics } from "../observation/mod.ts";

/**
 * The limit that a server advertised last, with an age instead of a time because
 * hosts have no common clock.
 */
export interface LimitUpdate extends ServerIncarnation {
  /**
   * Requests per second from all hosts; `undefined` if the server advertised no
   * limit.
   */
  readonly perSecond: number | undefined;
  /** Milliseconds since a host read it in an answer. */
  readonly age: number;
}

/** Whether this host read the limit in an answer or received it from a peer. */
type Origin = "answer" | "peer";

interface AdvertisedLimit {
  readonly perSecond: number | undefined;
  readonly at: number;
  readonly origin: Origin;
}

interface LimitState extends ServerIncarnation {
  readonly newest: AdvertisedLimit;
  /**
   * Limits that still count if they are lower, each with the time when a newer one
   * replaced it.
   */
  readonly superseded: readonly {
    readonly perSecond: number;
    readonly until: number;
  }[];
}

/**
 * Time for which a lower limit stays in force after a higher one was advertised, in
 * milliseconds. Answers can overtake one another, and so can the updates about
 * them.
 */
const LOWER_LIMIT_HOLD_MILLISECONDS = 700;

/**
 * Time for which the end of a limit is retained, in milliseconds, so that a late
 * update does not restore the limit.
 */
const ENDED_LIMIT_RETENTION_MILLISECONDS = 30_000;

/** Maximum number of limits in one message; the newest ones are reported. */
const MAXIMUM_LIMITS_PER_MESSAGE = 256;

/** Maximum number of servers whose limits are retained. */
const MAXIMUM_TRACKED_SERVERS = 8_192;

/** Dependencies of a table. */
export interface LimitTableParts {
  readonly logger: Logger;
  readonly metrics: ServingMetrics;
  /** Called when an answer advertised a limit that is new or lower than before. */
  onLowered(): void;
}

/** The advertised limits of backend servers. */
export class LimitTable {
  readonly #parts: LimitTableParts;
  readonly #states = new Map<string, LimitState>();

  constructor(parts: LimitTableParts) {
    this.#parts = parts;
  }

  /** Incarnations of servers that have a limit or had one recently. */
  get incarnations(): readonly ServerIncarnation[] {
    return [...this.#states.values()];
  }

  /** Whether no server has a limit or had one recently. */
  get isEmpty(): boolean {
    return this.#states.size === 0;
  }

  /**
   * Requests per second that a server takes from all hosts; `undefined` if it has
   * no limit. If two limits were advertised shortly after one another, the lower
   * one applies.
   */
  limitOf(incarnation: ServerIncarnation, now: number): number | undefined {
    const state = this.#states.get(incarnationId(incarnation));
    if (state === undefined) return undefined;
    const lowest = Math.min(
      state.newest.perSecond ?? Infinity,
      ...state.superseded
        .filter(({ until }) => now - until < LOWER_LIMIT_HOLD_MILLISECONDS)
        .map(({ perSecond }) => perSecond),
    );
    return Number.isFinite(lowest) ? lowest : undefined;
  }

  /** Age of a server's last advertised limit, in milliseconds. */
  advertisedAge(incarnation: ServerIncarnation, now: number): number {
    return (
      now -
      (this.#states.get(incarnationId(incarnation))?.newest.at ?? -Infinity)
    );
  }

  /** Records the limit that an answer of a server advertised. */
  recordAdvertised(
    incarnation: ServerIncarnation,
    perSecond: number | undefined,
    now: number,
  ): void {
    const isRelevant =
      perSecond !== undefined || this.#states.has(incarnationId(incarnation));
    if (isRelevant)
      this.#accept(incarnation, { perSecond, at: now, origin: "answer" });
  }

  /** Receives the limits that another host reported. */
  receive(updates: readonly LimitUpdate[], now: number): void {
    updates.forEach(({ perSecond, age, ...incarnation }) =>
      this.#accept(incarnation, {
        perSecond,
        at: now - Math.max(0, age),
        origin: "peer",
      }),
    );
  }

  /**
   * The limits to report to other hosts. With `ownOnly`, only those that this host
   * read itself.
   */
  updates(
    now: number,
    { ownOnly }: { readonly ownOnly: boolean },
  ): readonly LimitUpdate[] {
    this.#removeEnded(now);
    return [...this.#states.values()]
      .filter(({ newest }) => !ownOnly || newest.origin === "answer")
      .toSorted((left, right) => right.newest.at - left.newest.at)
      .slice(0, MAXIMUM_LIMITS_PER_MESSAGE)
      .map(({ id, born, newest }) => ({
        id,
        born,
        perSecond: newest.perSecond,
        age: now - newest.at,
      }));
  }

  /** Removes the limit of an incarnation that has ended. */
  forget(incarnation: ServerIncarnation): void {
    this.#states.delete(incarnationId(incarnation));
  }

  #accept(incarnation: ServerIncarnation, advertised: AdvertisedLimit): void {
    const key = incarnationId(incarnation);
    const previous = this.#states.get(key);
    if (previous !== undefined && advertised.at <= previous.newest.at) {
      this.#acceptLate(previous, advertised);
      return;
    }
    // The server had no limit before, so nothing has ended.
    if (previous === undefined && advertised.perSecond === undefined) return;
    this.#states.delete(key);
    this.#states.set(key, {
      ...incarnation,
      newest: advertised,
      superseded: supersededBy(previous, advertised),
    });
    this.#evictOldest();
    if (previous?.newest.perSecond === advertised.perSecond) return;
    this.#logChange(incarnation, previous?.newest, advertised);
    const isLower =
      (advertised.perSecond ?? Infinity) <
      (previous?.newest.perSecond ?? Infinity);
    if (isLower && advertised.origin === "answer") this.#parts.onLowered();
  }

  /** Accepts a limit that was read before the newest one and received after it. */
  #acceptLate(state: LimitState, { perSecond, at }: AdvertisedLimit): void {
    if (perSecond === undefined) return;
    if (state.newest.at - at >= LOWER_LIMIT_HOLD_MILLISECONDS) return;
    if (perSecond >= (state.newest.perSecond ?? Infinity)) return;
    const isIncluded = state.superseded.some(
      (one) => one.perSecond === perSecond,
    );
    if (isIncluded) return;
    this.#states.set(incarnationId(state), {
      ...state,
      superseded: [...state.superseded, { perSecond, until: state.newest.at }],
    });
  }

  #removeEnded(now: number): void {
    [...this.#states]
      .filter(
        ([, { newest }]) =>
          newest.perSecond === undefined &&
          now - newest.at >= ENDED_LIMIT_RETENTION_MILLISECONDS,
      )
      .forEach(([key]) => this.#states.delete(key));
    const limited = [...this.#states.values()].filter(
      ({ newest }) => newest.perSecond !== undefined,
    );
    this.#parts.metrics.gauge("limited_servers", limited.length);
  }

  #evictOldest(): void {
    const [oldest] = this.#states.keys();
    if (this.#states.size <= MAXIMUM_TRACKED_SERVERS || oldest === undefined)
      return;
    this.#states.delete(oldest);
    this.#parts.metrics.event("server_limit_forgotten");
  }

  #logChange(
    { id, born }: ServerIncarnation,
    previous: AdvertisedLimit | undefined,
    advertised: AdvertisedLimit,
  ): void {
    const change = changeOf(previous?.perSecond, advertised.perSecond);
    this.#parts.metrics.event(`server_limit_${change}`);
    this.#parts.logger.info(`server limit ${change}`, {
      server: id,
      born,
      perSecond: advertised.perSecond,
      before: previous?.perSecond,
      from: advertised.origin,
    });
  }
}

type LimitChange = "learnt" | "raised" | "lowered" | "ended";

function changeOf(
  previous: number | undefined,
  current: number | undefined,
): LimitChange {
  if (current === undefined) return "ended";
  if (previous === undefined) return "learnt";
  return current < previous ? "lowered" : "raised";
}

/** Returns the limits that stay in force after a newer one if they are lower. */
function supersededBy(
  previous: LimitState | undefined,
  advertised: AdvertisedLimit,
): LimitState["superseded"] {
  if (previous === undefined) return [];
  const { perSecond } = previous.newest;
  const recent = previous.superseded.filter(
    ({ until }) => advertised.at - until < LOWER_LIMIT_HOLD_MILLISECONDS,
  );
  return perSecond === undefined || perSecond === advertised.perSecond
    ? recent
    : [...recent, { perSecond, until: advertised.at }];
}
