// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * A watch that resumes after failures and reports changes in order: never one at an
 * earlier position of the store's history than an object's last one.
 *
 * @module
 */
import {
  type Clock,
  hash32,
  type Random,
  type Repetition,
  type ReportFailure,
  repeat,
} from "rampswitch-utils";
import type { ObjectStore, StoredObject, StoreEvent } from "./object_store.ts";
import { storeBackoff } from "./http_object_store.ts";
import { eraOf } from "./store_position.ts";

/** All changes under a prefix between two versions of the store. */
export interface ChangeBatch {
  /** Store version after which the changes begin; a watch that reached it misses none. */
  readonly after: number;
  /** Store version up to which the changes are complete. */
  readonly version: number;
  readonly events: readonly StoreEvent[];
  /**
   * Version of the newest list among the changes before which objects may have come and
   * gone unseen; absent if there is none.
   */
  readonly listedVersion?: number;
}

/** How long received changes are retained to be relayed, in milliseconds. */
const CHANGE_RETENTION_MILLISECONDS = 3_000;

/**
 * Maximum pause of a suspended watch, in milliseconds. Its end resumes nothing; it only
 * bounds the timer, and {@link Watcher.resume} ends the pause at once.
 */
const MAXIMUM_SUSPENSION_PAUSE_MILLISECONDS = 60_000;

/**
 * Maximum number of changes found by a list that are relayed. With more changes, the
 * other hosts list the objects themselves.
 */
const MAXIMUM_LISTED_CHANGES = 100;

/** Maximum length of a key in a report, in characters. */
const MAXIMUM_KEY_CHARACTERS = 80;

/** How a reported object was found. */
export type ObjectOrigin =
  /** By a change of the object. */
  | "change"
  /** In the copy that the store was restored from; the object may be old. */
  | "copy";

/** Result of a list after a lost history, compared with the objects known before. */
export interface AnewList {
  /** Version up to which the changes had been reported. */
  readonly after: number;
  readonly version: number;
  /** `copy` in a new era of the store. */
  readonly origin: ObjectOrigin;
  /**
   * Whether objects may have come and gone unseen: a call got no answer since the last
   * one that did. A call that waits is answered with each change until its history ends.
   */
  readonly mayHaveMissed: boolean;
  /** Number of objects that are new or differ from the known ones. */
  readonly changed: number;
  /** Number of known objects that no longer exist. */
  readonly missing: number;
}

/** Callbacks of a watch. */
export interface WatchListener {
  /** An object changed, at a later position than its last reported change. */
  changed(object: StoredObject, origin: ObjectOrigin): void;
  /** An object was removed. */
  removed(key: string): void;
  /** The store answered: all changes up to the time `at` have been reported. */
  confirmed(at: number): void;
  /** A call to the store failed. */
  failed(): void;
  /** All objects were listed after the history was lost. */
  listedAnew?(list: AnewList): void;
}

/** An object as it was last reported. */
interface KnownObject {
  readonly version: number;
  /** Digest of its value, to detect changes in a new era. */
  readonly digest: number;
}

/** Watches all objects under a prefix. */
export class Watcher implements AsyncDisposable {
  readonly #store: ObjectStore;
  readonly #prefix: string;
  readonly #listener: WatchListener;
  readonly #clock: Clock;
  readonly #reportFailure: ReportFailure;
  readonly #watchSeconds: () => number | undefined;
  readonly #disposalAbort = new AbortController();
  #callAbort = new AbortController();
  readonly #knownObjects = new Map<string, KnownObject>();
  readonly #repetition: Repetition;
  #version: number | undefined;
  /** Version before the store's history was lost; absent if it was not. */
  #versionBeforeRelist: number | undefined;
  #newestChange = 0;
  #requestSentAt = 0;
  #confirmedAt = -Infinity;
  #failures = 0;
  /** Whether a call got no answer since the last one that did. */
  #hasUnanswered = false;
  #suspended = false;
  #recentBatches: readonly (ChangeBatch & { readonly at: number })[] = [];

