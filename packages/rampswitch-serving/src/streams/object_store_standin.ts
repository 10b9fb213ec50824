// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * An object store in memory for tests: conditional changes, and eras.
 *
 * @module
 */
import { Result } from "true-myth";
import {
  type ObjectStore,
  positionOf,
  type StoredObject,
  type StoreError,
} from "rampswitch-store";

const UNAVAILABLE: StoreError = { kind: "unavailable", detail: "down" };

const LOST: StoreError = { kind: "unknown", detail: "lost" };

/** The store. */
export class ObjectStoreStandin implements Pick<
  ObjectStore,
  "era" | "onEra" | "get" | "list" | "put" | "remove"
> {
  era = 1;
  /** Whether calls fail. */
  isDown = false;
  /** Changes that took effect, as `put key` or `remove key`. */
  readonly changes: string[] = [];
  /** Writes take effect once it has resolved. */
  beforePut: () => Promise<void> = () => Promise.resolve();
  /** Number of changes that were asked for. */
  tries = 0;
  /** Number of removals that were asked for. */
  removals = 0;
  /** Whether the answers to removals are lost, which take effect. */
  losesRemovals = false;
  /** Number of lists that were read. */
  lists = 0;
  /** Number of single objects that were read. */
  gets = 0;
  #objects = new Map<string, StoredObject>();
  #revision = 0;
  readonly #listeners: Parameters<ObjectStore["onEra"]>[0][] = [];

  onEra(listener: Parameters<ObjectStore["onEra"]>[0]): void {
    this.#listeners.push(listener);
  }

  /** The value of an object; `undefined` if there is none. */
  value(key: string): string | undefined {
    return this.#objects.get(key)?.value;
  }

  /** Writes an object as another host would. */
  write(key: string, value: string): StoredObject {
    this.#revision += 1;
    const version = positionOf(this.era, this.#revision);
    const object = { key, value, version };
    this.#objects.set(key, object);
    return object;
  }

  /** Comes back from a copy that has none of the objects. */
  comeBackEmpty(): void {
    const from = this.era;
    this.era += 1;
    this.#objects = new Map();
    this.#listeners.forEach((listener) => listener({ from, to: this.era }));
  }

  get(key: string): ReturnType<ObjectStore["get"]> {
    this.gets += 1;
    return this.#reply(() => Result.ok(this.#objects.get(key)));
  }

  list(prefix: string): ReturnType<ObjectStore["list"]> {
    this.lists += 1;
    return this.#reply(() =>
      Result.ok({
        version: positionOf(this.era, this.#revision),
        objects: [...this.#objects.values()].filter(({ key }) =>
          key.startsWith(prefix),
        ),
      }),
    );
  }

  async put(
    key: string,
    value: string,
    { expected }: Parameters<ObjectStore["put"]>[2],
  ): ReturnType<ObjectStore["put"]> {
    this.tries += 1;
    await this.beforePut();
    return this.#reply(() => {
      const current = this.#objects.get(key);
      if ((current?.version ?? "absent") !== expected) {
        return Result.err(conflictWith(current));
      }
      this.changes.push(`put ${key}`);
      return Result.ok(this.write(key, value));
    });
  }

  remove(key: string, version: number): ReturnType<ObjectStore["remove"]> {
    this.removals += 1;
    return this.#reply<void>(() => {
      const removed = this.#remove(key, version);
      return this.losesRemovals ? Result.err(LOST) : removed;
    });
  }

  #remove(key: string, version: number): Result<void, StoreError> {
    const current = this.#objects.get(key);
    if (current?.version !== version) return Result.err(conflictWith(current));
    this.changes.push(`remove ${key}`);
    this.#objects.delete(key);
    return Result.ok(undefined);
  }

  #reply<Value>(
    reply: () => Result<Value, StoreError>,
  ): Promise<Result<Value, StoreError>> {
    return Promise.resolve(this.isDown ? Result.err(UNAVAILABLE) : reply());
  }
}

function conflictWith(current: StoredObject | undefined): StoreError {
  return current === undefined
    ? { kind: "conflict" }
    : { kind: "conflict", current };
}
