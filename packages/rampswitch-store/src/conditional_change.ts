// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Conditional changes of an object, with retries. After a lost answer the object
 * is read again to find out whether the change took effect.
 *
 * @module
 */
import { Result } from "true-myth";
import { type Clock, type Random, sleep } from "rampswitch-utils";
import type { ObjectStore, StoredObject, StoreError } from "./object_store.ts";
import { storeBackoff } from "./http_object_store.ts";

/** Decision of a change: write a new value, or keep the object as it is. */
export type ChangeDecision<Refusal> =
  | { readonly kind: "write"; readonly value: string }
  | { readonly kind: "keep"; readonly refusal: Refusal };

/** Result of a change; `unknown` if no attempt gave a definite answer. */
export type ChangeResult<Refusal> =
  | { readonly kind: "written"; readonly object: StoredObject }
  | { readonly kind: "kept"; readonly refusal: Refusal }
  | { readonly kind: "unknown"; readonly error: StoreError };

/** A change of one object. */
export interface Change<Refusal> {
  readonly key: string;
  /** Decides based on the current object; called again after a failed attempt. */
  readonly decide: (
    current: StoredObject | undefined,
  ) => ChangeDecision<Refusal>;
  /** The object as last read; saves the first read. */
  readonly known?: StoredObject;
  /** Maximum number of attempts. */
  readonly attempts?: number;
}

/** Clock and random numbers for the delays between retries. */
export interface ChangeOptions {
  readonly clock: Clock;
  readonly random: Random;
}

const DEFAULT_MAXIMUM_ATTEMPTS = 6;

/**
 * Changes an object, with retries. If an answer is lost, the write may have taken
 * effect: `decide` must recognize its own earlier write in the object that is read
 * next, and return `keep`.
 */
export async function changeObject<Refusal>(
  store: ObjectStore,
  change: Change<Refusal>,
  options: ChangeOptions,
): Promise<ChangeResult<Refusal>> {
  const attempts = change.attempts ?? DEFAULT_MAXIMUM_ATTEMPTS;
  let known: Result<StoredObject | undefined, StoreError> | undefined =
    change.known === undefined ? undefined : Result.ok(change.known);
  let error: StoreError = { kind: "unavailable", detail: "not tried" };
  for (let attempt = 0; attempt < attempts; attempt += 1) {
    const current = known ?? (await store.get(change.key));
    known = undefined;
    if (current.isErr) {
      error = current.error;
    } else {
      const decision = change.decide(current.value);
      if (decision.kind === "keep") {
        return { kind: "kept", refusal: decision.refusal };
      }
      const written = await store.put(change.key, decision.value, {
        expected: current.value?.version ?? "absent",
      });
      if (written.isOk) return { kind: "written", object: written.value };
      error = written.error;
      if (error.kind === "invalid") return { kind: "unknown", error };
      if (error.kind === "conflict") {
        if (error.current !== undefined) known = Result.ok(error.current);
        if (attempt < attempts / 2) continue;
      }
    }
    await sleep(options.clock, storeBackoff(attempt, options.random));
  }
  return { kind: "unknown", error };
}
