// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Back-offs that servers request when they turn a host away. The host sends nothing
 * there until the back-off ends. Hosts then return at random times, spread over an
 * interval.
 *
 * @module
 */
import type { Clock, Logger, Random } from "rampswitch-utils";
import type { ServerRecord } from "../choice/mod.ts";
import type { ServingMetrics } from "../observation/mod.ts";

/** Inputs of the interval over which hosts return to a server. */
export interface ReturnInputs {
  /** Hosts of the system; the server may have turned all of them away. */
  readonly hosts: number;
  /** Time for which a request holds a slot, in milliseconds. */
  readonly holdMilliseconds: number;
  /** Slots of the server. */
  readonly slots: number;
}

/**
 * Returns the interval over which hosts return to a server after a back-off, in
 * milliseconds. The server can serve one request of each host in it.
 */
export function returnSpreadMilliseconds({
  hosts,
  holdMilliseconds,
  slots,
}: ReturnInputs): number {
  return (hosts * holdMilliseconds) / slots;
}

/** Dependencies of the handler of requested back-offs. */
export interface BackOffAdvertisementsParts {
  /** Monotonic clock, in milliseconds. */
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly metrics: ServingMetrics;
  /** Returns the number of hosts of the system that may be serving. */
  hosts(): number;
  /** Returns the time for which a service's request holds a slot, in milliseconds. */
  holdMilliseconds(service: string): number;
}

/** Applies and logs the back-offs that servers request from this host. */
export class BackOffAdvertisements {
  readonly #parts: BackOffAdvertisementsParts;

  constructor(parts: BackOffAdvertisementsParts) {
    this.#parts = parts;
  }

  /**
   * Applies the back-off of a server that turned a request away.
   *
   * @param milliseconds requested length
   */
  read({ entry, backOff }: ServerRecord, milliseconds: number): void {
    const { clock, random, logger, metrics } = this.#parts;
    const spreadMilliseconds = returnSpreadMilliseconds({
      hosts: this.#parts.hosts(),
      holdMilliseconds: this.#parts.holdMilliseconds(entry.service),
      slots: entry.slots,
    });
    const returnDelayMilliseconds = spreadMilliseconds * random.next();
    backOff.requested({
      now: clock.now(),
      milliseconds,
      returnDelay: returnDelayMilliseconds,
    });
    metrics.event("server_asked_rest");
    logger.info("server asks for a rest", {
      server: entry.id,
      born: entry.born,
      milliseconds: Math.round(milliseconds),
      returnsAfterMilliseconds: Math.round(returnDelayMilliseconds),
    });
  }
}