  constructor(
    store: ObjectStore,
    prefix: string,
    options: {
      readonly listener: WatchListener;
      readonly clock: Clock;
      readonly random: Random;
      readonly reportFailure: ReportFailure;
      /** Delay after each answer in milliseconds, so that changes are batched. */
      readonly pause?: () => number;
      /** Maximum wait of the next watch call in seconds; the store's default if absent. */
      readonly seconds?: () => number | undefined;
      /** Delay in milliseconds after a number of consecutive failures. */
      readonly backoff?: (failures: number) => number;
    },
  ) {
    this.#store = store;
    this.#prefix = prefix;
    this.#listener = options.listener;
    this.#clock = options.clock;
    this.#reportFailure = options.reportFailure;
    this.#watchSeconds = options.seconds ?? (() => undefined);
    const backoff =
      options.backoff ?? ((failures) => storeBackoff(failures, options.random));
    this.#repetition = repeat(
      options.clock,
      () => {
        if (this.#suspended) return MAXIMUM_SUSPENSION_PAUSE_MILLISECONDS;
        return this.#failures === 0
          ? (options.pause?.() ?? 0)
          : backoff(this.#failures);
      },
      {
        name: `watch of ${prefix}`,
        reportFailure: options.reportFailure,
        run: () => (this.#suspended ? Promise.resolve() : this.#poll()),
      },
    );
    this.#repetition.runNow();
  }

  /** Store version up to which all changes were reported; 0 before the first list. */
  get version(): number {
    return this.#version ?? 0;
  }

  /** Store version of the latest change that was reported. */
  get newestChange(): number {
    return this.#newestChange;
  }

  /** Time at which the latest call was sent. */
  get requestSentAt(): number {
    return this.#requestSentAt;
  }

  /** Latest time up to which all changes certainly were reported; by this host's calls. */
  get confirmedAt(): number {
    return this.#confirmedAt;
  }

  /** Whether the watch is suspended because another host relays the changes. */
  get suspended(): boolean {
    return this.#suspended;
  }

  /** Stops calling the store, because another host relays the changes. */
  suspend(): void {
    if (this.#suspended) return;
    this.#suspended = true;
    this.#callAbort.abort();
  }

  /** Starts calling the store again, at once. */
  resume(): void {
    if (!this.#suspended) return;
    this.#suspended = false;
    this.#repetition.runNow();
  }

  /** Returns the recent changes, to be relayed; `undefined` before the first list. */
  recentChanges(): ChangeBatch | undefined {
    if (this.#version === undefined) return undefined;
    const oldest = this.#clock.now() - CHANGE_RETENTION_MILLISECONDS;
    this.#recentBatches = this.#recentBatches.filter(({ at }) => at >= oldest);
    return {
      after: this.#recentBatches[0]?.after ?? this.#version,
      version: this.#version,
      events: this.#recentBatches.flatMap(({ events }) => events),
      ...newestList(this.#recentBatches),
    };
  }

  /** Applies changes relayed by another host; returns `false` if earlier ones are missing. */
  applyRelayed(batch: ChangeBatch): boolean {
    if (this.#version === undefined || this.#version < batch.after) {
      return false;
    }
    // A host that is still in an earlier era does not know the changes of this one.
    if (eraOf(batch.version) < eraOf(this.#version)) return false;
    if (this.#version >= batch.version) return true;
    const known = this.#version;
    this.#hasUnanswered = false;
    this.#apply(batch);
    if (known < (batch.listedVersion ?? 0))
      this.#reportRelayedList(known, batch);
    return true;
  }

  /**
   * Reports all changes that the store has now, without waiting for the pending call;
   * resolves to whether the store answered.
   */
  async confirm(): Promise<boolean> {
    const after = this.#version;
    if (after === undefined) return false;
    const { signal } = this.#disposalAbort;
    const sentAt = this.#clock.now();
    const batch = await this.#store.watch(this.#prefix, after, {
      signal,
      seconds: 0,
    });
    if (batch.isErr) {
      // A call that is still pending from before would be told only at its end.
      const isPendingSince = this.#requestSentAt < sentAt;
      if (batch.error.kind === "compacted" && isPendingSince) this.interrupt();
      return false;
    }
    this.#hasUnanswered = false;
    this.#apply({ after, ...batch.value });
    this.#confirmedAt = Math.max(this.#confirmedAt, sentAt);
    return true;
  }

  /** Aborts a pending call and sends a new one, after its connection was lost. */
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
    this.#hasUnanswered = !succeeded;
    // A call that this watch aborted itself is neither a success nor a failure.
    if (!succeeded && this.#callAbort.signal.aborted) return;
    this.#failures = succeeded ? 0 : this.#failures + 1;
    if (!succeeded) {
      this.#listener.failed();
      return;
    }
    this.#confirmedAt = Math.max(this.#confirmedAt, sentAt);
    this.#listener.confirmed(sentAt);
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
    if (after !== undefined) {
      this.#listener.listedAnew?.({
        after,
        version,
        origin,
        mayHaveMissed: this.#hasUnanswered,
        changed: changed.length,
        missing: missing.length,
      });
    }
    return true;
  }

  /** Retains the changes that a list found, for hosts at the same former version. */
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
    const at = this.#clock.now();
    const listed = this.#hasUnanswered ? { listedVersion: version } : {};
    this.#recentBatches = [{ after, version, events, ...listed, at }];
  }

  /** Reports that changes are missing before a list that another host relayed. */
  #reportRelayedList(after: number, { version, events }: ChangeBatch): void {
    const removed = events.filter(({ value }) => value === undefined);
    this.#listener.listedAnew?.({
      after,
      version,
      origin: originOf(after, version),
      mayHaveMissed: true,
      changed: events.length - removed.length,
      missing: removed.length,
    });
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
      // A lost history confirms no state; only the list that follows does.
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
    if (events.length > 0 && batch.version > known) {
      this.#recentBatches = [
        ...this.#recentBatches,
        { ...batchSince(known, batch), at: this.#clock.now() },
      ];
    }
    events.forEach((event) => {
      if (event.value !== undefined) {
        // An earlier change may concern an object that was removed since.
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

  /**
   * Reports an object if it changed; returns whether it was reported. In a new era all
   * positions are later, so an object counts as changed only if its value differs.
   */
  #report(object: StoredObject, origin: ObjectOrigin): boolean {
    const { key, version, value } = object;
    const known = this.#knownObjects.get(key);
    if (known !== undefined && version <= known.version) return false;
    const digest = digestOf(value);
    this.#knownObjects.set(key, { version, digest });
    if (origin === "copy" && known?.digest === digest) return false;
    this.#notify(key, () => this.#listener.changed(object, origin));
    return true;
  }

  #forget(key: string): void {
    this.#knownObjects.delete(key);
    this.#notify(key, () => this.#listener.removed(key));
  }

  /** Notifies the listener; its failure with one object must not lose the others. */
  #notify(key: string, notify: () => void): void {
    try {
      notify();
    } catch (error) {
      this.#reportFailure(
        `change of ${key.slice(0, MAXIMUM_KEY_CHARACTERS)}`,
        error,
      );
    }
  }
}

/** The part of a batch that an overlapping one up to a version did not have. */
function batchSince(known: number, batch: ChangeBatch): ChangeBatch {
  return {
    ...batch,
    after: Math.max(batch.after, known),
    // A removal may have the position of the object's last change.
    events: batch.events.filter(
      ({ value, version }) => value === undefined || version > known,
    ),
  };
}

/** The version of the newest list among batches, if there is one. */
function newestList(
  batches: readonly ChangeBatch[],
): Pick<ChangeBatch, "listedVersion"> {
  const listedVersion = Math.max(
    ...batches.map(({ listedVersion = 0 }) => listedVersion),
  );
  return listedVersion > 0 ? { listedVersion } : {};
}

function originOf(after: number | undefined, version: number): ObjectOrigin {
  return after !== undefined && eraOf(after) < eraOf(version)
    ? "copy"
    : "change";
}

/** Combines two hashes in one number, to make a collision of two values unlikely. */
function digestOf(value: string): number {
  return (
    hash32(value) * DIGEST_LOWER_VALUES +
    (hash32(value, 1) % DIGEST_LOWER_VALUES)
  );
}

/** Number of values of a digest's lower part; the whole digest is an exact integer. */
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
