// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The store's list of hosts: this host's entry in it, and readings of it.
 *
 * @module
 */
import {
  type Clock,
  isAddress,
  jitter,
  type Logger,
  parseJson,
  type Random,
  repeat,
  type Repetition,
} from "rampswitch-utils";
import type { ObjectStore } from "rampswitch-store";
import * as z from "zod";
import type { ServingMetrics } from "../observation/mod.ts";
import type { ListedHost } from "./fleet_hosts.ts";

/** Time between readings of the list of hosts, in milliseconds. */
const LIST_MILLISECONDS = 15_000;

/**
 * Time from the first reading to the second, in milliseconds; doubled each
 * time. Hosts that start together do not find each other in the first list.
 */
const FIRST_LIST_MILLISECONDS = 400;

/** Time before the list is read again after a failure, in milliseconds. */
const LIST_RETRY_MILLISECONDS = 700;

const HOST_SCHEMA = z.object({
  // A datagram to anything else would throw.
  address: z.string().refine(isAddress),
  dataHall: z.string().min(1),
  cores: z.number().positive(),
});

type HostEntry = z.output<typeof HOST_SCHEMA>;

/** What the registry works with. */
export interface HostRegistryParts {
  readonly store: ObjectStore;
  /** Prefix of the keys of hosts in the store. */
  readonly hostsPrefix: string;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly metrics: ServingMetrics;
}

/** This host's entry in the store, and the entries of all. */
export class HostRegistry implements AsyncDisposable {
  readonly #parts: HostRegistryParts;
  readonly #self: ListedHost;
  readonly #onListed: (hosts: readonly ListedHost[]) => void;
  readonly #repetition: Repetition;
  #registered = false;
  /** Readings of the list that found this host in it. */
  #readings = 0;
  #unreadable = 0;

  constructor(
    self: ListedHost,
    parts: HostRegistryParts,
    onListed: (hosts: readonly ListedHost[]) => void,
  ) {
    this.#self = self;
    this.#parts = parts;
    this.#onListed = onListed;
    this.#repetition = repeat(
      parts.clock,
      () => jitter(parts.random, this.#wait()),
      () => this.#read(),
    );
    this.#repetition.hurry();
    parts.store.onEra(() => this.#lookAgain());
  }

  /** Whether a list was read that this host stands in. */
  get settled(): boolean {
    return this.#readings > 0;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#repetition[Symbol.asyncDispose]();
  }

  /** The copy that the store came back from may lack this host's entry. */
  #lookAgain(): void {
    this.#registered = false;
    this.#repetition.hurry();
  }

  #wait(): number {
    return this.#registered
      ? Math.min(
          LIST_MILLISECONDS,
          FIRST_LIST_MILLISECONDS * 2 ** this.#readings,
        )
      : LIST_RETRY_MILLISECONDS;
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
    this.#tellUnreadable(
      entries.filter(({ entry }) => entry === undefined).length,
    );
    this.#onListed(
      entries.flatMap(({ name, entry }) =>
        entry === undefined ? [] : [{ name, ...entry }],
      ),
    );
    const found = own?.entry?.address === this.#self.address;
    // A list may be older than the entry; one that is spoilt is never right.
    const spoilt = own !== undefined && own.entry === undefined;
    if (found || (this.#registered && !spoilt)) {
      this.#registered = true;
      this.#readings += 1;
      return;
    }
    await this.#register(own?.version);
  }

  /** Tells of entries that are passed over, once for each change of their number. */
  #tellUnreadable(count: number): void {
    const { logger, metrics } = this.#parts;
    metrics.gauge("hosts_unreadable", count);
    if (count !== this.#unreadable && count > 0) {
      logger.warn("entries of hosts can't be read", { count });
    }
    this.#unreadable = count;
  }

  /** Writes this host's entry; the list that was read may have been stale. */
  async #register(listedVersion: number | undefined): Promise<void> {
    const { logger } = this.#parts;
    const first = await this.#put(listedVersion);
    const stale =
      first.isErr && first.error.kind === "conflict"
        ? first.error.current
        : undefined;
    const put = stale === undefined ? first : await this.#put(stale.version);
    this.#registered = put.isOk;
    if (put.isErr) {
      logger.debug("host not registered", { detail: put.error.kind });
    }
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
  const parsed = parseJson(value);
  if (parsed.isErr) return undefined;
  const checked = HOST_SCHEMA.safeParse(parsed.value);
  return checked.success ? checked.data : undefined;
}
