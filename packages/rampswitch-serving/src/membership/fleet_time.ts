// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The time of day on which the hosts agree. Each host samples the median of all
 * clocks and carries the median of its samples on by its steady clock, so that a
 * step of most clocks for some seconds moves nothing. Hosts tell each other what
 * they carry and for how long; those that have carried it for long count for more,
 * so that a host which starts while clocks are off learns it from the others.
 *
 * @module
 */

/** Time between samples, in milliseconds; some exchanges of news. */
const SAMPLE_MILLISECONDS = 500;

/**
 * Samples that are kept: two minutes. Clocks that most hosts agree on for more than
 * half of it are followed; a step that heals sooner is not.
 */
const KEPT_SAMPLES = 240;

/** Silence after which what a host told no longer counts, in milliseconds. */
const TOLD_MILLISECONDS = 5_000;

/**
 * Time after a start in which a host waits for the clocks of most others before it
 * relies on the time of day, in milliseconds; some exchanges of news.
 */
const ALONE_MILLISECONDS = 5_000;

/** A time of day and how well it is supported. */
export interface CarriedTime {
  /** Milliseconds. */
  readonly wallTime: number;
  /** Samples behind it. */
  readonly samples: number;
}

interface Told {
  /** Time of day less this host's steady time. */
  readonly offset: number;
  readonly samples: number;
  readonly at: number;
}

/** The time of day as one host knows it. */
export class FleetTime {
  readonly #ownWallTime: () => number;
  readonly #startedAt: number;
  /** Medians of all clocks less the steady time, the newest last. */
  #samples: readonly number[] = [];
  /** Median of the samples. */
  #carried: number | undefined;
  #sampledAt = -Infinity;
  readonly #told = new Map<string, Told>();
  /** Offset on which the hosts agree, as of the last round of news. */
  #agreed: number | undefined;

  /** Begins at a steady time with this host's own time of day. */
  constructor(ownWallTime: () => number, now: number) {
    this.#ownWallTime = ownWallTime;
    this.#startedAt = now;
  }

  /** The agreed time of day at a steady time, in milliseconds. */
  at(now: number): number {
    this.#agreed ??= weightedMedian(this.#voices(now));
    return now + this.#agreed;
  }

  /** What this host has learned from clocks itself, to tell the others. */
  carried(now: number): CarriedTime {
    return {
      wallTime: Math.round(now + this.#carriedOffset(now)),
      samples: this.#samples.length,
    };
  }

  /** The agreed time of day and all that supports it, to tell who hears only this. */
  supported(now: number): CarriedTime {
    const samples = this.#voices(now).reduce(
      (sum, one) => sum + one.samples,
      0,
    );
    return { wallTime: this.at(now), samples };
  }

  /**
   * Agrees anew on what was told since the last round of news, and takes a sample of
   * this host's clock and others when it is time for one.
   */
  sample(others: readonly number[], now: number): void {
    this.#agreed = undefined;
    [...this.#told]
      .filter(([, { at }]) => now - at >= TOLD_MILLISECONDS)
      .forEach(([host]) => this.#told.delete(host));
    if (now - this.#sampledAt < SAMPLE_MILLISECONDS) return;
    this.#sampledAt = now;
    const offsets = [this.#ownWallTime() - now, ...others];
    this.#samples = [...this.#samples, median(offsets)].slice(-KEPT_SAMPLES);
    this.#carried = median(this.#samples);
  }

  /** Takes in what a host told at a steady time. */
  heard(host: string, { wallTime, samples }: CarriedTime, at: number): void {
    this.#told.set(host, { offset: wallTime - at, samples, at });
  }

  /**
   * Whether most of so many hosts told their time, or this host has waited for them.
   */
  isSettled(hosts: number, now: number): boolean {
    return (
      2 * this.#voices(now).length > hosts ||
      now - this.#startedAt >= ALONE_MILLISECONDS
    );
  }

  #carriedOffset(now: number): number {
    return this.#carried ?? this.#ownWallTime() - now;
  }

  /** What this host carries, and what others told lately. */
  #voices(now: number): readonly Omit<Told, "at">[] {
    const own = {
      offset: this.#carriedOffset(now),
      samples: Math.max(1, this.#samples.length),
    };
    return [
      own,
      ...[...this.#told.values()].filter(
        ({ at }) => now - at < TOLD_MILLISECONDS,
      ),
    ];
  }
}

/** The lower median of offsets. */
function median(offsets: readonly number[]): number {
  return weightedMedian(offsets.map((offset) => ({ offset, samples: 1 })));
}

/** The lower median of offsets, each as often as it has samples. */
function weightedMedian(
  voices: readonly { readonly offset: number; readonly samples: number }[],
): number {
  const sorted = voices.toSorted((left, right) => left.offset - right.offset);
  const half = sorted.reduce((sum, { samples }) => sum + samples, 0) / 2;
  let below = 0;
  const middle = sorted.find(({ samples }) => {
    below += samples;
    return below >= half;
  });
  return middle?.offset ?? 0;
}
