// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Reports usage once for each window. The counts of a window become final when
 * the lease object holds them. They are sent only then, so that a successor can
 * only repeat them.
 *
 * @module
 */
import { type Logger, sha256 } from "rampswitch-utils";
import type { Cloud, Fence } from "../model/cloud.ts";
import type { ServingMetrics } from "../observation/mod.ts";
import {
  type FinalReports,
  type FinalUsage,
  isFinal,
  mergeWindows,
} from "./final_usage.ts";
import type { UsageCounts, UsageCounter } from "./usage_counter.ts";

/**
 * Time after a window's end until its counts become final, in milliseconds. It
 * covers some exchanges of gossip, one of them lost, and the error of a median
 * clock.
 */
export const SETTLING_DELAY_MILLISECONDS = 1_500;

/**
 * Number of windows whose reports may still be of use; older ones are too late.
 */
const REPORTED_WINDOWS = 3;

/**
 * Maximum difference between two hosts' fleet times of day, in milliseconds:
 * the platform's own bound on clocks. A lease that can't be read may hold final
 * windows of a clock that is this far ahead.
 */
const MAXIMUM_SKEW_MILLISECONDS = 5_000;

/** The time of day as a host knows it, in milliseconds. */
export interface TimeOfDay {
  /** By its own clock. */
  readonly own: number;
  /** The fleet time. */
  readonly fleet: number;
  /** The fleet time when this process started. */
  readonly startedAt: number;
  /** Whether the fleet time is reliable. */
  readonly isSettled: boolean;
}

/** Number of digits that distinguish the counts of two reports in the log. */
const DIGEST_LENGTH = 8;

/** The duty of reporting usage, for as long as this host holds it. */
export class UsageDuty {
  readonly #counter: UsageCounter;
  readonly #cloud: Cloud;
  readonly #logger: Logger;
  readonly #metrics: ServingMetrics;
  readonly #sentWindows = new Set<string>();
  #fence = -1;

  constructor(
    counter: UsageCounter,
    parts: {
      readonly cloud: Cloud;
      readonly logger: Logger;
      readonly metrics: ServingMetrics;
    },
  ) {
    this.#counter = counter;
    this.#cloud = parts.cloud;
    this.#logger = parts.logger;
    this.#metrics = parts.metrics;
  }

  /**
   * Returns the final usage: all that was final, and the windows that have
   * ended since. No clock can remove a window again: its report may have been
   * sent.
   */
  finalUsage(known: FinalUsage, time: TimeOfDay): FinalUsage {
    // A process that knows only its own clock might end windows by a wrong one.
    if (!time.isSettled) return known;
    const complete = known.incomplete
      ? this.#complete(known, time.fleet)
      : known;
    const newest =
      this.#counter.windowOf(time.fleet - SETTLING_DELAY_MILLISECONDS) - 1;
    const first = this.#counter.windowOf(time.startedAt);
    const added = Array.from(
      { length: REPORTED_WINDOWS },
      (_, back) => newest - back,
    ).filter(
      (window) =>
        !isFinal(complete, window) &&
        (window >= first || this.#counter.hasCounts(window)),
    );
    const reports = {
      ...complete.reports,
      ...Object.fromEntries(
        added.map((window) => [window, this.#counter.total(window)]),
      ),
    };
    return {
      reports: reportsToRepeat(reports, newest),
      windows: mergeWindows(
        complete.windows,
        added.map((window) => [window, window]),
      ),
      incomplete: false,
    };
  }

  /**
   * Makes all windows final that may be final in a lease that can't be read.
   */
  #complete(known: FinalUsage, fleetTime: number): FinalUsage {
    const last = this.#counter.windowOf(fleetTime + MAXIMUM_SKEW_MILLISECONDS);
    return { ...known, windows: mergeWindows(known.windows, [[0, last]]) };
  }

  /** Logs usage that has become final, now that the lease object holds it. */
  logStored(final: FinalUsage, before: FinalUsage, time: TimeOfDay): void {
    if (before.incomplete && !final.incomplete) {
      this.#metrics.event("usage_not_known");
      this.#logger.warn("final usage was not known", {
        finalThrough: final.windows.at(-1)?.[1],
      });
    }
    Object.entries(final.reports)
      .filter(([window]) => before.reports[window] === undefined)
      .forEach(([window, counts]) =>
        this.#logger.info("usage final", {
          ...reportFields(window, counts),
          sinceEndMilliseconds: Math.round(
            time.fleet - this.#counter.endOf(Number(window)),
          ),
          aheadMilliseconds: Math.round(time.own - time.fleet),
        }),
      );
  }

  /**
   * Sends reports that the lease object holds and the cloud has not accepted.
   */
  async sendReports(reports: FinalReports, fence: Fence): Promise<void> {
    if (fence.fence !== this.#fence) {
      this.#fence = fence.fence;
      this.#sentWindows.clear();
    }
    const due = Object.entries(reports)
      .filter(([window]) => !this.#sentWindows.has(window))
      .toSorted(([left], [right]) => Number(left) - Number(right));
    await due.reduce(
      (previous, [window, counts]) =>
        previous.then(() => this.#send(window, counts, fence)),
      Promise.resolve(),
    );
  }

  async #send(
    window: string,
    counts: UsageCounts,
    fence: Fence,
  ): Promise<void> {
    const sent = await this.#cloud.reportUsage(
      { window: Number(window), counts },
      fence,
    );
    const result = sent.isOk ? "taken" : sent.error;
    if (sent.isOk) this.#sentWindows.add(window);
    this.#metrics.event(`usage_${result}`);
    this.#logger.info("usage reported", {
      ...reportFields(window, counts),
      fence: fence.fence,
      outcome: result,
    });
  }
}

/**
 * Returns the reports that a successor may still have to send, also those that
 * a clock that is ahead made final.
 */
function reportsToRepeat(reports: FinalReports, newest: number): FinalReports {
  const isNear = (window: number) =>
    window > newest - REPORTED_WINDOWS && window <= newest + REPORTED_WINDOWS;
  return Object.fromEntries(
    Object.entries(reports).filter(([window]) => isNear(Number(window))),
  );
}

/** Returns the log fields of a report; equal counts have equal digests. */
function reportFields(
  window: string,
  counts: UsageCounts,
): Readonly<Record<string, number | string>> {
  const sorted = Object.entries(counts).toSorted(([left], [right]) =>
    left < right ? -1 : 1,
  );
  return {
    window: Number(window),
    requests: sorted.reduce((sum, [, count]) => sum + count, 0),
    digest: sha256(JSON.stringify(sorted)).slice(0, DIGEST_LENGTH),
  };
}
