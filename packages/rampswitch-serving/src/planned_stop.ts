// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The wait of a planned stop: load balancers detect the stop first, then idle
 * connections are closed, and the process ends when nothing is in progress.
 *
 * @module
 */
import { type Clock, sleep } from "rampswitch-utils";

/**
 * Minimum duration of a planned stop, in milliseconds. Load balancers detect the
 * stop in this time.
 */
const MINIMUM_STOP_MILLISECONDS = 3_000;

/** Time that is left before the forced end of the process, in milliseconds. */
const STOP_MARGIN_MILLISECONDS = 400;

/** Time for which a stopping host still starts requests, in milliseconds. */
const STOP_INTAKE_MILLISECONDS = 2_600;

/** Time between checks whether a stopping host is idle, in milliseconds. */
const STOP_POLL_INTERVAL_MILLISECONDS = 50;

/** The work that a stopping host ends first. */
export interface HostWork {
  /** Number of requests in progress, of callers and of other hosts. */
  readonly inProgress: number;
  /** Closes callers' connections without a request in progress. */
  closeIdleConnections(): void;
}

/** A planned stop that has begun. */
export interface PlannedStop {
  /** On the monotonic clock. */
  readonly startedAt: number;
  readonly graceMilliseconds: number;
}

/** Whether a host starts requests; one that stops does so at first. */
export function startsRequests(
  stop: PlannedStop | undefined,
  now: number,
): boolean {
  return stop === undefined || now - stop.startedAt < STOP_INTAKE_MILLISECONDS;
}

/**
 * When a host ends what is in progress, on the monotonic clock; infinite for one that
 * does not stop.
 */
export function latestEndOf(stop: PlannedStop | undefined): number {
  if (stop === undefined) return Infinity;
  return stop.startedAt + stop.graceMilliseconds - STOP_MARGIN_MILLISECONDS;
}

/** Waits until nothing is in progress, or until the grace period is nearly over. */
export async function waitUntilIdle(
  work: HostWork,
  clock: Clock,
  stop: PlannedStop,
): Promise<void> {
  const latestEnd = latestEndOf(stop);
  const now = clock.now();
  const isEarly = now - stop.startedAt < MINIMUM_STOP_MILLISECONDS;
  if (!isEarly) work.closeIdleConnections();
  const isBusy = work.inProgress > 0;
  if (now >= latestEnd || (!isEarly && !isBusy)) return;
  await sleep(clock, STOP_POLL_INTERVAL_MILLISECONDS);
  await waitUntilIdle(work, clock, stop);
}
