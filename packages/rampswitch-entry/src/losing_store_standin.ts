// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * An object store in memory for tests that loses the answers to writes.
 *
 * @module
 */
import type { ObjectStore, StoredObject, StoreError } from "rampswitch-store";
import { Result } from "true-myth";

/** What a write meets. */
export type WriteFate =
  | "answered"
  /** It takes effect, and its answer is lost. */
  | "lost"
  /** It never arrives, which looks the same. */
  | "not_arrived";

const LOST: StoreError = { kind: "unknown", detail: "lost" };

/** The store. */
export class LosingStore implements Pick<ObjectStore, "get" | "put"> {
  /** What the next writes meet in turn; later ones are answered. */
  fates: WriteFate[] = [];
  /** Values that took effect, in their order. */
  readonly written: string[] = [];
  readonly #objects = new Map<string, StoredObject>();

  get(key: string): ReturnType<ObjectStore["get"]> {
    return Promise.resolve(Result.ok(this.#objects.get(key)));
  }

  put(
    key: string,
    value: string,
    { expected }: Parameters<ObjectStore["put"]>[2],
  ): ReturnType<ObjectStore["put"]> {
    const fate = this.fates.shift() ?? "answered";
    if (fate === "not_arrived") return Promise.resolve(Result.err(LOST));
    const answer = this.#apply({ key, value }, expected);
    return Promise.resolve(fate === "lost" ? Result.err(LOST) : answer);
  }

  #apply(
    { key, value }: Pick<StoredObject, "key" | "value">,
    expected: number | "absent",
  ): Result<StoredObject, StoreError> {
    const current = this.#objects.get(key);
    if ((current?.version ?? "absent") !== expected) {
      return Result.err({
        kind: "conflict",
        ...(current === undefined ? {} : { current }),
      });
    }
    const object = { key, value, version: (current?.version ?? 0) + 1 };
    this.#objects.set(key, object);
    this.written.push(value);
    return Result.ok(object);
  }
}
