// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Fleet time: the time of day on which the hosts agree. Each host samples the
 * median of all clocks. Its estimate is the median of its samples, advanced by its
 * monotonic clock, so that a step of most clocks for a few seconds does not change
 * it. Hosts send their estimates and numbers of samples to each other. Estimates
 * with more samples have more weight, so that a host that starts while clocks are
 * wrong takes the time from the others.
 *
 * @module
 */

/** Time between samples, in milliseconds; longer than a round of gossip. */
const SAMPLE_INTERVAL_MILLISECONDS = 500;

/**
 * Maximum number of retained samples: two minutes. The estimate follows a step of
 * most clocks that lasts more than half of that time, and no shorter one.
 */
const MAXIMUM_SAMPLES = 240;

/** Time after which the estimate of a host is discarded, in milliseconds. */
const ESTIMATE_LIFETIME_MILLISECONDS = 5_000;

/**
 * Maximum time after a start in which a host waits for the estimates of most others
 * before it relies on fleet time, in milliseconds; several rounds of gossip.
 */
const SETTLING_MILLISECONDS = 5_000;

/** An estimated time of day and the number of samples that support it. */
export interface TimeEstimate {
  /** Time of day, in milliseconds. */
  readonly wallTime: number;
  /** Number of clock samples that support the estimate. */
  readonly samples: number;
}

interface ReceivedEstimate {
  /** Time of day minus this host's monotonic time, in milliseconds. */
  readonly offset: number;
  readonly samples: number;
  readonly at: number;
}

/** Estimates fleet time at one host. */
export class FleetTime {
  readonly #ownWallTime: () => number;
  readonly #startedAt: number;
  /** Median offsets of all clocks from the monotonic time, the newest last. */
  #samples: readonly number[] = [];
  /** Median of the samples; `undefined` before the first one. */
  #sampledOffset: number | undefined;
  #sampledAt = -Infinity;
  readonly #received = new Map<string, ReceivedEstimate>();
  /** Offset of fleet time, computed once in each round of gossip. */
  #fleetOffset: number | undefined;

  /** Starts at a monotonic time with this host's own time of day. */
  constructor(ownWallTime: () => number, now: number) {
    this.#ownWallTime = ownWallTime;
    this.#startedAt = now;
  }

  /** Fleet time at a monotonic time, in milliseconds. */
  at(now: number): number {
    this.#fleetOffset ??= weightedMedian(this.#votes(now));
    return now + this.#fleetOffset;
  }

  /** Estimate from this host's own samples, to send to other hosts. */
  ownEstimate(now: number): TimeEstimate {
    return {
      wallTime: Math.round(now + this.#ownOffset(now)),
      samples: this.#samples.length,
    };
  }

  /** Fleet time and all samples that support it, to send in digests. */
  fleetEstimate(now: number): TimeEstimate {
    const samples = this.#votes(now).reduce((sum, one) => sum + one.samples, 0);
    return { wallTime: this.at(now), samples };
  }

  /**
   * Discards old estimates and the computed fleet time, and takes a sample of this
   * host's clock and `others` if the sample interval has passed.
   */
  sample(others: readonly number[], now: number): void {
    this.#fleetOffset = undefined;
    [...this.#received]
      .filter(([, { at }]) => now - at >= ESTIMATE_LIFETIME_MILLISECONDS)
      .forEach(([host]) => this.#received.delete(host));
    if (now - this.#sampledAt < SAMPLE_INTERVAL_MILLISECONDS) return;
    this.#sampledAt = now;
    const offsets = [this.#ownWallTime() - now, ...others];
    this.#samples = [...this.#samples, median(offsets)].slice(-MAXIMUM_SAMPLES);
    this.#sampledOffset = median(this.#samples);
  }

  /** Stores the estimate that a host sent at a monotonic time. */
  receive(host: string, { wallTime, samples }: TimeEstimate, at: number): void {
    this.#received.set(host, { offset: wallTime - at, samples, at });
  }

  /**
   * Whether the estimates of most of this many hosts are known, or this host has
   * waited long enough for them.
   */
  isSettled(hosts: number, now: number): boolean {
    return (
      2 * this.#votes(now).length > hosts ||
      now - this.#startedAt >= SETTLING_MILLISECONDS
    );
  }

  #ownOffset(now: number): number {
    return this.#sampledOffset ?? this.#ownWallTime() - now;
  }

  /** This host's own offset and the recent ones of others. */
  #votes(now: number): readonly Omit<ReceivedEstimate, "at">[] {
    const own = {
      offset: this.#ownOffset(now),
      samples: Math.max(1, this.#samples.length),
    };
    return [
      own,
      ...[...this.#received.values()].filter(
        ({ at }) => now - at < ESTIMATE_LIFETIME_MILLISECONDS,
      ),
    ];
  }
}

/** The lower median of offsets. */
function median(offsets: readonly number[]): number {
  return weightedMedian(offsets.map((offset) => ({ offset, samples: 1 })));
}

/** The lower median of offsets, each weighted by its number of samples. */
function weightedMedian(
  votes: readonly { readonly offset: number; readonly samples: number }[],
): number {
  const sorted = votes.toSorted((left, right) => left.offset - right.offset);
  const half = sorted.reduce((sum, { samples }) => sum + samples, 0) / 2;
  let below = 0;
  const middle = sorted.find(({ samples }) => {
    below += samples;
    return below >= half;
  });
  return middle?.offset ?? 0;
}
