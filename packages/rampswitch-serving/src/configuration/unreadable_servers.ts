// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Entries of backend servers that can't be read now: each is told once in the log
 * until it is good again or gone, however often it changes meanwhile.
 *
 * @module
 */
import type { Logger } from "rampswitch-utils";
import type { ServingMetrics } from "../observation/mod.ts";

/** Longest part of an id that a log line shows, in characters. */
const SHOWN_CHARACTERS = 80;

/** Servers whose entries name no server to use. */
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
    this.#gauge();
  }

  /** Notes that an entry can't be read, and why. */
  add(id: string, detail: string): void {
    this.#metrics.event("server_malformed");
    if (this.#ids.has(id)) return;
    this.#ids.add(id);
    this.#gauge();
    this.#logger.warn("server entry can't be read", {
      server: id.slice(0, SHOWN_CHARACTERS),
      detail,
    });
  }

  /** Notes that an entry is good. */
  good(id: string): void {
    if (!this.remove(id)) return;
    this.#logger.info("server entry can be read again", { server: id });
  }

  /** Notes that an entry went; returns whether it was unreadable. */
  remove(id: string): boolean {
    const removed = this.#ids.delete(id);
    if (removed) this.#gauge();
    return removed;
  }

  #gauge(): void {
    this.#metrics.gauge("servers_unreadable", this.#ids.size);
  }
}
