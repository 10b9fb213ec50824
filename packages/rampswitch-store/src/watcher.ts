// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * A watch that resumes after failures and never goes back in time.
 *
 * @module
 */
import {
  type Clock,
  type Random,
  type Repetition,
  repeat,
} from "rampswitch-utils";
import type { ObjectStore, StoredObject, StoreEvent } from "./object_store.ts";
import { storeBackoff } from "./http_object_store.ts";

/** Changes below a prefix, complete between two versions of the store. */
export interface ChangeBatch {
  /** Whoever has followed the store this far misses nothing. */
  readonly after: number;
  /** How far the changes reach. */
  readonly version: number;
  readonly events: readonly StoreEvent[];
}

/** Changes that are kept to be passed on, in milliseconds since they came. */
const KEPT_CHANGES_MILLISECONDS = 3_000;

/** How often a watch that is suspended looks whether it still is, in ms. */
const SUSPENDED_MILLISECONDS = 100;

/** What a watch tells its owner. */
export interface WatchListener {
  /** An object changed to a version above all that were told before. */
  changed(object: StoredObject): void;
  /** An object was removed. */
  removed(key: string): void;
  /** The store answered: all changes up to now have been told. */
  confirmed(at: number): void;
  /** The store did not answer. */
  failed(): void;
}

/** Watches all objects below a prefix. */
export class Watcher implements AsyncDisposable {
  readonly #store: ObjectStore;
  readonly #prefix: string;
  readonly #listener: WatchListener;
  readonly #clock: Clock;
  readonly #seconds: () => number | undefined;
  readonly #abort = new AbortController();
  #waiting = new AbortController();
  readonly #versions = new Map<string, number>();
  readonly #repetition: Repetition;
  #version: number | undefined;
  #newestChange = 0;
  #askedAt = 0;
  #failures = 0;
  #suspended = false;
  #kept: readonly (ChangeBatch & { readonly at: number })[] = [];

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
    this.#seconds = options.seconds ?? (() => undefined);
    const backoff =
      options.backoff ?? ((failures) => storeBackoff(failures, options.random));
    this.#repetition = repeat(
      options.clock,
      () => {
        if (this.#suspended) return SUSPENDED_MILLISECONDS;
        return this.#failures === 0
          ? (options.pause?.() ?? 0)
          : backoff(this.#failures);
      },
      () => (this.#suspended ? Promise.resolve() : this.#round()),
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
    return this.#askedAt;
  }

  /** Whether another host passes the changes on. */
  get suspended(): boolean {
    return this.#suspended;
  }

  /** Asks nothing from now on; another host passes the changes on. */
  suspend(): void {
    if (this.#suspended) return;
    this.#suspended = true;
    this.#waiting.abort();
  }

  /** Asks the store again. */
  resume(): void {
    this.#suspended = false;
  }

  /** The newest changes, to pass on; `undefined` before the first list. */
  recent(): ChangeBatch | undefined {
    if (this.#version === undefined) return undefined;
    const oldest = this.#clock.now() - KEPT_CHANGES_MILLISECONDS;
    this.#kept = this.#kept.filter(({ at }) => at >= oldest);
    return {
      after: this.#kept[0]?.after ?? this.#version,
      version: this.#version,
      events: this.#kept.flatMap(({ events }) => events),
    };
  }

  /** Takes in changes that another host passed on; `false`: some are missing. */
  take(batch: ChangeBatch): boolean {
    if (this.#version === undefined || this.#version < batch.after) {
      return false;
    }
    if (this.#version >= batch.version) return true;
    this.#apply(batch);
    return true;
  }

  /** Gives up a call that waits and asks anew, when the way there was lost. */
  interrupt(): void {
    this.#waiting.abort();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#abort.abort();
    await this.#repetition[Symbol.asyncDispose]();
  }

  async #round(): Promise<void> {
    const asked = this.#clock.now();
    this.#askedAt = asked;
    const done =
      this.#version === undefined
        ? await this.#relist()
        : await this.#wait(this.#version);
    if (this.#abort.signal.aborted) return;
    // A call that was given up on purpose tells nothing about the store.
    if (!done && this.#waiting.signal.aborted) return;
    this.#failures = done ? 0 : this.#failures + 1;
    if (done) this.#listener.confirmed(asked);
    else this.#listener.failed();
  }

  async #relist(): Promise<boolean> {
    const list = await this.#store.list(this.#prefix);
    if (list.isErr) return false;
    this.#version = Math.max(this.#version ?? 0, list.value.version);
    this.#kept = [];
    this.#newestChange = newestOf(list.value.objects, this.#newestChange);
    const present = new Set(list.value.objects.map((object) => object.key));
    [...this.#versions.keys()]
      .filter((key) => !present.has(key))
      .forEach((key) => this.#forget(key));
    list.value.objects.forEach((object) => this.#tell(object));
    return true;
  }

  async #wait(after: number): Promise<boolean> {
    const seconds = this.#seconds();
    this.#waiting = new AbortController();
    const batch = await this.#store.watch(this.#prefix, after, {
      signal: AbortSignal.any([this.#abort.signal, this.#waiting.signal]),
      ...(seconds === undefined ? {} : { seconds }),
    });
    if (batch.isErr) {
      if (batch.error.kind !== "compacted") return false;
      // Lost history confirms nothing; only the list that follows does.
      this.#version = undefined;
      return this.#relist();
    }
    this.#apply({ after, ...batch.value });
    return true;
  }

  #apply(batch: ChangeBatch): void {
    const { events } = batch;
    const known = this.#version ?? 0;
    this.#version = Math.max(known, batch.version);
    this.#newestChange = newestOf(events, this.#newestChange);
    if (events.length > 0) {
      this.#kept = [...this.#kept, { ...batch, at: this.#clock.now() }];
    }
    events.forEach((event) => {
      if (event.value !== undefined) {
        // A change from before may be of an object that was removed since.
        if (event.version > known) this.#tell({ ...event, value: event.value });
      } else if (event.version >= (this.#versions.get(event.key) ?? Infinity)) {
        this.#forget(event.key);
      }
    });
  }

  #tell(object: StoredObject): void {
    const known = this.#versions.get(object.key) ?? 0;
    if (object.version <= known) return;
    this.#versions.set(object.key, object.version);
    this.#listener.changed(object);
  }

  #forget(key: string): void {
    this.#versions.delete(key);
    this.#listener.removed(key);
  }
}

function newestOf(
  changes: readonly { readonly version: number }[],
  known: number,
): number {
  return changes.reduce(
    (newest, { version }) => Math.max(newest, version),
    known,
  );
}
