// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Objects in the platform's store that tell which versions began the streams of services
 * with several versions: one object for each host, written soon after a stream began,
 * as often as the store's rate allows, and removed with the last of them.
 *
 * @module
 */
import {
  changeObject,
  type StoredList,
  type StoredObject,
} from "rampswitch-store";
import type { ArchiveParts } from "./archive_parts.ts";
import { streamName } from "./begun_streams.ts";
import { decodeStreams, encodeStreams } from "./stored_streams.ts";
import type { StreamOrigins } from "./stream_origins.ts";
import type { StreamRecord } from "./stream_reply.ts";
import {
  MAXIMUM_INTERVAL_MILLISECONDS,
  writeIntervalMilliseconds,
} from "./write_interval.ts";

/** What the archive of streams depends on. */
export interface StreamArchiveParts extends ArchiveParts {
  readonly origins: Pick<StreamOrigins, "restoreStreams" | "storable">;
  /** Name of this host. */
  readonly host: string;
  /** Number of hosts that may write to the store; `undefined` while it is unknown. */
  hostCount(): number | undefined;
  /** Writes that the store takes from all hosts together, by second. */
  storeWritesPerSecond(): number;
}

/** Precedes the name of a host in the names of the objects. */
const HOST_PREFIX = "host.";

/** Attempts of one write before the next one is due. */
const WRITE_ATTEMPTS = 2;

/** Time between two writes while no stream begins, in milliseconds. */
const IDLE_INTERVAL_MILLISECONDS = 1_000;

/**
 * Time without a change after which the object of another host is removed, in
 * milliseconds; longer than any stream lasts.
 */
const LEFTOVER_MILLISECONDS = 120_000;

/** What is known of an object of another host. */
interface ForeignObject {
  readonly version: number;
  /** Since when it is unchanged, on the monotonic clock. */
  readonly since: number;
}

/** Restores and stores the versions that began streams. */
export class StreamArchive {
  readonly #parts: StreamArchiveParts;
  /** The object of this host as it was last read or written. */
  #own: StoredObject | undefined;
  /** Names the streams that are certainly in the store. */
  #stored = "";
  /** When this host last looked for changes, on the monotonic clock. */
  #checkedAt = -Infinity;
  /** When the last write began, on the monotonic clock. */
  #wroteAt = -Infinity;
  /** Streams of the last write; `undefined` if it failed. */
  #wroteStreams: number | undefined = 0;
  /** Whether streams began, or became uncertain, since this host last looked. */
  #hasNew = false;
  /** Settles once no write is under way. */
  #writing: Promise<void> = Promise.resolve();
  /** Objects of other hosts by key. */
  readonly #foreign = new Map<string, ForeignObject>();

  constructor(parts: StreamArchiveParts) {
    this.#parts = parts;
    // A copy that the store was restored from may lack what was written before.
    parts.store.onEra(() => {
      this.#own = undefined;
      this.#stored = UNKNOWN_STREAMS;
    });
  }

  /** Whether the store holds objects of other hosts. */
  get hasForeign(): boolean {
    return this.#foreign.size > 0;
  }

