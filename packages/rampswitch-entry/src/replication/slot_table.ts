// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The slot table in the platform's store, split into objects (shards) of
 * {@link SLOTS_PER_OBJECT} slots each. Proposals for the same object that arrive
 * within a short time are written together.
 *
 * @module
 */
import type { Proposal, SlotEntry } from "rampswitch-protocol";
import {
  type ObjectStore,
  storeBackoff,
  type StoredObject,
  Watcher,
} from "rampswitch-store";
import {
  type Clock,
  failureReporter,
  type Logger,
  type Metrics,
  Ownership,
  type Random,
  runInBackground,
  sleep,
} from "rampswitch-utils";

/** Key prefix of the table's objects. */
export const SLOT_PREFIX = "slots/";

/** Number of slots in one object. */
export const SLOTS_PER_OBJECT = 16;

const COALESCE_DELAY_MILLISECONDS = 20;
const MAXIMUM_ROUNDS = 1_000;

interface Shard {
  readonly object: StoredObject | undefined;
  readonly entries: ReadonlyMap<number, SlotEntry>;
}

const NO_SHARD: Shard = { object: undefined, entries: new Map() };

/** Callbacks from the table to its owner. */
export interface SlotTableListener {
  /** An entry was read; it may be unchanged. */
  observed(slot: number, entry: SlotEntry): void;
}

/** Options of {@link SlotTable}. */
export interface SlotTableOptions {
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly random: Random;
  readonly metrics: Metrics;
  readonly logger: Logger;
  readonly slots: number;
  readonly listener: SlotTableListener;
  /** Pause between two answers of the watch, in milliseconds. */
  readonly watchPause: () => number;
}

/** The slot table as one host reads and writes it. */
export class SlotTable implements AsyncDisposable {
  readonly #options: SlotTableOptions;
  readonly #owned = new Ownership();
  readonly #shards = new Map<number, Shard>();
  readonly #proposals = new Map<number, readonly Proposal[]>();
  readonly #settlingShards = new Set<number>();
  #closed = false;
  #listed = false;

  constructor(options: SlotTableOptions) {
    this.#options = options;
  }

  /** Whether the whole table was read at least once. */
  get listed(): boolean {
    return this.#listed;
  }

  /** Numbers of the table's objects. */
  get shardNumbers(): readonly number[] {
    const count = Math.ceil(this.#options.slots / SLOTS_PER_OBJECT);
    return Array.from({ length: count }, (_, shard) => shard);
  }

  /** Whether an object of the table is known to exist. */
  exists(shard: number): boolean {
    return this.#shards.get(shard)?.object !== undefined;
  }

  /** Starts to watch the table. */
  start(): void {
    const { store, clock, random, watchPause, logger } = this.#options;
    this.#owned.own(
      new Watcher(store, SLOT_PREFIX, {
        clock,
        random,
        reportFailure: failureReporter({ logger }),
        pause: watchPause,
        listener: {
          changed: (object) => this.#observe(object),
          removed: () => undefined,
          confirmed: () => {
            this.#listed = true;
          },
          failed: () => undefined,
        },
      }),
    );
  }

