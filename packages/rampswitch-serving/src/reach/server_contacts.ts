// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Which backend servers this host reaches over its own links: when each of them was
 * last heard, and whether a connection to it has failed since.
 *
 * @module
 */
import type { Clock, Logger } from "rampswitch-utils";
import type { ServingMetrics } from "../observation/mod.ts";

/**
 * Time after which a failed connection says nothing about a server any more, in
 * milliseconds.
 */
const FAILURE_LIFETIME_MILLISECONDS = 10_000;

/** Time for which a failure counts beside that of another server, in milliseconds. */
const ROW_MILLISECONDS = 3_000;

/** Maximum number of servers that one message reports. */
const MAXIMUM_REPORTED_SERVERS = 64;

/** Dependencies of the contacts. */
export interface ServerContactsParts {
  /** A monotonic clock. */
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: ServingMetrics;
  /** Number of other hosts that report that they don't reach a server either. */
  peersWithout(server: string): number;
  /** Called when the servers out of reach have changed. */
  onChange(): void;
  /** Called when a server fails after another one, and none was heard between them. */
  onSeveralFailed(): void;
}

/** The contacts of this host with all backend servers. */
export class ServerContacts {
  readonly #parts: ServerContactsParts;
  /** When each server was last heard. */
  readonly #heardAt = new Map<string, number>();
  /** Servers to which no connection came up since they were last heard. */
  readonly #unreached = new Map<string, Unreached>();
  /** When servers failed since any server was heard. */
  readonly #failedInRow = new Map<string, number>();
  #anyHeardAt = -Infinity;

  constructor(parts: ServerContactsParts) {
    this.#parts = parts;
  }

  /** When any server was last heard. */
  get anyHeardAt(): number {
    return this.#anyHeardAt;
  }

  /** Records that bytes or a connection of a server arrived. */
  heard(server: string): void {
    const now = this.#parts.clock.now();
    this.#parts.metrics.input("answer", server);
    this.#heardAt.set(server, now);
    this.#anyHeardAt = now;
    this.#failedInRow.clear();
    const unreached = this.#unreached.get(server);
    if (unreached === undefined) return;
    this.#unreached.delete(server);
    this.#changed();
    this.#parts.logger.info("server in reach", {
      server,
      milliseconds: Math.round(now - unreached.since),
      outOfReach: this.#unreached.size,
    });
  }

  /** Records that no connection to a server came up. */
  connectionFailed(server: string, detail: string): void {
    const now = this.#parts.clock.now();
    const known = this.#unreached.get(server);
    this.#unreached.set(server, {
      since: known?.since ?? now,
      lastAt: now,
      failures: (known?.failures ?? 0) + 1,
    });
    this.#addFailed(server);
    if (known !== undefined) return;
    this.#changed();
    this.#parts.logger.info("server out of reach", {
      server,
      detail,
      outOfReach: this.#unreached.size,
      peersWithout: this.#parts.peersWithout(server),
    });
  }

  /** Records that a connection to a server ended before it answered a request. */
  connectionLost(server: string): void {
    this.#addFailed(server);
  }

  /** Drops what is known of a server that is no longer listed. */
  forget(server: string): void {
    this.#heardAt.delete(server);
    this.#failedInRow.delete(server);
    if (this.#unreached.delete(server)) this.#changed();
  }

  /** Whether a server was heard after some time. */
  heardSince(server: string, time: number): boolean {
    return (this.#heardAt.get(server) ?? -Infinity) > time;
  }

  /** Time since a server was last heard, in milliseconds. */
  silence(server: string): number {
    return this.#parts.clock.now() - (this.#heardAt.get(server) ?? -Infinity);
  }

  /** Whether several servers failed one after the other, and none was heard since. */
  get severalFailed(): boolean {
    if (this.#failedInRow.size < 2) return false;
    const oldest = this.#parts.clock.now() - ROW_MILLISECONDS;
    const times = [...this.#failedInRow.values()];
    return times.filter((at) => at > oldest).length > 1;
  }

  /** Whether connections to a server failed and it was not heard since. */
  isOutOfReach(server: string): boolean {
    return this.#unreached.has(server);
  }

  /** Whether connections to a server failed again and again, and it was not heard since. */
  failedAgain(server: string): boolean {
    return (this.#unreached.get(server)?.failures ?? 0) > 1;
  }

  /** Servers out of reach, to report to the peers. */
  outOfReach(): readonly string[] {
    const oldest = this.#parts.clock.now() - FAILURE_LIFETIME_MILLISECONDS;
    [...this.#unreached]
      .filter(([, { lastAt }]) => lastAt < oldest)
      .forEach(([server]) => this.#unreached.delete(server));
    this.#parts.metrics.gauge("servers_out_of_reach", this.#unreached.size);
    return [...this.#unreached.keys()].slice(0, MAXIMUM_REPORTED_SERVERS);
  }

  #addFailed(server: string): void {
    const isKnown = this.#failedInRow.has(server);
    this.#failedInRow.set(server, this.#parts.clock.now());
    if (!isKnown && this.severalFailed) this.#parts.onSeveralFailed();
  }

  #changed(): void {
    this.#parts.metrics.gauge("servers_out_of_reach", this.#unreached.size);
    this.#parts.onChange();
  }
}

/** Failed connections to a server; times are of the monotonic clock. */
interface Unreached {
  readonly since: number;
  readonly lastAt: number;
  readonly failures: number;
}
