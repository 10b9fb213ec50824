// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The duties' calls to the platform's cloud.
 *
 * @module
 */
import type { Result } from "true-myth";

/** Who calls, under which fence. */
export interface Fence {
  readonly holder: string;
  readonly fence: number;
}

/** Requests of one window by workspace. */
export interface UsageReport {
  readonly window: number;
  readonly counts: Readonly<Record<string, number>>;
}

/** Servers that a data hall is to have. */
export interface ServerOrder {
  readonly service: string;
  readonly dataHall: string;
  readonly reclaimable: boolean;
  readonly desired: number;
}

/** Why a call was not carried out, or may not have been. */
export type CloudError =
  /** A higher fence was seen, or none of the servers are to be had. */
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
