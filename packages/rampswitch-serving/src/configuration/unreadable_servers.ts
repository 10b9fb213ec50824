// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Entries of backend servers that can't be read. Each is logged once until it is
 * readable again or removed, however often it changes in between.
 *
 * @module
 */
import type { Logger } from "rampswitch-utils";
import type { ServingMetrics } from "../observation/mod.ts";

/** Longest part of an id that is logged, in characters. */
const MAXIMUM_LOGGED_ID_CHARACTERS = 80;

/** Tracks, counts and logs unreadable entries. */
export class UnreadableServers {
  readonly #logger: Logger;
  readonly #metrics: ServingMetrics;
  readonly #ids = new Set<string>();

  constructor(parts: {
    readonly logger: Logger;
    readonly metrics: ServingMetrics;
  }) {
    this.#logger = parts.logger;
    this.#metrics = parts.metrics;
    this.#updateGauge();
  }

  /** Records that an entry can't be read, and why. */
  add(id: string, detail: string): void {
    this.#metrics.event("server_malformed");
    if (this.#ids.has(id)) return;
    this.#ids.add(id);
    this.#updateGauge();
    this.#logger.warn("server entry can't be read", {
      server: id.slice(0, MAXIMUM_LOGGED_ID_CHARACTERS),
      detail,
    });
  }

  /** Records that an entry can be read. */
  markReadable(id: string): void {
    if (!this.remove(id)) return;
    this.#logger.info("server entry can be read again", { server: id });
  }

  /** Forgets a removed entry; returns whether it was unreadable. */
  remove(id: string): boolean {
    const removed = this.#ids.delete(id);
    if (removed) this.#updateGauge();
    return removed;
  }

  #updateGauge(): void {
    this.#metrics.gauge("servers_unreadable", this.#ids.size);
  }
}
