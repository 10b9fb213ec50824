// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The interface to the platform's object API.
 *
 * @module
 */
import type { Result } from "true-myth";

/** One object with its version, which conditional updates refer to. */
export interface StoredObject {
  readonly key: string;
  /**
   * Position of the object's latest change in the store's history. It increases with
   * each change of any object, and from one era of the store to the next.
   */
  readonly version: number;
  readonly value: string;
}

/** A change received by a watch; `value` is absent for a deletion. */
export interface StoreEvent {
  readonly key: string;
  readonly version: number;
  readonly value?: string;
}

/** All objects under a prefix, and the store's version when they were read. */
export interface StoredList {
  readonly version: number;
  readonly objects: readonly StoredObject[];
}

/** Changes received by one watch call. */
export interface WatchBatch {
  /** The version to continue the watch from. */
  readonly version: number;
  readonly events: readonly StoreEvent[];
}

/**
 * Reason why a call failed.
 *
 * - `conflict`: the object had another version, or the expected version is of an
 *   earlier era; nothing changed.
 * - `unknown`: there was no valid answer; a change may have taken effect.
 * - `unavailable`: the call certainly had no effect.
 * - `compacted`: the history since that version is gone; list again before watching.
 * - `invalid`: the store rejected the call as malformed or too large.
 */
export type StoreError =
  | { readonly kind: "conflict"; readonly current?: StoredObject }
  | { readonly kind: "unknown"; readonly detail: string }
  | { readonly kind: "unavailable"; readonly detail: string }
  | { readonly kind: "compacted" }
  | { readonly kind: "invalid"; readonly detail: string };

/** Condition of a change: the object's version, or `absent` for no object. */
export type Expectation = number | "absent";

/** Options of a watch call. */
export interface WatchOptions {
  readonly signal: AbortSignal;
  /** Maximum wait in seconds; 0 returns the existing changes without waiting. */
  readonly seconds?: number;
}

/** The store was restored from a copy; changes that it acknowledged recently are lost. */
export interface EraChange {
  readonly from: number;
  readonly to: number;
}

/** The members of an {@link ObjectStore} about eras, for a store without eras. */
export const ONE_ERA: Pick<ObjectStore, "era" | "onEra"> = {
  era: 0,
  onEra: () => undefined,
};

/** The platform's object API. */
export interface ObjectStore {
  /** The latest era reported in an answer; 0 if the store reports none. */
  readonly era: number;
  /** Registers a listener that is called when an answer reports a later era. */
  onEra(listener: (change: EraChange) => void): void;
  /** Reads one object; `undefined` if it does not exist. */
  get(key: string): Promise<Result<StoredObject | undefined, StoreError>>;
  /**
   * Lists the objects under a prefix. With `mayBeStale` the call is cheaper, but the
   * list may be some seconds old.
   */
  list(
    prefix: string,
    options?: { readonly mayBeStale: boolean },
  ): Promise<Result<StoredList, StoreError>>;
  /** Writes an object if its version is the expected one. */
  put(
    key: string,
    value: string,
    options: { readonly expected: Expectation },
  ): Promise<Result<StoredObject, StoreError>>;
  /** Removes an object if its version is the given one. */
  remove(key: string, version: number): Promise<Result<void, StoreError>>;
  /** Waits for changes under a prefix after a version. */
  watch(
    prefix: string,
    after: number,
    options: WatchOptions,
  ): Promise<Result<WatchBatch, StoreError>>;
}
