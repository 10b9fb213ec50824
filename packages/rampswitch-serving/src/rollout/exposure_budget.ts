// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * How many requests one host may send to a version that is being judged. Each host
 * keeps the share for itself, so that the fleet keeps it without asking anybody.
 * Pure.
 *
 * @module
 */
import type { ExposureTerms } from "./rollout_spec.ts";

/** This host's place in the fleet. */
export interface FleetPlace {
  /** Hosts that come before this one in an order that all agree on. */
  readonly rank: number;
  readonly hosts: number;
}

/** Part of the fleet's slack that hosts spend; hosts may count each other wrongly. */
const SPENT_SLACK_SHARE = 0.6;

/** Requests beside the share that one host may send; whole ones. */
export function slackOf(terms: ExposureTerms, place: FleetPlace): number {
  const spendable = Math.floor(terms.slack * SPENT_SLACK_SHARE);
  const hosts = Math.max(1, place.hosts);
  const left = spendable % hosts;
  return Math.floor(spendable / hosts) + (place.rank < left ? 1 : 0);
}

/** Part of the canary's slack that may be spent at once. */
const FIRST_PART = 0.5;

/** What a canary may get. */
export interface CanaryTerms {
  readonly share: number;
  /** Part of the order's time that is over. */
  readonly elapsedShare: number;
}

/** Sends of one host to the versions of a service during a roll-out. */
export class ExposureBudget {
  readonly #terms: ExposureTerms;
  readonly #slack: number;
  readonly #phase: number;
  #sent = 0;
  #sentToTarget = 0;

  constructor(
    terms: ExposureTerms,
    host: { readonly slack: number; readonly phase: number },
  ) {
    this.#terms = terms;
    this.#slack = host.slack;
    this.#phase = host.phase;
  }

  /** Requests beside the share that this host may send. */
  get slack(): number {
    return this.#slack;
  }

  /** Sends to the target version so far. */
  get sentToTarget(): number {
    return this.#sentToTarget;
  }

  /** Sends to the service so far. */
  get sent(): number {
    return this.#sent;
  }

  /** Notes a send. */
  noteSent(toTarget: boolean): void {
    this.#sent += 1;
    if (toTarget) this.#sentToTarget += 1;
  }

  /** Whether one more send to the target version keeps the bound. */
  get allows(): boolean {
    const allowed = this.#terms.share * (this.#sent + 1) + this.#slack;
    return this.#sentToTarget + 1 <= allowed;
  }

  /** Sends to the target version in a row that keep the bound. */
  get left(): number {
    const allowed = this.#terms.share * this.#sent + this.#slack;
    return (allowed - this.#sentToTarget) / (1 - this.#terms.share);
  }

  /**
   * Whether one more keeps what a canary may get, so that the rest is left for the
   * promotion. The slack is spent bit by bit, by hosts in turn, since a version may
   * go wrong late.
   */
  allowsCanary({ share, elapsedShare }: CanaryTerms): boolean {
    const part = Math.min(1, FIRST_PART + (1 - FIRST_PART) * elapsedShare);
    const slack = Math.floor(this.#slack * part + this.#phase);
    const allowed = share * (this.#sent + 1) + slack;
    return this.allows && this.#sentToTarget + 1 <= allowed;
  }
}
