// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The narrow interface to the platform's object API.
 *
 * @module
 */
import type { Result } from "true-myth";

/** One object with the version that conditional updates name. */
export interface StoredObject {
  readonly key: string;
  /**
   * Position of its newest change in the store's history: grows with each change of
   * any object, and from one era of the store to the next.
   */
  readonly version: number;
  readonly value: string;
}

/** A change seen by a watch; `value` is absent after a deletion. */
export interface StoreEvent {
  readonly key: string;
  readonly version: number;
  readonly value?: string;
}

/** All objects below a prefix, and the version at which they were read. */
export interface StoredList {
  readonly version: number;
  readonly objects: readonly StoredObject[];
}

/** What a watch brought. */
export interface WatchBatch {
  /** The version to watch from next. */
  readonly version: number;
  readonly events: readonly StoreEvent[];
}

/**
 * Why a call failed. `conflict`: the object had another version, or one of an era
 * that is over, and nothing changed. `unknown`: no answer; a change may have taken effect. `unavailable`:
 * the call surely had no effect. `compacted`: the watch must list anew.
 */
export type StoreError =
  | { readonly kind: "conflict"; readonly current?: StoredObject }
  | { readonly kind: "unknown"; readonly detail: string }
  | { readonly kind: "unavailable"; readonly detail: string }
  | { readonly kind: "compacted" }
  | { readonly kind: "invalid"; readonly detail: string };

/** Condition of a change: the version, or `absent`. */
export type Expectation = number | "absent";

/** How a watch waits. */
export interface WatchOptions {
  readonly signal: AbortSignal;
  /** Longest wait; 0 asks whether there is news without waiting. */
  readonly seconds?: number;
}

/** The store came back from a copy: what it acknowledged lately is lost. */
export interface EraChange {
  readonly from: number;
  readonly to: number;
}

/** What a store that names no eras tells of them. */
export const ONE_ERA: Pick<ObjectStore, "era" | "onEra"> = {
  era: 0,
  onEra: () => undefined,
};

/** The platform's object API. */
export interface ObjectStore {
  /** The newest era that an answer told of; 0 where the store names none. */
  readonly era: number;
  /** Calls back when an answer tells of a later era than all before. */
  onEra(listener: (change: EraChange) => void): void;
  /** Reads one object; `undefined` where there is none. */
  get(key: string): Promise<Result<StoredObject | undefined, StoreError>>;
  /**
   * Lists the objects below a prefix. A list that may be stale is cheaper, and
   * may be some seconds old.
   */
  list(
    prefix: string,
    options?: { readonly mayBeStale: boolean },
  ): Promise<Result<StoredList, StoreError>>;
  /** Changes an object if it still is as expected. */
  put(
    key: string,
    value: string,
    options: { readonly expected: Expectation },
  ): Promise<Result<StoredObject, StoreError>>;
  /** Removes an object if it still has this version. */
  remove(key: string, version: number): Promise<Result<void, StoreError>>;
  /** Waits for changes below a prefix after a version. */
  watch(
    prefix: string,
    after: number,
    options: WatchOptions,
  ): Promise<Result<WatchBatch, StoreError>>;
}
