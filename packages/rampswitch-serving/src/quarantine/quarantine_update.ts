// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * What hosts report to each other about one request or one prompt part.
 *
 * @module
 */
import type { QuarantineEntry } from "./quarantine_entry.ts";

/** Time since an event, in milliseconds, for hosts without a common clock. */
export type Age = number;

/** What hosts report to each other about one request or one prompt part. */
export interface QuarantineUpdate {
  /** Fingerprint of the request, or key of the part. */
  readonly fingerprint: string;
  readonly lostIncarnations: Readonly<Record<string, Age>>;
  readonly lastTrialAge: Age | undefined;
  readonly trials: number;
  readonly completedAge: Age | undefined;
}

/** Returns what to report about an entry. */
export function updateOf(
  fingerprint: string,
  entry: QuarantineEntry,
  now: number,
): QuarantineUpdate {
  return {
    fingerprint,
    lostIncarnations: Object.fromEntries(
      [...entry.lostIncarnations].map(([incarnation, at]) => [
        incarnation,
        now - at,
      ]),
    ),
    lastTrialAge: ageOf(entry.lastTrialAt, now),
    trials: entry.trials,
    completedAge: ageOf(entry.completedAt, now),
  };
}

/** Returns the entry that another host reported. */
export function entryOf(
  update: QuarantineUpdate,
  now: number,
): QuarantineEntry {
  return {
    lostIncarnations: new Map(
      Object.entries(update.lostIncarnations).map(([incarnation, age]) => [
        incarnation,
        timeOf(age, now),
      ]),
    ),
    lastTrialAt: timeOf(update.lastTrialAge, now),
    trials: update.trials,
    completedAt: timeOf(update.completedAge, now),
  };
}

/** An age below zero comes from a wrong clock and must not yield a future time. */
function timeOf(age: Age | undefined, now: number): number {
  return now - Math.max(0, age ?? Infinity);
}

function ageOf(at: number, now: number): Age | undefined {
  return Number.isFinite(at) ? now - at : undefined;
}
