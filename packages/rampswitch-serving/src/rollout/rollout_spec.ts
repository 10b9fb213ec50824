// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Orders of roll-outs as operators give them, and what the store says of each.
 *
 * @module
 */
import type { Result } from "true-myth";
import type { StoredObject, StoreError } from "rampswitch-store";

/** An order to move a service's traffic onto servers of another version. */
export interface RolloutOrder {
  readonly service: string;
  readonly toVersion: string;
  /** Time in which it is to end, in milliseconds. */
  readonly durationMilliseconds: number;
}

/** What the store says of an order. */
export type StoredRolloutState = "running" | "completed" | "rolled_back";

/** An order and its state, as the store holds them. */
export interface StoredRollout {
  readonly order: RolloutOrder;
  /** `undefined` where nothing was stored for this order yet. */
  readonly state: StoredRolloutState | undefined;
}

/**
 * Steps of a roll-out at a host. `canary` sends the target version a share of the
 * requests; `promoting` sends it all, as far as its exposure allows.
 */
export type RolloutPhase = "canary" | "promoting" | "completed" | "rolled_back";

/** Decodes orders, and stores their states. */
export interface RolloutOrders {
  /** Prefix of the orders' keys in the store. */
  readonly prefix: string;
  /** Reads an order; an error says why it can't be read. */
  decode(key: string, value: string): Result<StoredRollout, string>;
  /** Stores a state if the order still is as it was in this version. */
  storeState(
    order: RolloutOrder,
    state: StoredRolloutState,
    version: number,
  ): Promise<Result<StoredObject, StoreError>>;
}

/** Terms under which a version that nobody has judged gets requests. */
export interface ExposureTerms {
  /** Most of a service's requests that it may get, as a share. */
  readonly share: number;
  /** Requests that it may get beside, over the whole fleet. */
  readonly slack: number;
}
