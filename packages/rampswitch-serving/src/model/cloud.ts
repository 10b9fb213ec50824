// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Calls of the duties to the platform's cloud.
 *
 * @module
 */
import type { Result } from "true-myth";

/** The holder of the duties that makes a call, and its fence. */
export interface Fence {
  readonly holder: string;
  readonly fence: number;
}

/** Requests in one window, by workspace. */
export interface UsageReport {
  readonly window: number;
  readonly counts: Readonly<Record<string, number>>;
}

/** The number of servers that a data hall should have. */
export interface ServerOrder {
  readonly service: string;
  readonly dataHall: string;
  readonly reclaimable: boolean;
  readonly desired: number;
}

/** Why a call was not executed, or may not have been. */
export type CloudError =
  /** The cloud has seen a higher fence, or has none of the ordered servers. */
  "conflict" | "too_many_calls" | "refused" | "no_answer";

/** Calls of the duties. */
export interface Cloud {
  reportUsage(
    report: UsageReport,
    fence: Fence,
  ): Promise<Result<void, CloudError>>;
  orderServers(
    order: ServerOrder,
    fence: Fence,
  ): Promise<Result<void, CloudError>>;
}
