// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Counters of outcomes and of their reasons.
 *
 * @module
 */
import type { Outcome } from "rampswitch-types";
import type { Metrics } from "rampswitch-utils";

/** Counts the outcome of a request, and its reason if it did not complete. */
export function countOutcome(metrics: Metrics, outcome: Outcome): void {
  metrics.count("outcome", outcome.kind);
  if (outcome.kind === "completed") return;
  const counter = outcome.kind === "refused_not_run" ? "refusal" : "failure";
  metrics.count(counter, outcome.reason);
}
