// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Servers that turn a host away and ask it for a rest: nothing is sent there to its
 * end, and the hosts that were asked return one after the other.
 *
 * @module
 */
import type { Clock, Logger, Random } from "rampswitch-utils";
import type { ServerRecord } from "../choice/mod.ts";
import type { ServingMetrics } from "../observation/mod.ts";

/** What the return of many hosts to one server depends on. */
export interface ReturnInputs {
  /** Hosts of the system, all of which may have been asked. */
  readonly hosts: number;
  /** Time for which a request holds a place, in milliseconds. */
  readonly holdMilliseconds: number;
  readonly slots: number;
}

/**
 * Time over which hosts return to a server after a rest, in milliseconds: in which it
 * can serve a request of each.
 */
export function returnMilliseconds({
  hosts,
  holdMilliseconds,
  slots,
}: ReturnInputs): number {
  return (hosts * holdMilliseconds) / slots;
}

/** What rests are taken in with. */
export interface RestStatementsParts {
  /** A steady clock. */
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly metrics: ServingMetrics;
  /** Hosts of the system that may be serving. */
  hosts(): number;
  /** Time for which a request of a service holds a place, in milliseconds. */
  holdMilliseconds(service: string): number;
}

/** Takes in that servers ask this host for a rest. */
export class RestStatements {
  readonly #parts: RestStatementsParts;

  constructor(parts: RestStatementsParts) {
    this.#parts = parts;
  }

  /** A server turned a request away and asks for so long a rest. */
  read({ entry, rest }: ServerRecord, milliseconds: number): void {
    const { clock, random, logger, metrics } = this.#parts;
    const within = returnMilliseconds({
      hosts: this.#parts.hosts(),
      holdMilliseconds: this.#parts.holdMilliseconds(entry.service),
      slots: entry.slots,
    });
    const returnsAfter = within * random.next();
    rest.asked({ now: clock.now(), milliseconds, returnsAfter });
    metrics.event("server_asked_rest");
    logger.info("server asks for a rest", {
      server: entry.id,
      born: entry.born,
      milliseconds: Math.round(milliseconds),
      returnsAfterMilliseconds: Math.round(returnsAfter),
    });
  }
}
