// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The list of hosts in the store: registers this host and reads the list.
 *
 * @module
 */
import {
  failureReporter,
  isAddress,
  jitter,
  type Random,
  repeat,
  type Repetition,
} from "rampswitch-utils";
import type { ObjectStore, StoredObject } from "rampswitch-store";
import * as z from "zod";
import { decodeJson } from "rampswitch-validation";
import type { ListedHost, RegisteredHost } from "./fleet_hosts.ts";
import { GoneEntries, type GoneEntriesParts } from "./gone_entries.ts";

/** Time between reads of the list of hosts, in milliseconds. */
const LIST_INTERVAL_MILLISECONDS = 15_000;

/**
 * Time from the first read to the second, in milliseconds; it doubles with each
 * read. Hosts that start together do not find each other in the first list.
 */
const FIRST_LIST_INTERVAL_MILLISECONDS = 400;

/** Time between reads until this host is registered, in milliseconds. */
const LIST_RETRY_INTERVAL_MILLISECONDS = 700;

const HOST_SCHEMA = z.object({
  // Sending a datagram to anything else would throw.
  address: z.string().refine(isAddress),
  dataHall: z.string().min(1),
  cores: z.number().positive(),
});

type HostEntry = z.output<typeof HOST_SCHEMA>;

/** Dependencies of the registry. */
export interface HostRegistryParts extends GoneEntriesParts {
  readonly store: Pick<ObjectStore, "list" | "put" | "remove" | "onEra">;
  readonly random: Random;
}

/** Callbacks of the registry to its owner. */
export interface HostRegistryListener {
  /** Handles a read of the list. */
  onListed(hosts: readonly ListedHost[]): void;
  /** Whether a host has been silent for so long that its entry may be removed. */
  isGone(name: string): boolean;
}

/** Keeps this host's entry in the store and reads the entries of all hosts. */
export class HostRegistry implements AsyncDisposable {
  readonly #parts: HostRegistryParts;
  readonly #self: RegisteredHost;
  readonly #listener: HostRegistryListener;
  readonly #goneEntries: GoneEntries;
  readonly #repetition: Repetition;
  #registered = false;
  /** Store version of this host's entry as it was last read or written. */
  #ownVersion = -Infinity;
  /** Reads of the list while this host was registered. */
  #registeredReads = 0;
  #unreadable = 0;

  constructor(
    self: RegisteredHost,
    parts: HostRegistryParts,
    listener: HostRegistryListener,
  ) {
    this.#self = self;
    this.#parts = parts;
    this.#listener = listener;
    this.#goneEntries = new GoneEntries(parts, (name) => listener.isGone(name));
    this.#repetition = repeat(
      parts.clock,
      () => jitter(parts.random, this.#interval()),
      {
        name: "list of hosts",
        reportFailure: failureReporter(parts),
        run: () => this.#read(),
      },
    );
    this.#repetition.runNow();
    parts.store.onEra(() => this.#registerAgain());
  }

  /** Whether the list was read while this host was registered. */
  get settled(): boolean {
    return this.#registeredReads > 0;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#repetition[Symbol.asyncDispose]();
  }

  /** Registers again: a store restored from a copy may lack this host's entry. */
  #registerAgain(): void {
    this.#registered = false;
    this.#repetition.runNow();
  }

  #interval(): number {
    return this.#registered
      ? Math.min(
          LIST_INTERVAL_MILLISECONDS,
          FIRST_LIST_INTERVAL_MILLISECONDS * 2 ** this.#registeredReads,
        )
      : LIST_RETRY_INTERVAL_MILLISECONDS;
  }

  async #read(): Promise<void> {
    const { store, hostsPrefix, metrics } = this.#parts;
    const listed = await store.list(hostsPrefix, { mayBeStale: true });
    if (listed.isErr) {
      metrics.event("host_list_failed");
      return;
    }
    const entries = listed.value.objects.map((object) => ({
      name: object.key.slice(hostsPrefix.length),
      version: object.version,
      entry: entryOf(object.value),
    }));
    const own = entries.find(({ name }) => name === this.#self.name);
    this.#reportUnreadable(
      entries.filter(({ entry }) => entry === undefined).length,
    );
    const hosts = entries.flatMap(({ name, version, entry }) =>
      entry === undefined ? [] : [{ name, version, ...entry }],
    );
    this.#listener.onListed(hosts);
    const found = own !== undefined && this.#isOwn(own.entry);
    if (found) this.#setRegistered(own);
    // A list may be older than this host's entry, so an entry that is missing in it is
    // accepted once it was registered. A malformed one is always replaced.
    const malformed = own !== undefined && own.entry === undefined;
    const removed =
      own === undefined && listed.value.version >= this.#ownVersion;
    if (found || (this.#registered && !malformed && !removed)) {
      this.#registeredReads += 1;
    } else await this.#register(own?.version);
    await this.#goneEntries.remove(hosts);
  }

  /** Reports the number of ignored entries, and logs it when it changes. */
  #reportUnreadable(count: number): void {
    const { logger, metrics } = this.#parts;
    metrics.gauge("hosts_unreadable", count);
    if (count !== this.#unreadable && count > 0) {
      logger.warn("entries of hosts can't be read", { count });
    }
    this.#unreadable = count;
  }

  /** Writes this host's entry; retries once, as the list may have been stale. */
  async #register(listedVersion: number | undefined): Promise<void> {
    const { logger } = this.#parts;
    const first = await this.#put(listedVersion);
    const stale =
      first.isErr && first.error.kind === "conflict"
        ? first.error.current
        : undefined;
    if (stale !== undefined && this.#isOwn(entryOf(stale.value))) {
      this.#setRegistered(stale);
      return;
    }
    const put = stale === undefined ? first : await this.#put(stale.version);
    if (put.isOk) this.#setRegistered(put.value);
    else {
      this.#registered = false;
      logger.debug("host not registered", { detail: put.error.kind });
    }
  }

  #isOwn(entry: HostEntry | undefined): boolean {
    return entry?.address === this.#self.address;
  }

  #setRegistered({ version }: Pick<StoredObject, "version">): void {
    this.#registered = true;
    this.#ownVersion = version;
  }

  #put(version: number | undefined): ReturnType<ObjectStore["put"]> {
    const { store, hostsPrefix } = this.#parts;
    const { name, address, dataHall, cores } = this.#self;
    const entry: HostEntry = { address, dataHall, cores };
    return store.put(`${hostsPrefix}${name}`, JSON.stringify(entry), {
      expected: version ?? "absent",
    });
  }
}

function entryOf(value: string): HostEntry | undefined {
  return decodeJson(HOST_SCHEMA, value, "host").unwrapOr(undefined);
}
