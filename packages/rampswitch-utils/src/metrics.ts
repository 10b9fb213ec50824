// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Counters and timers. All metrics are sent to StatsD; totals of counters and
 * the last values of gauges also stay in memory, for the status page and tests.
 *
 * @module
 */
import { StatsD } from "hot-shots";

/** Metrics of one process. */
export interface Metrics extends AsyncDisposable {
  /** Adds `amount` to the counter `name`, or to `name.tag` if there is a tag. */
  count(name: string, tag?: string, amount?: number): void;
  /** Records a duration in milliseconds. */
  time(name: string, milliseconds: number): void;
  /** Sets a gauge. */
  gauge(name: string, value: number): void;
  /** Returns totals since the start and gauges, by `name` or `name.tag`. */
  totals(): Readonly<Record<string, number>>;
}

/** Address of the StatsD server. */
export interface StatsAddress {
  readonly host: string;
  readonly port: number;
}

/** Creates metrics that are sent to StatsD, or only kept in memory without an address. */
export function createMetrics(
  prefix: string,
  address: StatsAddress | undefined,
): Metrics {
  const totals = new Map<string, number>();
  const client =
    address === undefined
      ? undefined
      : new StatsD({
          host: address.host,
          port: address.port,
          prefix: `${prefix}.`,
          maxBufferSize: 1024,
          errorHandler: () => undefined,
        });
  return {
    count: (name, tag, amount = 1) => {
      const full = tag === undefined ? name : `${name}.${tag}`;
      totals.set(full, (totals.get(full) ?? 0) + amount);
      client?.increment(full, amount);
    },
    time: (name, milliseconds) => client?.timing(name, milliseconds),
    gauge: (name, value) => {
      totals.set(name, value);
      client?.gauge(name, value);
    },
    totals: () => Object.fromEntries(totals),
    [Symbol.asyncDispose]: () =>
      new Promise((resolve) => {
        if (client === undefined) resolve();
        else client.close(() => resolve());
      }),
  };
}
