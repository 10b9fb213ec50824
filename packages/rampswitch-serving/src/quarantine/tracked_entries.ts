// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The entries that one host tracks, by a key whose first part is a fast hash. Their
 * number is bounded: those with fewest losses are evicted first.
 *
 * @module
 */
import { headHashOf } from "./hashed_key.ts";
import {
  addsInformation,
  EMPTY_ENTRY,
  mergeEntries,
  type QuarantineEntry,
  retainedUntil,
} from "./quarantine_entry.ts";

/** One entry, and when it changed. */
export interface TrackedEntry {
  readonly entry: QuarantineEntry;
  readonly changedAt: number;
}

/** Maximum number of entries; one takes some 300 bytes. */
const MAXIMUM_ENTRIES = 2_000;

/**
 * Number of entries that are evicted together, so that a burst of losses seldom
 * sorts the entries.
 */
const EVICTION_BATCH_ENTRIES = 200;

/** Time within which a change is new to other hosts, in milliseconds. */
const REPORT_LIFETIME_MILLISECONDS = 3_000;

/** Tracked entries by key. */
export class TrackedEntries {
  readonly #entries = new Map<string, TrackedEntry>();
  /** Number of entries by the fast hash of their keys. */
  readonly #headHashCounts = new Map<string, number>();
  readonly #onRemoved: (key: string) => void;

  constructor(onRemoved: (key: string) => void) {
    this.#onRemoved = onRemoved;
  }

  get size(): number {
    return this.#entries.size;
  }

  /** All entries with their keys. */
  get all(): readonly (readonly [string, TrackedEntry])[] {
    return [...this.#entries];
  }

  has(key: string): boolean {
    return this.#entries.has(key);
  }

  /** Whether a key may be tracked, by its fast hash alone. */
  hasHeadHash(headHash: string): boolean {
    return this.#headHashCounts.has(headHash);
  }

  /** The entry of a key; an empty one if it is not tracked. */
  entry(key: string): QuarantineEntry {
    return this.#entries.get(key)?.entry ?? EMPTY_ENTRY;
  }

  /** Merges an entry; returns whether it holds anything new. */
  merge(key: string, received: QuarantineEntry, now: number): boolean {
    const previous = this.entry(key);
    const entry = mergeEntries(previous, received);
    if (!addsInformation(entry, previous) || retainedUntil(entry) <= now) {
      return false;
    }
    if (!this.has(key)) this.#countHeadHash(key, 1);
    this.#entries.set(key, { entry, changedAt: now });
    this.#evictLeastImportant();
    return true;
  }

  /** Removes the entries whose time is over. */
  removeExpired(now: number): void {
    this.all
      .filter(([, { entry }]) => retainedUntil(entry) <= now)
      .forEach(([key]) => this.#remove(key));
  }

  /** Evicts entries when there are too many, those with fewest losses first. */
  #evictLeastImportant(): void {
    if (this.size <= MAXIMUM_ENTRIES) return;
    byImportance(this.all)
      .slice(MAXIMUM_ENTRIES - EVICTION_BATCH_ENTRIES)
      .forEach(([key]) => this.#remove(key));
  }

  #remove(key: string): void {
    this.#entries.delete(key);
    this.#countHeadHash(key, -1);
    this.#onRemoved(key);
  }

  #countHeadHash(key: string, change: number): void {
    const headHash = headHashOf(key);
    const count = (this.#headHashCounts.get(headHash) ?? 0) + change;
    if (count === 0) this.#headHashCounts.delete(headHash);
    else this.#headHashCounts.set(headHash, count);
  }
}

/** Whether an entry changed so lately that other hosts may not know of it. */
export function isNews({ changedAt }: TrackedEntry, now: number): boolean {
  return now - changedAt < REPORT_LIFETIME_MILLISECONDS;
}

/** Sorts entries: those with most losses first, and then the newest. */
export function byImportance(
  entries: readonly (readonly [string, TrackedEntry])[],
): readonly (readonly [string, TrackedEntry])[] {
  return entries.toSorted(
    ([, left], [, right]) =>
      right.entry.lostIncarnations.size - left.entry.lostIncarnations.size ||
      right.changedAt - left.changedAt,
  );
}
