// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Stand-in of the store that holds the entries of hosts.
 *
 * @module
 */
import { Result } from "true-myth";
import {
  type ObjectStore,
  type StoredList,
  type StoredObject,
  type StoreError,
} from "rampswitch-store";
import type { RegisteredHost } from "./fleet_hosts.ts";

/** Prefix of the keys of hosts. */
export const HOSTS_PREFIX = "hosts/";

/** Number of versions in each era of the store. */
const VERSIONS_EACH_ERA = 1_000_000;

/** A store of host entries with versions and conditional changes. */
export class HostEntryStore {
  readonly #objects = new Map<string, StoredObject>();
  #version = 0;
  #era = 0;
  readonly #onEra: Parameters<ObjectStore["onEra"]>[0][] = [];
  /** Lists that are still to be answered with this one, as by a stale replica. */
  staleList: StoredList | undefined;
  isReachable = true;
  refusesRemovals = false;
  /** Number of calls that removed or tried to remove an entry. */
  removals = 0;

  /** Names of the hosts with an entry. */
  get names(): readonly string[] {
    return [...this.#objects.keys()].map((key) =>
      key.slice(HOSTS_PREFIX.length),
    );
  }

  /** The current list. */
  get current(): StoredList {
    return { version: this.#version, objects: [...this.#objects.values()] };
  }

  /** Writes the entry of a host. */
  write(
    name: string,
    { address, dataHall, cores }: Omit<RegisteredHost, "name">,
  ) {
    return this.#write(
      `${HOSTS_PREFIX}${name}`,
      JSON.stringify({ address, dataHall, cores }),
    );
  }

  /** Drops an entry, as another host that removes it. */
  drop(name: string): void {
    this.#version += 1;
    this.#objects.delete(`${HOSTS_PREFIX}${name}`);
  }

  /** Restores the store from a copy, in a new era. */
  restore({ objects }: StoredList): void {
    const from = this.#era;
    this.#era += 1;
    this.#version = this.#era * VERSIONS_EACH_ERA;
    this.#objects.clear();
    objects.forEach(({ key, value }) => this.#write(key, value));
    this.#onEra.forEach((listener) => listener({ from, to: this.#era }));
  }

  readonly list: ObjectStore["list"] = () =>
    this.#answer(() => Result.ok(this.staleList ?? this.current));

  readonly put: ObjectStore["put"] = (key, value, { expected }) =>
    this.#answer<StoredObject>(() =>
      this.#matches(key, expected === "absent" ? undefined : expected)
        ? Result.ok(this.#write(key, value))
        : this.#conflict(key),
    );

  readonly remove: ObjectStore["remove"] = (key, version) => {
    this.removals += 1;
    if (this.refusesRemovals) return cutOff();
    return this.#answer<void>(() => {
      if (!this.#matches(key, version)) return this.#conflict(key);
      this.#version += 1;
      this.#objects.delete(key);
      return Result.ok(undefined);
    });
  };

  /** The store as a host reaches it. */
  viewFor(isReachable: () => boolean): ObjectStore {
    return {
      era: this.#era,
      onEra: (listener) => this.#onEra.push(listener),
      list: (prefix) => (isReachable() ? this.list(prefix) : cutOff()),
      put: (key, value, options) =>
        isReachable() ? this.put(key, value, options) : cutOff(),
      remove: (key, version) =>
        isReachable() ? this.remove(key, version) : cutOff(),
      get: unused,
      watch: unused,
    };
  }

  #matches(key: string, version: number | undefined): boolean {
    return this.#objects.get(key)?.version === version;
  }

  #write(key: string, value: string): StoredObject {
    this.#version += 1;
    const object = { key, value, version: this.#version };
    this.#objects.set(key, object);
    return object;
  }

  #conflict<Value>(key: string): Result<Value, StoreError> {
    const current = this.#objects.get(key);
    return Result.err({
      kind: "conflict",
      ...(current === undefined ? {} : { current }),
    });
  }

  #answer<Value>(
    answer: () => Result<Value, StoreError>,
  ): Promise<Result<Value, StoreError>> {
    return this.isReachable ? Promise.resolve(answer()) : cutOff();
  }
}

function cutOff<Value>(): Promise<Result<Value, StoreError>> {
  return Promise.resolve(
    Result.err({ kind: "unavailable", detail: "cut off" }),
  );
}

function unused(): Promise<never> {
  return Promise.reject(new Error("the registry does not call this"));
}
