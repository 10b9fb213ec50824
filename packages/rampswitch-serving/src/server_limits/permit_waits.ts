// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * When a host may query for a permit again, and after which delay refused callers
 * may retry. Each refused caller gets the time of a permit of its own. Pure.
 *
 * @module
 */
import {
  MAXIMUM_RETRY_DELAY_MILLISECONDS,
  nextSpacedTime,
} from "./spaced_times.ts";

/** The permits of a service, and this host's part of them. */
export interface PermitShare {
  /** Requests per second that the service's limited servers take together. */
  readonly perSecond: number;
  /** This host's part of the requests for them, 0 to 1. */
  readonly part: number;
}

/**
 * Maximum pause between queries for permits, in milliseconds, since a limit may end
 * meanwhile.
 */
const MAXIMUM_QUERY_PAUSE_MILLISECONDS = 500;

/** Pause after a query that was not answered, in milliseconds. */
const UNANSWERED_PAUSE_MILLISECONDS = 100;

/** Minimum part that is computed with. */
const MINIMUM_PART = 1e-3;

interface ServiceWait {
  /** Time of the holder's next free permit. */
  readonly freeAt: number;
  readonly queryAt: number;
  /** Time at which the caller that was refused last may retry. */
  readonly assignedUntil: number;
}

const NO_WAIT: ServiceWait = {
  freeAt: 0,
  queryAt: 0,
  assignedUntil: -Infinity,
};

/** Waits for permits, by service. */
export class PermitWaits {
  readonly #waits = new Map<string, ServiceWait>();

  /** Whether a query for a permit may succeed now. */
  canQuery(service: string, now: number): boolean {
    return now >= this.#of(service).queryAt;
  }

  /**
   * Records that no permit was free, and the time until the next one in
   * milliseconds.
   */
  recordRefusal(service: string, milliseconds: number, now: number): void {
    this.#waits.set(service, {
      ...this.#of(service),
      freeAt: now + milliseconds,
      queryAt: now + Math.min(milliseconds, MAXIMUM_QUERY_PAUSE_MILLISECONDS),
    });
  }

  /** Records that a query was not answered. */
  recordNoAnswer(service: string, now: number): void {
    this.recordRefusal(service, UNANSWERED_PAUSE_MILLISECONDS, now);
  }

  /**
   * Returns the delay after which the caller that is refused now may retry, in
   * milliseconds.
   */
  assignRetryDelay(
    service: string,
    { perSecond, part }: PermitShare,
    now: number,
  ): number {
    const wait = this.#of(service);
    const spacing =
      perSecond > 0
        ? 1_000 / (perSecond * Math.max(part, MINIMUM_PART))
        : MAXIMUM_RETRY_DELAY_MILLISECONDS;
    const assigned = nextSpacedTime(
      { earliest: wait.freeAt, previous: wait.assignedUntil, spacing },
      now,
    );
    this.#waits.set(service, { ...wait, assignedUntil: assigned });
    return assigned - now;
  }

  #of(service: string): ServiceWait {
    return this.#waits.get(service) ?? NO_WAIT;
  }
}
