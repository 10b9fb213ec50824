// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Reports usage once for each window. The counts of a window become final when
 * the lease object holds them; only then are they sent, so that a successor can
 * only repeat them.
 *
 * @module
 */
import { type Logger, sha256 } from "rampswitch-utils";
import type { Cloud, Fence } from "../model/cloud.ts";
import type { ServingMetrics } from "../observation/mod.ts";
import type { UsageCounts, UsageCounter } from "./usage_counter.ts";

/**
 * Time after a window's end before its counts are final, in milliseconds. Some
 * exchanges of peer news, one of them lost, and a median clock's error.
 */
const SETTLE_MILLISECONDS = 1_500;

/** Windows whose reports may still be of use; the rest came too late. */
const REPORTED_WINDOWS = 3;

/** Final reports by window. */
export type FinalReports = Readonly<Record<string, UsageCounts>>;

/** The time of day as a host knows it, in milliseconds. */
export interface TimeOfDay {
  /** By its own clock. */
  readonly own: number;
  /** On which the hosts agree. */
  readonly agreed: number;
}

/** Digits that tell the counts of two reports apart in the log. */
const DIGEST_LENGTH = 8;

/** The duty of reporting usage, for as long as this host holds it. */
export class UsageDuty {
  readonly #counter: UsageCounter;
  readonly #cloud: Cloud;
  readonly #logger: Logger;
  readonly #metrics: ServingMetrics;
  readonly #sent = new Set<string>();
  readonly #startedInWindow: number;
  #fence = -1;
  /** What the lease object holds. */
  #stored: FinalReports = {};

  constructor(
    counter: UsageCounter,
    parts: {
      readonly cloud: Cloud;
      readonly logger: Logger;
      readonly metrics: ServingMetrics;
      /** Time of day at the start, in milliseconds. */
      readonly startedAt: number;
    },
  ) {
    this.#counter = counter;
    this.#cloud = parts.cloud;
    this.#logger = parts.logger;
    this.#metrics = parts.metrics;
    this.#startedInWindow = counter.windowOf(parts.startedAt);
  }

  /** Reports to keep with the lease: those known and those now final. */
  finalReports(known: FinalReports, wallTime: number): FinalReports {
    const newest = this.#counter.windowOf(wallTime - SETTLE_MILLISECONDS) - 1;
    const windows = Array.from(
      { length: REPORTED_WINDOWS },
      (_, back) => newest - back,
    ).filter(
      (window) =>
        window >= this.#startedInWindow ||
        known[window] !== undefined ||
        this.#counter.knows(window),
    );
    this.#counter.forgetBefore(newest);
    return Object.fromEntries(
      windows.map((window) => [
        String(window),
        known[window] ?? this.#counter.total(window),
      ]),
    );
  }

  /** Notes what the lease object holds, and tells what changed. */
  stored(reports: FinalReports, time: TimeOfDay): void {
    const before = this.#stored;
    this.#stored = reports;
    Object.entries(reports)
      .filter(([window]) => before[window] === undefined)
      .forEach(([window, counts]) =>
        this.#logger.info("usage final", {
          ...described(window, counts),
          sinceEndMilliseconds: Math.round(
            time.agreed - this.#counter.endOf(Number(window)),
          ),
          aheadMilliseconds: Math.round(time.own - time.agreed),
        }),
      );
    Object.entries(before)
      .filter(([window]) => reports[window] === undefined)
      .forEach(([window, counts]) =>
        this.#logger.info("final usage left the lease", {
          ...described(window, counts),
        }),
      );
  }

  /** Sends reports that the lease object holds and the cloud has not taken. */
  async act(reports: FinalReports, fence: Fence): Promise<void> {
    if (fence.fence !== this.#fence) {
      this.#fence = fence.fence;
      this.#sent.clear();
    }
    const due = Object.entries(reports)
      .filter(([window]) => !this.#sent.has(window))
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
    if (sent.isOk) this.#sent.add(window);
    this.#metrics.event(`usage_${result}`);
    this.#logger.info("usage reported", {
      ...described(window, counts),
      fence: fence.fence,
      outcome: result,
    });
  }
}

/** What the log tells of a report; equal counts have equal digests. */
function described(
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
