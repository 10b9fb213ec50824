// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Decides which host checks a request against the limit of its workspace.
 *
 * In a large fleet each host receives few of a workspace's requests, and
 * receives updates about the others a second late. If a host could admit only
 * its even share of what is left of a limit, it would refuse nearly all
 * requests. If each host could admit more than that, all hosts together would
 * exceed the limit. So a host admits on its own while the limit has ample
 * headroom, and queries a relay once it has not: the relays are few, receive
 * each other's updates sooner, and may each admit a larger share.
 *
 * @module
 */
import { type Clock, sleep } from "rampswitch-utils";
import type { ServingMetrics } from "../observation/mod.ts";
import type { LimitDecision, LimitRequest } from "./limit_request.ts";
import type { WorkspaceLimits } from "./workspace_limits.ts";

/**
 * Longest wait of a request for its limit, in milliseconds: three lags of the updates of
 * other hosts, within which hosts that admit slowly may admit it.
 */
const MAXIMUM_WAIT_MILLISECONDS = 1_100;

/**
 * Minimum time between two checks of one request, in milliseconds: each of them may query
 * a relay, although the limit needs a moment only.
 */
const MINIMUM_CHECK_INTERVAL_MILLISECONDS = 50;

/** Dependencies of {@link FleetAdmission}. */
export interface FleetAdmissionParts {
  /** A monotonic clock. */
  readonly clock: Clock;
  readonly limits: WorkspaceLimits;
  readonly metrics: ServingMetrics;
  /** Whether this host has relays that it can query. */
  hasRelays(): boolean;
  /**
   * Number of hosts that decide for others; `undefined` where this host is not
   * one of them.
   */
  deciders(): number | undefined;
  /** Queries a relay; `undefined` if none answers in time. */
  queryRelay(request: LimitRequest): Promise<LimitDecision | undefined>;
}

/** Admits requests at one host, under limits that all hosts share. */
export class FleetAdmission {
  readonly #parts: FleetAdmissionParts;

  constructor(parts: FleetAdmissionParts) {
    this.#parts = parts;
  }

  /** Admits a request, or refuses it with a time to retry after. */
  async admit(request: LimitRequest): Promise<LimitDecision> {
    if (!this.#parts.hasRelays()) return this.decide(request);
    const ownDecision = this.#admitWhileAmple(request);
    if (ownDecision?.kind === "admitted") return ownDecision;
    const relayDecision = await this.#parts.queryRelay(request);
    this.#parts.metrics.event(
      `limit_asked_${relayDecision?.kind ?? "in_vain"}`,
    );
    return relayDecision ?? ownDecision ?? this.decide(request);
  }

  /**
   * Admits a request, after a wait if the limit may allow it soon; for requests that have
   * few tries left and are worth more than new ones.
   */
  async admitSoon(request: LimitRequest): Promise<LimitDecision> {
    const { clock } = this.#parts;
    return this.#admitBefore(clock.now() + MAXIMUM_WAIT_MILLISECONDS, request);
  }

  async #admitBefore(
    latest: number,
    request: LimitRequest,
  ): Promise<LimitDecision> {
    const decision = await this.admit(request);
    if (decision.kind === "admitted") return decision;
    const { clock } = this.#parts;
    const wait = Math.max(
      decision.retryAfterMilliseconds,
      MINIMUM_CHECK_INTERVAL_MILLISECONDS,
    );
    if (clock.now() + wait > latest) return decision;
    await sleep(clock, wait);
    return this.#admitBefore(latest, request);
  }

  /**
   * Decides from this host's own state, for itself or for a host that queries.
   */
  decide({ workspace, tokens, priority }: LimitRequest): LimitDecision {
    const { clock, limits } = this.#parts;
    return limits.admit(workspace, tokens, {
      now: clock.now(),
      priority,
      deciders: this.#parts.deciders(),
    });
  }

  /** Returns the tokens of an admitted request that certainly did not run. */
  refund({ workspace, tokens }: Omit<LimitRequest, "priority">): void {
    this.#parts.limits.refund(workspace, tokens);
  }

  /**
   * Decides while the limit has ample headroom; `undefined` once it has not.
   */
  #admitWhileAmple(request: LimitRequest): LimitDecision | undefined {
    const { workspace, tokens, priority } = request;
    const { limits } = this.#parts;
    const now = this.#parts.clock.now();
    return limits.hasAmpleHeadroom(workspace, now)
      ? limits.admit(workspace, tokens, { now, priority, asksDecider: true })
      : undefined;
  }
}
