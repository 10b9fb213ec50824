// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Specs of roll-outs as operators give them, and their states in the store.
 *
 * @module
 */
import type { Result } from "true-myth";
import type { StoredObject, StoreError } from "rampswitch-store";

/** Asks for a service's traffic to be shifted to servers of another version. */
export interface RolloutSpec {
  readonly service: string;
  readonly toVersion: string;
  /** Time within which the roll-out has to end, in milliseconds. */
  readonly durationMilliseconds: number;
}

/** State of a roll-out in the store. */
export type StoredRolloutState = "running" | "completed" | "rolled_back";

/** A roll-out spec and its state, as they are stored. */
export interface StoredRollout {
  readonly spec: RolloutSpec;
  /** `undefined` if no state was stored for this spec yet. */
  readonly state: StoredRolloutState | undefined;
}

/**
 * Phases of a roll-out on a host. In `canary` the target version gets a share
 * of the requests; in `promoting` it gets all of them, as far as its exposure
 * allows.
 */
export type RolloutPhase = "canary" | "promoting" | "completed" | "rolled_back";

/** Decodes roll-out specs, and stores their states. */
export interface RolloutSpecAdapter {
  /** Prefix of the specs' keys in the store. */
  readonly prefix: string;
  /** Decodes a spec; an error is the reason why it can't be decoded. */
  decode(key: string, value: string): Result<StoredRollout, string>;
  /**
   * Stores a state unless the spec has changed since the given version of its
   * entry.
   */
  storeState(
    spec: RolloutSpec,
    state: StoredRolloutState,
    version: number,
  ): Promise<Result<StoredObject, StoreError>>;
}

/** Bounds on the requests that an unevaluated version may get. */
export interface ExposureTerms {
  /** Maximum share of a service's requests. */
  readonly share: number;
  /** Requests beyond the share, over the whole fleet. */
  readonly slack: number;
}
