// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Whether one host knows which versions served before it first listed a server, and while
 * it read no changes.
 *
 * @module
 */
import type { Clock } from "rampswitch-utils";

/**
 * Longest time from the read of the stored versions to the first listed server, in
 * milliseconds: a version that came and went in between would be missed.
 */
const LISTING_DELAY_MILLISECONDS = 1_000;

/** What one host knows of the versions that served. */
export class KnownPast {
  readonly #clock: Clock;
  readonly #retentionMilliseconds: number;
  /**
   * When the stored versions were last read and complete, on the monotonic clock;
   * `undefined` before that.
   */
  #readAt: number | undefined;
  /** When a server was first listed, on the monotonic clock; `undefined` before that. */
  #listedAt: number | undefined;
  /** When changes of the list were last missed, on the monotonic clock. */
  #missedAt = -Infinity;

  /** Streams in progress are not older than the given time. */
  constructor(clock: Clock, retentionMilliseconds: number) {
    this.#clock = clock;
    this.#retentionMilliseconds = retentionMilliseconds;
  }

  /** Notes that a server is listed. */
  listed(): void {
    this.#listedAt ??= this.#clock.now();
  }

  /** Notes that the stored versions were read, and are complete. */
  wasRead(): void {
    this.#readAt = this.#clock.now();
  }

  /** Notes that servers may have been listed and removed without this host's knowledge. */
  missedChanges(): void {
    this.#missedAt = this.#clock.now();
  }

  /** Whether this host knows all versions that served since the oldest stream began. */
  get isKnown(): boolean {
    return this.wasThere && !this.hasGap;
  }

  /**
   * Whether this host read which versions served, or saw it for long enough. Before it
   * first listed a server it may have received no list.
   */
  get wasThere(): boolean {
    const age = this.#clock.now() - (this.#listedAt ?? Infinity);
    return this.#hasRead || age >= this.#retentionMilliseconds;
  }

  /** Whether a version may have served unseen since the oldest stream began. */
  get hasGap(): boolean {
    const elapsed = this.#clock.now() - this.#missedAt;
    return elapsed < this.#retentionMilliseconds;
  }

  /** Whether the servers were listed so long after the store was read that it is due again. */
  get hasListedLate(): boolean {
    const hasBoth = this.#readAt !== undefined && this.#listedAt !== undefined;
    return hasBoth && !this.wasThere;
  }

  /**
   * Whether complete versions were read at about the time of this host's first listed
   * server: a version may come and go unnoticed between the two.
   */
  get #hasRead(): boolean {
    if (this.#readAt === undefined || this.#listedAt === undefined) {
      return false;
    }
    return this.#listedAt - this.#readAt < LISTING_DELAY_MILLISECONDS;
  }
}
