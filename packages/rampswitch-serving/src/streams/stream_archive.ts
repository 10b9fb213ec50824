// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Objects in the platform's store that tell which versions began the streams of services
 * with several versions: one object for each host, written at most once a second while
 * its streams change, and removed with the last of them.
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

/** What the archive of streams depends on. */
export interface StreamArchiveParts extends ArchiveParts {
  readonly origins: Pick<StreamOrigins, "restoreStreams" | "storable">;
  /** Name of this host. */
  readonly host: string;
}

/** Precedes the name of a host in the names of the objects. */
const HOST_PREFIX = "host.";

/** Attempts of one write before the next one is due. */
const WRITE_ATTEMPTS = 2;

/** Time between two writes, in milliseconds. */
const WRITE_INTERVAL_MILLISECONDS = 1_000;

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

  /** Stores the streams of this host if they changed, at most once a second. */
  async store(): Promise<void> {
    const now = this.#parts.clock.now();
    if (now - this.#checkedAt < WRITE_INTERVAL_MILLISECONDS) return;
    this.#checkedAt = now;
    await this.storeNow();
  }

  /** Stores the streams of this host if they changed. */
  async storeNow(): Promise<void> {
    const records = this.#parts.origins.storable;
    const streams = records.map(nameOf).join("\n");
    if (streams === this.#stored) return;
    const isStored =
      records.length > 0 ? await this.#write(records) : await this.#removeOwn();
    this.#stored = isStored ? streams : UNKNOWN_STREAMS;
    this.#parts.metrics.event(`streams_${isStored ? "stored" : "not_stored"}`);
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
    const { key, version } = this.#own;
    const removed = await this.#parts.store.remove(key, version);
    if (removed.isOk) this.#own = undefined;
    return removed.isOk;
  }
}

/** Names no streams that a host may have, so that they are stored. */
const UNKNOWN_STREAMS = "unknown";

function nameOf(record: StreamRecord): string {
  return `${streamName(record)} ${record.version ?? ""}`;
}
