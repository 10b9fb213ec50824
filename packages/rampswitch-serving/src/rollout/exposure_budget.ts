// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Limits how many requests one host may send to a version that is being
 * evaluated. Each host keeps within its own share, so the whole fleet stays
 * within the bound without coordination. Pure.
 *
 * @module
 */
import type { ExposureTerms } from "./rollout_spec.ts";

/** The position of this host in the fleet. */
export interface FleetPosition {
  /** Number of hosts before this one, in an order on which all hosts agree. */
  readonly rank: number;
  readonly hosts: number;
}

/**
 * Share of the fleet's slack that hosts use. The rest is a margin, since hosts
 * may count each other wrongly.
 */
const USABLE_SLACK_SHARE = 0.6;

/** Requests beyond the share that one host may send, as a whole number. */
export function slackOfHost(
  terms: ExposureTerms,
  position: FleetPosition,
): number {
  const usable = Math.floor(terms.slack * USABLE_SLACK_SHARE);
  const hosts = Math.max(1, position.hosts);
  const remainder = usable % hosts;
  return Math.floor(usable / hosts) + (position.rank < remainder ? 1 : 0);
}

/**
 * Part of the fleet that releases its slack before this host, 0 to less than 1. A rank
 * may count gone hosts that the number of hosts leaves out.
 */
export function staggerOfHost({ rank, hosts }: FleetPosition): number {
  const counted = Math.max(1, hosts);
  return Math.min(rank, counted - 1) / counted;
}

/** Share of its slack that a canary may use from the start. */
const INITIAL_SLACK_SHARE = 0.5;

/** Limits of what a canary may be sent. */
export interface CanaryLimits {
  readonly share: number;
  /** Elapsed part of the spec's time, as a share. */
  readonly elapsedShare: number;
}

/**
 * Counts the sends of one host to a service during a roll-out and limits those
 * to the target version.
 */
export class ExposureBudget {
  readonly #terms: ExposureTerms;
  readonly #slack: number;
  readonly #stagger: number;
  #sent = 0;
  #sentToTarget = 0;

  constructor(
    terms: ExposureTerms,
    host: { readonly slack: number; readonly stagger: number },
  ) {
    this.#terms = terms;
    this.#slack = host.slack;
    this.#stagger = host.stagger;
  }

  /** Requests beyond the share that this host may send. */
  get slack(): number {
    return this.#slack;
  }

  /** Number of sends to the target version so far. */
  get sentToTarget(): number {
    return this.#sentToTarget;
  }

  /** Number of sends to the service so far. */
  get sent(): number {
    return this.#sent;
  }

  /** Counts a send. */
  recordSend(toTarget: boolean): void {
    this.#sent += 1;
    if (toTarget) this.#sentToTarget += 1;
  }

  /** Whether one more send to the target version stays within the bound. */
  get allowsTarget(): boolean {
    const allowed = this.#terms.share * (this.#sent + 1) + this.#slack;
    return this.#sentToTarget + 1 <= allowed;
  }

  /**
   * Number of consecutive sends to the target version that stay within the
   * bound.
   */
  get remainingTargetSends(): number {
    const allowed = this.#terms.share * this.#sent + this.#slack;
    return (allowed - this.#sentToTarget) / (1 - this.#terms.share);
  }

  /**
   * Whether one more send stays within the canary's limits. The rest of the
   * exposure is reserved for the promotion. The slack is released gradually, at
   * different times on different hosts, since a version may fail only after a
   * while.
   */
  allowsCanary({ share, elapsedShare }: CanaryLimits): boolean {
    const releasedShare = Math.min(
      1,
      INITIAL_SLACK_SHARE + (1 - INITIAL_SLACK_SHARE) * elapsedShare,
    );
    const slack = Math.floor(this.#slack * releasedShare + this.#stagger);
    const allowed = share * (this.#sent + 1) + slack;
    return this.allowsTarget && this.#sentToTarget + 1 <= allowed;
  }
}
