// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Logs and counts the steps of roll-outs.
 *
 * @module
 */
import type { Logger } from "rampswitch-utils";
import type { ServingMetrics } from "../observation/mod.ts";
import type { Rollout } from "./rollout.ts";
import type { VersionArm } from "./version_counts.ts";

/** What the log depends on. */
export interface RolloutLogParts {
  readonly logger: Logger;
  readonly metrics: ServingMetrics;
}

/** Logs and counts the steps of one host's roll-outs. */
export class RolloutLog {
  readonly #parts: RolloutLogParts;

  constructor(parts: RolloutLogParts) {
    this.#parts = parts;
  }

  /** Logs that a version is held back, since no known spec names it. */
  heldBack(service: string, version: string): void {
    this.#parts.metrics.event("version_held_back");
    this.#parts.logger.info("version held back", { service, version });
  }

  /** Logs that versions are accepted, since no spec names them. */
  acceptedWithoutSpec(service: string, versions: readonly string[]): void {
    this.#parts.logger.info("versions met without an order", {
      service,
      versions: versions.join(","),
    });
  }

  /** Counts a send to one of the versions of a roll-out. */
  sent(arm: VersionArm): void {
    this.#parts.metrics.event(`rollout_sent_${arm}`);
  }

  /** Logs that a roll-out started on this host. */
  started(rollout: Rollout, now: number): void {
    this.#parts.metrics.event("rollout_started");
    this.#parts.logger.info("roll-out known", {
      ...identityFields(rollout),
      baseline: rollout.baseline.join(","),
      slack: rollout.budget.slack,
      remainingMilliseconds: remainingMillisecondsOf(rollout, now),
    });
  }

  /** Logs that a promotion began: all hosts send everything to the target. */
  promoting(rollout: Rollout, now: number): void {
    this.#parts.metrics.event("rollout_promoting");
    this.#parts.logger.info("roll-out promotes", {
      ...identityFields(rollout),
      reason: rollout.reason,
      ...sendFields(rollout),
      remainingMilliseconds: remainingMillisecondsOf(rollout, now),
    });
  }

  /** Logs that a roll-out ended, and why. */
  ended(rollout: Rollout, now: number): void {
    const { fault } = rollout;
    this.#parts.metrics.event(`rollout_${rollout.phase}`);
    this.#parts.logger.info("roll-out over", {
      ...identityFields(rollout),
      phase: rollout.phase,
      reason: rollout.reason,
      ...sendFields(rollout),
      remainingMilliseconds: remainingMillisecondsOf(rollout, now),
      test: fault?.kind,
      route: fault?.route,
      evidence: fault?.evidence,
      wrong: fault?.wrong,
      answers: fault?.answers,
    });
  }
}

function identityFields({ spec: { service, toVersion } }: Rollout) {
  return { service, toVersion };
}

function sendFields({ budget }: Rollout) {
  return { sentToTarget: budget.sentToTarget, sent: budget.sent };
}

function remainingMillisecondsOf({ deadlineAt }: Rollout, now: number): number {
  return Math.round(deadlineAt - now);
}
