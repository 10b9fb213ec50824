// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * A request for admission to a workspace's limit, and the decision on it.
 *
 * @module
 */

/** A request as a limit sees it. */
export interface LimitRequest {
  readonly workspace: string;
  readonly tokens: number;
  /** Rank of the request's route, or of a stream that goes on; 0 is the most urgent. */
  readonly priority: number;
}

/** The decision on a request for admission. */
export type LimitDecision =
  | { readonly kind: "admitted" }
  | { readonly kind: "over_limit"; readonly retryAfterMilliseconds: number };
