// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The wait of a planned stop: balancers notice it first, then idle connections
 * are closed, and the process ends when nothing is in progress.
 *
 * @module
 */
import { type Clock, sleep } from "rampswitch-utils";
import type { CallerServer } from "./intake/caller_server.ts";

/** Shortest planned stop: balancers notice it meanwhile, in milliseconds. */
const SHORTEST_STOP_MILLISECONDS = 3_000;

/** Margin before the forced end, in milliseconds. */
const STOP_MARGIN_MILLISECONDS = 400;

/** Time between looks whether a stopping host is done, in milliseconds. */
const STOP_LOOK_MILLISECONDS = 50;

/** Waits until nothing is in progress, or until the grace is nearly over. */
export async function untilIdle(
  callers: CallerServer,
  clock: Clock,
  stop: { readonly startedAt: number; readonly graceMilliseconds: number },
): Promise<void> {
  const latest =
    stop.startedAt + stop.graceMilliseconds - STOP_MARGIN_MILLISECONDS;
  const now = clock.now();
  const early = now - stop.startedAt < SHORTEST_STOP_MILLISECONDS;
  if (!early) callers.closeIdleConnections();
  const busy = callers.inProgress > 0;
  if (now >= latest || (!early && !busy)) return;
  await sleep(clock, STOP_LOOK_MILLISECONDS);
  await untilIdle(callers, clock, stop);
}
