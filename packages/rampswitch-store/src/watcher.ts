// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * A watch that resumes after failures and never goes back in time.
 *
 * @module
 */
import {
  type Clock,
  hash32,
  type Random,
  type Repetition,
  repeat,
} from "rampswitch-utils";
import type { ObjectStore, StoredObject, StoreEvent } from "./object_store.ts";
import { storeBackoff } from "./http_object_store.ts";
import { eraOf } from "./store_position.ts";

/** Changes below a prefix, complete between two versions of the store. */
export interface ChangeBatch {
  /** Whoever has followed the store this far misses nothing. */
  readonly after: number;
  /** How far the changes reach. */
  readonly version: number;
  readonly events: readonly StoreEvent[];
}

/** Changes that are kept to be passed on, in milliseconds since they came. */
const CHANGE_RETENTION_MILLISECONDS = 3_000;

/** How often a watch that is suspended looks whether it still is, in ms. */
const SUSPENSION_POLL_MILLISECONDS = 100;

/** Changes found by a list that are passed on; those who miss more list themselves. */
const MAXIMUM_LISTED_CHANGES = 100;

/** Where an object that is told was found. */
export type ObjectOrigin =
  | "change"
  /** In what the store came back with in a new era; it may be of long ago. */
  | "copy";

/** What a list in a new era brought, compared with what was known. */
export interface EraList {
  readonly version: number;
  /** Objects that are new, or other than they were known. */
  readonly changed: number;
  /** Known objects that are not there any more. */
  readonly missing: number;
}

/** What a watch tells its owner. */
export interface WatchListener {
  /** An object changed, at a later position than all that were told before. */
  changed(object: StoredObject, origin: ObjectOrigin): void;
  /** An object was removed. */
  removed(key: string): void;
  /** The store answered: all changes up to now have been told. */
  confirmed(at: number): void;
  /** The store did not answer. */
  failed(): void;
  /** All objects were listed in a new era. */
  listedInEra?(list: EraList): void;
}

/** An object as it was told. */
interface KnownObject {
  readonly version: number;
  /** Digest of its value, to find in a new era what has changed. */
  readonly digest: number;
}

/** Watches all objects below a prefix. */
export class Watcher implements AsyncDisposable {
  readonly #store: ObjectStore;
  readonly #prefix: string;
  readonly #listener: WatchListener;
  readonly #clock: Clock;
  readonly #watchSeconds: () => number | undefined;
  readonly #disposalAbort = new AbortController();
  #callAbort = new AbortController();
  readonly #knownObjects = new Map<string, KnownObject>();
  readonly #repetition: Repetition;
  #version: number | undefined;
  /** Version before history was lost. */
  #versionBeforeRelist: number | undefined;
  #newestChange = 0;
  #requestSentAt = 0;
  #failures = 0;
  #suspended = false;
  #recentBatches: readonly (ChangeBatch & { readonly at: number })[] = [];