  /** Notes the streams in a list of all stored objects. */
  restore({ objects }: StoredList): void {
    const hosts = objects.filter(({ key }) =>
      key.startsWith(`${this.#parts.prefix}${HOST_PREFIX}`),
    );
    const present = new Set(hosts.map(({ key }) => key));
    [...this.#foreign.keys()]
      .filter((key) => !present.has(key))
      .forEach((key) => this.#foreign.delete(key));
    hosts.forEach((object) => {
      if (object.key === this.#ownKey) this.#restoreOwn(object);
      else this.#restoreForeign(object);
    });
  }

  /** Notes that there are new streams to store. */
  noteNew(): void {
    this.#hasNew = true;
  }

  /**
   * Time until {@link store} stores new streams, in milliseconds: 0 if it does so now,
   * `undefined` if there are none.
   */
  get newDueMilliseconds(): number | undefined {
    if (!this.#hasNew) return undefined;
    const sinceWrite = this.#parts.clock.now() - this.#wroteAt;
    return Math.max(0, this.#intervalMilliseconds - sinceWrite);
  }

  /**
   * Stores the streams of this host if they changed: new ones at the interval that the
   * store's rate allows, and otherwise at most once a second.
   */
  async store(): Promise<void> {
    const now = this.#parts.clock.now();
    const newDue = this.newDueMilliseconds;
    const isDue =
      newDue === undefined
        ? now - this.#checkedAt >= IDLE_INTERVAL_MILLISECONDS
        : newDue === 0;
    if (!isDue) return;
    this.#checkedAt = now;
    await this.storeNow();
  }

  /** Stores the streams of this host if they changed, after a write under way. */
  async storeNow(): Promise<void> {
    // Of two writes at once, the older could replace the newer.
    const writing = this.#writing.then(() => this.#storeChanged());
    this.#writing = writing.catch(() => undefined);
    await writing;
  }

  /** Removes the objects that hosts have left behind. */
  async removeLeftovers(): Promise<void> {
    const { clock, store, logger } = this.#parts;
    const now = clock.now();
    const leftovers = [...this.#foreign].filter(
      ([, { since }]) => now - since >= LEFTOVER_MILLISECONDS,
    );
    await leftovers.reduce(async (previous, [key, { version }]) => {
      await previous;
      const removed = await store.remove(key, version);
      if (removed.isOk) this.#foreign.delete(key);
      logger.info("streams of a former host removed", {
        key,
        outcome: removed.isOk ? "removed" : removed.error.kind,
      });
    }, Promise.resolve());
  }

  /** Time from the last write to the next one that stores new streams. */
  get #intervalMilliseconds(): number {
    return this.#wroteStreams === undefined
      ? MAXIMUM_INTERVAL_MILLISECONDS
      : writeIntervalMilliseconds({
          hosts: this.#parts.hostCount(),
          storeWritesPerSecond: this.#parts.storeWritesPerSecond(),
          streams: this.#wroteStreams,
        });
  }

  get #ownKey(): string {
    return `${this.#parts.prefix}${HOST_PREFIX}${this.#parts.host}`;
  }

  #restoreOwn(object: StoredObject): void {
    if (object.version === this.#own?.version) return;
    this.#own = object;
    // What a former process of this host stored is stored again with the rest.
    this.#stored = UNKNOWN_STREAMS;
    this.#restore(object, { isOwn: true });
  }

  #restoreForeign(object: StoredObject): void {
    const { key, version } = object;
    if (this.#foreign.get(key)?.version === version) return;
    this.#foreign.set(key, { version, since: this.#parts.clock.now() });
    this.#restore(object, { isOwn: false });
  }

  #restore(
    { key, value }: StoredObject,
    source: { readonly isOwn: boolean },
  ): void {
    const { origins, logger } = this.#parts;
    const decoded = decodeStreams(value);
    if (decoded.isOk) {
      origins.restoreStreams(decoded.value, source);
      logger.info("stored streams read", {
        key,
        streams: decoded.value.length,
      });
    } else {
      logger.warn("stored streams can't be read", {
        key,
        detail: decoded.error,
      });
    }
  }

  async #storeChanged(): Promise<void> {
    this.#hasNew = false;
    const records = this.#parts.origins.storable;
    const streams = records.map(nameOf).join("\n");
    if (streams === this.#stored) return;
    this.#wroteAt = this.#parts.clock.now();
    const isStored =
      records.length > 0 ? await this.#write(records) : await this.#removeOwn();
    this.#stored = isStored ? streams : UNKNOWN_STREAMS;
    this.#wroteStreams = isStored ? records.length : undefined;
    this.#parts.metrics.event(`streams_${isStored ? "stored" : "not_stored"}`);
  }

  async #write(records: readonly StreamRecord[]): Promise<boolean> {
    const { store } = this.#parts;
    const value = encodeStreams(records);
    const change = await changeObject<undefined>(
      store,
      {
        key: this.#ownKey,
        ...(this.#own === undefined ? {} : { known: this.#own }),
        attempts: WRITE_ATTEMPTS,
        decide: () => ({ kind: "write", value }),
      },
      this.#parts,
    );
    this.#own = change.kind === "written" ? change.object : undefined;
    return change.kind === "written";
  }

  async #removeOwn(): Promise<boolean> {
    if (this.#own === undefined) return true;
    const { store } = this.#parts;
    const { key, version } = this.#own;
    const removed = await store.remove(key, version);
    // A call without a clear answer, or an earlier one, may have removed the object.
    const left = removed.isOk ? removed : await store.get(key);
    if (left.isErr) return false;
    this.#own = left.value ?? undefined;
    return this.#own === undefined;
  }
}

/** Names no streams that a host may have, so that they are stored. */
const UNKNOWN_STREAMS = "unknown";

function nameOf(record: StreamRecord): string {
  return `${streamName(record)} ${record.version ?? ""}`;
}
