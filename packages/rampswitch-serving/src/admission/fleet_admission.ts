// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Who decides whether a request fits into its workspace's limit. In a large
 * fleet each host meets few of a workspace's requests and hears of the others a
 * second late. A host that took its even part of what is left of a limit would
 * refuse nearly all of them, and one that took more would overspend the limit
 * together with all others. So a host admits alone while a limit is ample, and
 * asks a relay otherwise: the relays are few, hear each other sooner, and may
 * each give a larger part away.
 *
 * @module
 */
import type { Clock } from "rampswitch-utils";
import type { LimitRequest } from "../membership/mod.ts";
import type { ServingMetrics } from "../observation/mod.ts";
import type { LimitDecision, WorkspaceLimits } from "./workspace_limits.ts";

/** What admissions work with. */
export interface FleetAdmissionParts {
  /** A steady clock. */
  readonly clock: Clock;
  readonly limits: WorkspaceLimits;
  readonly metrics: ServingMetrics;
  /** Whether this host has relays to ask. */
  asks(): boolean;
  /** How many hosts decide for others, where this host is one of them. */
  deciders(): number | undefined;
  /** Asks a relay; `undefined` where none answers in time. */
  ask(request: LimitRequest): Promise<LimitDecision | undefined>;
}

/** Admission of requests to one host, under limits that all hosts share. */
export class FleetAdmission {
  readonly #parts: FleetAdmissionParts;

  constructor(parts: FleetAdmissionParts) {
    this.#parts = parts;
  }

  /** Admits a request, or says when to come back. */
  async admit(request: LimitRequest): Promise<LimitDecision> {
    if (!this.#parts.asks()) return this.decide(request);
    const alone = this.#admitAlone(request);
    if (alone?.kind === "admitted") return alone;
    const told = await this.#parts.ask(request);
    this.#parts.metrics.event(`limit_asked_${told?.kind ?? "in_vain"}`);
    return told ?? alone ?? this.decide(request);
  }

  /** Decides on this host's own knowledge, for itself or for a host that asks. */
  decide({ workspace, tokens, priority }: LimitRequest): LimitDecision {
    const { clock, limits } = this.#parts;
    return limits.admit(workspace, tokens, {
      now: clock.now(),
      priority,
      deciders: this.#parts.deciders(),
    });
  }

  /** Takes back what was admitted for a request that surely did not run. */
  giveBack({ workspace, tokens }: Omit<LimitRequest, "priority">): void {
    this.#parts.limits.giveBack(workspace, tokens);
  }

  /** Admits while the limit is ample; `undefined` where it is not. */
  #admitAlone(request: LimitRequest): LimitDecision | undefined {
    const { workspace, tokens, priority } = request;
    const { limits } = this.#parts;
    const now = this.#parts.clock.now();
    return limits.isAmple(workspace, now)
      ? limits.admit(workspace, tokens, { now, priority, asks: true })
      : undefined;
  }
}
