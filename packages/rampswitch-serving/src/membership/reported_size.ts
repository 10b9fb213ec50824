// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The size of the fleet as relays report it to a member: the largest of the last
 * minute, since a relay that has just started knows only a part of the fleet.
 *
 * @module
 */
import { ABSENT_MILLISECONDS, type SilentHosts } from "./silent_hosts.ts";

interface Report {
  readonly hosts: number;
  /** In time of any message. */
  readonly at: number;
}

type HeardTime = Pick<SilentHosts, "timeConnected" | "timeInPerson">;

/** The size of the fleet in digests. */
export class ReportedSize {
  readonly #time: HeardTime;
  /** Reports that no later one exceeds, the largest first. */
  #reports: readonly Report[] = [];
  /** Since when digests arrive, in time of any message. */
  #since = 0;
  /** When the newest digest arrived, in time in person. */
  #newestAt = -Infinity;

  constructor(time: HeardTime) {
    this.#time = time;
  }

  /** Records the number of hosts in a digest. */
  record(hosts: number): void {
    const at = this.#time.timeConnected;
    if (!this.#isHeld) {
      this.#reports = [];
      this.#since = at;
    }
    this.#newestAt = this.#time.timeInPerson;
    this.#reports = [
      ...this.#reports.filter(
        (report) =>
          report.hosts > hosts && at - report.at < ABSENT_MILLISECONDS,
      ),
      { hosts, at },
    ];
  }

  /**
   * The largest number of the last minute; `undefined` before digests have arrived
   * for so long, and once this host has heard the others itself for so long.
   */
  get largest(): number | undefined {
    const isFull = this.#time.timeConnected - this.#since > ABSENT_MILLISECONDS;
    return this.#isHeld && isFull ? this.#reports[0]?.hosts : undefined;
  }

  get #isHeld(): boolean {
    return this.#time.timeInPerson - this.#newestAt < ABSENT_MILLISECONDS;
  }
}