  constructor(
    store: ObjectStore,
    prefix: string,
    options: {
      readonly listener: WatchListener;
      readonly clock: Clock;
      readonly random: Random;
      /** Milliseconds to wait after each answer, so that changes coalesce. */
      readonly pause?: () => number;
      /** Longest wait of the next watch call; the store's own where absent. */
      readonly seconds?: () => number | undefined;
      /** Milliseconds to wait after so many failures in a row. */
      readonly backoff?: (failures: number) => number;
    },
  ) {
    this.#store = store;
    this.#prefix = prefix;
    this.#listener = options.listener;
    this.#clock = options.clock;
    this.#watchSeconds = options.seconds ?? (() => undefined);
    const backoff =
      options.backoff ?? ((failures) => storeBackoff(failures, options.random));
    this.#repetition = repeat(
      options.clock,
      () => {
        if (this.#suspended) return SUSPENSION_POLL_MILLISECONDS;
        return this.#failures === 0
          ? (options.pause?.() ?? 0)
          : backoff(this.#failures);
      },
      () => (this.#suspended ? Promise.resolve() : this.#poll()),
    );
    this.#repetition.hurry();
  }

  /** Store version up to which all changes were told; 0 before the first. */
  get version(): number {
    return this.#version ?? 0;
  }

  /** Store version of the newest change that was told. */
  get newestChange(): number {
    return this.#newestChange;
  }

  /** When the call that waits now was sent. */
  get askedAt(): number {
    return this.#requestSentAt;
  }

  /** Whether another host passes the changes on. */
  get suspended(): boolean {
    return this.#suspended;
  }

  /** Asks nothing from now on; another host passes the changes on. */
  suspend(): void {
    if (this.#suspended) return;
    this.#suspended = true;
    this.#callAbort.abort();
  }

  /** Asks the store again. */
  resume(): void {
    this.#suspended = false;
  }

  /** The newest changes, to pass on; `undefined` before the first list. */
  recent(): ChangeBatch | undefined {
    if (this.#version === undefined) return undefined;
    const oldest = this.#clock.now() - CHANGE_RETENTION_MILLISECONDS;
    this.#recentBatches = this.#recentBatches.filter(({ at }) => at >= oldest);
    return {
      after: this.#recentBatches[0]?.after ?? this.#version,
      version: this.#version,
      events: this.#recentBatches.flatMap(({ events }) => events),
    };
  }

  /** Takes in changes that another host passed on; `false`: some are missing. */
  take(batch: ChangeBatch): boolean {
    if (this.#version === undefined || this.#version < batch.after) {
      return false;
    }
    // Whoever is in a former era knows nothing of this one.
    if (eraOf(batch.version) < eraOf(this.#version)) return false;
    if (this.#version >= batch.version) return true;
    this.#apply(batch);
    return true;
  }

  /** Gives up a call that waits and asks anew, when the way there was lost. */
  interrupt(): void {
    this.#callAbort.abort();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#disposalAbort.abort();
    await this.#repetition[Symbol.asyncDispose]();
  }

  async #poll(): Promise<void> {
    const sentAt = this.#clock.now();
    this.#requestSentAt = sentAt;
    const succeeded =
      this.#version === undefined
        ? await this.#relist()
        : await this.#watchOnce(this.#version);
    if (this.#disposalAbort.signal.aborted) return;
    // A call that was given up on purpose tells nothing about the store.
    if (!succeeded && this.#callAbort.signal.aborted) return;
    this.#failures = succeeded ? 0 : this.#failures + 1;
    if (succeeded) this.#listener.confirmed(sentAt);
    else this.#listener.failed();
  }

  async #relist(): Promise<boolean> {
    const list = await this.#store.list(this.#prefix);
    if (list.isErr) return false;
    const { version, objects } = list.value;
    const after = this.#versionBeforeRelist;
    this.#versionBeforeRelist = undefined;
    this.#version = Math.max(this.#version ?? 0, version);
    this.#newestChange = newestVersion(objects, this.#newestChange);
    const present = new Set(objects.map(({ key }) => key));
    const missing = [...this.#knownObjects.keys()].filter(
      (key) => !present.has(key),
    );
    missing.forEach((key) => this.#forget(key));
    const origin = originOf(after, version);
    const changed = objects.filter((object) => this.#report(object, origin));
    this.#retainListedChanges({ after, version, missing, changed });
    if (origin === "copy") {
      this.#listener.listedInEra?.({
        version,
        changed: changed.length,
        missing: missing.length,
      });
    }
    return true;
  }

  /** Keeps what a list found changed, for those who had followed as far. */
  #retainListedChanges({
    after,
    version,
    missing,
    changed,
  }: {
    readonly after: number | undefined;
    readonly version: number;
    readonly missing: readonly string[];
    readonly changed: readonly StoredObject[];
  }): void {
    const isTooMany = missing.length + changed.length > MAXIMUM_LISTED_CHANGES;
    if (after === undefined || isTooMany) {
      this.#recentBatches = [];
      return;
    }
    const events = [...missing.map((key) => ({ key, version })), ...changed];
    this.#recentBatches = [{ after, version, events, at: this.#clock.now() }];
  }

  async #watchOnce(after: number): Promise<boolean> {
    const seconds = this.#watchSeconds();
    this.#callAbort = new AbortController();
    const batch = await this.#store.watch(this.#prefix, after, {
      signal: AbortSignal.any([
        this.#disposalAbort.signal,
        this.#callAbort.signal,
      ]),
      ...(seconds === undefined ? {} : { seconds }),
    });
    if (batch.isErr) {
      if (batch.error.kind !== "compacted") return false;
      // Lost history confirms nothing; only the list that follows does.
      this.#versionBeforeRelist = this.#version ?? this.#versionBeforeRelist;
      this.#version = undefined;
      return this.#relist();
    }
    this.#apply({ after, ...batch.value });
    return true;
  }

  #apply(batch: ChangeBatch): void {
    const { events } = batch;
    const known = this.#version ?? 0;
    const origin = originOf(batch.after, batch.version);
    this.#version = Math.max(known, batch.version);
    this.#newestChange = newestVersion(events, this.#newestChange);
    if (events.length > 0) {
      this.#recentBatches = [
        ...this.#recentBatches,
        { ...batch, at: this.#clock.now() },
      ];
    }
    events.forEach((event) => {
      if (event.value !== undefined) {
        // A change from before may be of an object that was removed since.
        if (event.version > known) {
          this.#report({ ...event, value: event.value }, origin);
        }
      } else if (event.version >= this.#knownVersionOf(event.key)) {
        this.#forget(event.key);
      }
    });
  }

  #knownVersionOf(key: string): number {
    return this.#knownObjects.get(key)?.version ?? Infinity;
  }

  /** Tells of an object that is news; in a new era, positions alone are none. */
  #report(object: StoredObject, origin: ObjectOrigin): boolean {
    const { key, version, value } = object;
    const known = this.#knownObjects.get(key);
    if (known !== undefined && version <= known.version) return false;
    const digest = digestOf(value);
    this.#knownObjects.set(key, { version, digest });
    if (origin === "copy" && known?.digest === digest) return false;
    this.#listener.changed(object, origin);
    return true;
  }

  #forget(key: string): void {
    this.#knownObjects.delete(key);
    this.#listener.removed(key);
  }
}

function originOf(after: number | undefined, version: number): ObjectOrigin {
  return after !== undefined && eraOf(after) < eraOf(version)
    ? "copy"
    : "change";
}

/** Two hashes as one number, so that no two values of an object are taken for one. */
function digestOf(value: string): number {
  return (
    hash32(value) * DIGEST_LOWER_VALUES +
    (hash32(value, 1) % DIGEST_LOWER_VALUES)
  );
}

/** Values of the lower part of a digest; all of it is an exact number. */
const DIGEST_LOWER_VALUES = 2 ** 20;

function newestVersion(
  changes: readonly { readonly version: number }[],
  known: number,
): number {
  return changes.reduce(
    (newest, { version }) => Math.max(newest, version),
    known,
  );
}