  /**
   * Proposes a change of an entry and replaces an earlier proposal for the slot.
   * The result is reported through {@link SlotTableListener.observed}, like any
   * other change.
   */
  propose(proposal: Proposal): void {
    const shard = shardOf(proposal.slot);
    const waiting = this.#proposals.get(shard) ?? [];
    this.#proposals.set(shard, [
      ...waiting.filter(({ slot }) => slot !== proposal.slot),
      proposal,
    ]);
    this.#startSettling(shard);
  }

  /** Reads the object of a slot again. */
  read(slot: number): void {
    this.#startSettling(shardOf(slot));
  }

  /** Creates an object with its first entries, unless it exists. */
  async create(
    shard: number,
    entryOf: (slot: number) => SlotEntry | undefined,
  ): Promise<void> {
    const first = shard * SLOTS_PER_OBJECT;
    const slots = Array.from(
      { length: SLOTS_PER_OBJECT },
      (_, offset) => first + offset,
    ).filter((slot) => slot < this.#options.slots);
    const entries = new Map(
      slots.flatMap((slot) => {
        const entry = entryOf(slot);
        return entry === undefined ? [] : [[slot, entry] as const];
      }),
    );
    const written = await this.#options.store.put(
      shardKey(shard),
      shardValue(entries),
      { expected: "absent" },
    );
    if (written.isOk) this.#observe(written.value);
    else if (written.error.kind !== "unavailable") this.#startSettling(shard);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#closed = true;
    await this.#owned[Symbol.asyncDispose]();
  }

  #startSettling(shard: number): void {
    if (this.#settlingShards.has(shard) || this.#closed) return;
    this.#settlingShards.add(shard);
    const { logger } = this.#options;
    runInBackground("objects of the slot table", { logger }, () =>
      this.#settle(shard).finally(() => this.#settlingShards.delete(shard)),
    );
  }

  async #settle(shard: number): Promise<void> {
    const { clock, random } = this.#options;
    await sleep(clock, COALESCE_DELAY_MILLISECONDS * (0.5 + random.next()));
    let failures = 0;
    for (let round = 0; round < MAXIMUM_ROUNDS && !this.#closed; round += 1) {
      const settled =
        this.#openProposals(shard).length > 0
          ? await this.#write(shard)
          : await this.#reread(shard);
      if (settled && this.#openProposals(shard).length === 0) return;
      failures = settled ? 0 : failures + 1;
      if (!settled) await sleep(clock, storeBackoff(failures, random));
    }
  }

  /** Proposals whose base epoch is still current; the others are dropped. */
  #openProposals(shard: number): readonly Proposal[] {
    const { entries } = this.#shards.get(shard) ?? NO_SHARD;
    const open = (this.#proposals.get(shard) ?? []).filter(
      ({ slot, from }) =>
        (entries.get(slot)?.epoch ?? 0) === (from?.epoch ?? 0),
    );
    this.#proposals.set(shard, open);
    return open;
  }

  async #write(shard: number): Promise<boolean> {
    const { store, metrics } = this.#options;
    const known = this.#shards.get(shard) ?? NO_SHARD;
    if (known.object === undefined) return this.#reread(shard);
    const proposals = this.#openProposals(shard);
    const entries = new Map(known.entries);
    proposals.forEach(({ slot, to }) => entries.set(slot, to));
    const written = await store.put(shardKey(shard), shardValue(entries), {
      expected: known.object.version,
    });
    metrics.count("slot_table_write", written.isOk ? "won" : "lost");
    if (written.isOk) {
      this.#observe(written.value);
      return true;
    }
    const { error } = written;
    if (error.kind === "conflict" && error.current !== undefined) {
      this.#observe(error.current);
      return true;
    }
    return error.kind === "unknown" ? await this.#reread(shard) : false;
  }

  async #reread(shard: number): Promise<boolean> {
    const object = await this.#options.store.get(shardKey(shard));
    if (object.isErr) return false;
    if (object.value !== undefined) this.#observe(object.value);
    return true;
  }

  #observe(object: StoredObject): void {
    const shard = Number(object.key.slice(SLOT_PREFIX.length));
    const known = this.#shards.get(shard);
    if ((known?.object?.version ?? 0) >= object.version) return;
    const entries = shardEntries(object.value);
    this.#shards.set(shard, { object, entries });
    entries.forEach((entry, slot) =>
      this.#options.listener.observed(slot, entry),
    );
  }
}

function shardOf(slot: number): number {
  return Math.floor(slot / SLOTS_PER_OBJECT);
}

function shardKey(shard: number): string {
  return `${SLOT_PREFIX}${shard}`;
}

function shardValue(entries: ReadonlyMap<number, SlotEntry>): string {
  return JSON.stringify([...entries]);
}

function shardEntries(value: string): ReadonlyMap<number, SlotEntry> {
  const rows = JSON.parse(value) as readonly (readonly [number, SlotEntry])[];
  return new Map(
    rows.map(([slot, entry]) => [
      slot,
      { ...entry, backup: entry.backup ?? undefined },
    ]),
  );
}
