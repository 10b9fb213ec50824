// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Mean slowdown of a service's servers by their own reports, for the number of servers
 * to order. Single servers are slow for less than a second, so it is a mean over time.
 *
 * @module
 */
import type { ServerSpeed } from "./server_speed.ts";

/** Time over which the mean follows changes, in milliseconds. */
const MEAN_MILLISECONDS = 5_000;

/** Time without any report after which servers count as usual again, in milliseconds. */
const RETENTION_MILLISECONDS = 10_000;

interface MeanSlowdown {
  readonly value: number;
  readonly at: number;
}

/** Mean reported slowdowns by service. */
export class ReportedSlowdowns {
  readonly #means = new Map<string, MeanSlowdown>();

  /** Adds the current reports, and returns the mean; 1 if servers report nothing. */
  mean(
    service: string,
    servers: readonly { readonly speed: ServerSpeed }[],
    now: number,
  ): number {
    const known = this.#means.get(service);
    const reported = servers.flatMap(
      ({ speed }) => speed.lastReportedFactor(now) ?? [],
    );
    if (reported.length === 0) {
      if (known === undefined) return 1;
      if (now - known.at < RETENTION_MILLISECONDS) return known.value;
      this.#means.delete(service);
      return 1;
    }
    const current =
      reported.reduce((sum, factor) => sum + factor, 0) / reported.length;
    const before = known ?? { value: 1, at: now - MEAN_MILLISECONDS / 10 };
    const weight = 1 - Math.exp((before.at - now) / MEAN_MILLISECONDS);
    const value = before.value + weight * (current - before.value);
    this.#means.set(service, { value, at: now });
    return value;
  }
}
