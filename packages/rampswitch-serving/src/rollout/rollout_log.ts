// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * What is told of versions and roll-outs: a line and a count for each step.
 *
 * @module
 */
import type { Logger } from "rampswitch-utils";
import type { ServingMetrics } from "../observation/mod.ts";
import type { Rollout } from "./rollout.ts";
import type { VersionArm } from "./version_counts.ts";

/** What lines are written with. */
export interface LineParts {
  readonly logger: Logger;
  readonly metrics: ServingMetrics;
}

/** Lines and counts of one host. */
export class RolloutLines {
  readonly #parts: LineParts;

  constructor(parts: LineParts) {
    this.#parts = parts;
  }

  /** A version turned up that no order told of. */
  heldBack(service: string, version: string): void {
    this.#parts.metrics.event("version_held_back");
    this.#parts.logger.info("version held back", { service, version });
  }

  /** No order speaks of some versions. */
  met(service: string, versions: readonly string[]): void {
    this.#parts.logger.info("versions met without an order", {
      service,
      versions: versions.join(","),
    });
  }

  /** A request goes to one of the versions. */
  sent(arm: VersionArm): void {
    this.#parts.metrics.event(`rollout_sent_${arm}`);
  }

  /** An order is known. */
  known(rollout: Rollout, now: number): void {
    this.#parts.metrics.event("rollout_started");
    this.#parts.logger.info("roll-out known", {
      ...namesOf(rollout),
      baseline: rollout.baseline.join(","),
      slack: rollout.budget.slack,
      remainingMilliseconds: remaining(rollout, now),
    });
  }

  /** All hosts are to send everything to the target version. */
  promotes(rollout: Rollout, now: number): void {
    this.#parts.metrics.event("rollout_promoting");
    this.#parts.logger.info("roll-out promotes", {
      ...namesOf(rollout),
      reason: rollout.reason,
      ...sends(rollout),
      remainingMilliseconds: remaining(rollout, now),
    });
  }

  /** A roll-out is over, and why. */
  over(rollout: Rollout, now: number): void {
    const { fault } = rollout;
    this.#parts.metrics.event(`rollout_${rollout.phase}`);
    this.#parts.logger.info("roll-out over", {
      ...namesOf(rollout),
      phase: rollout.phase,
      reason: rollout.reason,
      ...sends(rollout),
      remainingMilliseconds: remaining(rollout, now),
      test: fault?.kind,
      route: fault?.route,
      evidence: fault?.evidence,
      wrong: fault?.wrong,
      answers: fault?.answers,
    });
  }
}

function namesOf({ order: { service, toVersion } }: Rollout) {
  return { service, toVersion };
}

function sends({ budget }: Rollout) {
  return { sentToTarget: budget.sentToTarget, sent: budget.sent };
}

function remaining({ deadlineAt }: Rollout, now: number): number {
  return Math.round(deadlineAt - now);
}
