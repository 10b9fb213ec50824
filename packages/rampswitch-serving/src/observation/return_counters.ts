// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Counts what becomes of the times at which refused callers may return.
 *
 * @module
 */
import type { ReservationListener } from "../room/mod.ts";
import type { ServingMetrics } from "./metrics.ts";

/** Counts what became of refused callers' reservations. */
export function returnCounters(metrics: ServingMetrics): ReservationListener {
  return {
    kept: (rank) => metrics.returnKept(rank),
    refused: (rank) => metrics.returnRefused(rank),
    lapsed: (rank) => metrics.returnLapsed(rank),
  };
}
