// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The slots of one entry host: runs the pure replicas, carries their messages
 * to peers and their proposals to the slot table.
 *
 * @module
 */
import type { HostId } from "rampswitch-types";
import {
  decidePlacement,
  firstEntry,
  type KeyRecord,
  type KeyRequest,
  type KeyStatus,
  type KeyDecision,
  type PlacementStep,
  type PlacementView,
  type SlotEffect,
  type SlotMessage,
  SlotReplica,
  type SlotTimes,
} from "rampswitch-protocol";
import type { ObjectStore } from "rampswitch-store";
import {
  type Clock,
  type Logger,
  type Metrics,
  Ownership,
  type Random,
} from "rampswitch-utils";
import { slotEntry } from "./peer_messages.ts";
import type { ReplicaLinks } from "./replica_link.ts";
import { SlotTable } from "./slot_table.ts";

/** How a claim ended. */
export type ClaimEnd = "execute" | "in_doubt" | "withdrawn";

/** What the service tells its owner. */
export interface SlotListener {
  /** This host has become the primary of a slot. */
  takenOver(slot: number): void;
  /** A host holds, or is to hold, the slot beside this one. */
  teaching(slot: number, host: HostId): void;
}

/** How the service is made. */
export interface SlotServiceOptions {
  readonly self: HostId;
  readonly slots: number;
  readonly times: SlotTimes;
  readonly store: ObjectStore;
  readonly links: ReplicaLinks;
  readonly clock: Clock;
  /** A clock that never jumps. */
  readonly steadyClock: Clock;
  readonly random: Random;
  readonly metrics: Metrics;
  readonly logger: Logger;
  readonly listener: SlotListener;
  readonly view: () => PlacementView;
  readonly watchPause: () => number;
}

/** Time that a slot may be closed while it is handed over. */
const HAND_OVER_MILLISECONDS = 1_000;

const PRUNE_MILLISECONDS = 10_000;

/** Time for which a slot serves after a handover that did not succeed. */
const HAND_OVER_AGAIN_MILLISECONDS = 5_000;

/** Steps that one round of maintenance takes at most. */
const STEPS_PER_ROUND = 16;

/** All slots as one host sees them. */
export class SlotService implements AsyncDisposable {
  readonly #options: SlotServiceOptions;
  readonly #owned = new Ownership();
  readonly #replicas: readonly SlotReplica[];
  readonly #table: SlotTable;
  readonly #claims = new Map<string, (end: ClaimEnd) => void>();
  readonly #primaries = new Set<number>();
  readonly #closing = new Map<number, number>();
  #prunedAt = 0;
  readonly #servesUntil = new Map<number, number>();

  constructor(options: SlotServiceOptions) {
    this.#options = options;
    this.#replicas = Array.from(
      { length: options.slots },
      (_, slot) =>
        new SlotReplica(options.self, slot, { times: options.times }),
    );
    this.#table = this.#owned.own(
      new SlotTable({
        ...options,
        listener: {
          observed: (slot, entry) => {
            const replica = this.#replicas[slot];
            if (replica === undefined) return;
            this.#run(replica, replica.observe(entry));
            this.#note(replica);
          },
        },
      }),
    );
  }

  /** Whether the table is known: every slot has a primary. */
  get ready(): boolean {
    return (
      this.#table.listed &&
      this.#replicas.every(({ entry }) => entry !== undefined)
    );
  }

  /** Slots that this host is primary of without a backup. */
  get slotsWithoutBackup(): number {
    return [...this.#primaries].filter(
      (slot) => this.#replicas[slot]?.entry?.backup === undefined,
    ).length;
  }

  /** Number of slots. */
  get count(): number {
    return this.#replicas.length;
  }

  /** Slots that this host is primary of. */
  get primarySlots(): readonly number[] {
    return [...this.#primaries].filter((slot) => !this.#closing.has(slot));
  }

  /** Number of slots that this host is primary of, also while it hands over. */
  get heldSlots(): number {
    return this.#primaries.size;
  }

  /** Keys remembered in all slots. */
  get keys(): number {
    return this.#replicas.reduce((sum, { size }) => sum + size, 0);
  }

  /** Peers that hold a slot together with this host. */
  get partners(): readonly HostId[] {
    const partners = this.#replicas.flatMap(({ entry, role }) =>
      entry === undefined || role === "none"
        ? []
        : [entry.primary, entry.backup],
    );
    return [...new Set(partners)]
      .filter((host) => host !== undefined)
      .filter((host) => host !== this.#options.self);
  }

  /** Starts to follow the table. */
  start(): void {
    this.#table.start();
  }

  /**
   * Primary of a slot, as far as known here; `undefined` while this host hands
   * the slot over, so that no claim begins that the next primary would doubt.
   */
  primaryOf(slot: number): HostId | undefined {
    const primary = this.#replicas[slot]?.entry?.primary;
    return primary === this.#options.self && this.#closing.has(slot)
      ? undefined
      : primary;
  }

  /** Peers that must hold what happens in a slot. */
  holdersOf(slot: number): readonly HostId[] {
    const replica = this.#replicas[slot];
    const entry = replica?.entry;
    if (replica === undefined || entry === undefined) return [];
    return [...new Set([entry.primary, entry.backup, replica.learner])]
      .filter((host) => host !== undefined)
      .filter((host) => host !== this.#options.self);
  }

  /** Epoch of a slot. */
  epochOf(slot: number): number {
    return this.#replicas[slot]?.entry?.epoch ?? 0;
  }

  /** Record of a key in a slot. */
  recordOf(slot: number, key: string): KeyRecord | undefined {
    return this.#replicas[slot]?.record(key);
  }

  /** Judges a request for a key. */
  judge(slot: number, request: KeyRequest): KeyDecision {
    const replica = this.#replicas[slot];
    return replica === undefined
      ? { kind: "not_primary", primary: undefined }
      : replica.evaluate(request, this.#options.clock.now());
  }

  /** Records a new key; resolves once it may be sent, or may never be. */
  open(slot: number, request: KeyRequest): Promise<ClaimEnd> {
    const replica = this.#replicas[slot];
    if (replica === undefined) return Promise.resolve("withdrawn");
    const { clock } = this.#options;
    return new Promise((resolve) => {
      this.#claims.set(request.key, resolve);
      this.#run(replica, replica.open(request, clock.now()));
    });
  }

  /** Gives up a claim that is still waiting. */
  withdraw(slot: number, key: string): void {
    const replica = this.#replicas[slot];
    if (replica?.withdraw(key) !== true) return;
    this.#run(replica, replica.finish(key, "withdrawn"));
    this.#settle(key, "withdrawn");
  }

  /** Records how a key ended. */
  finish(slot: number, key: string, status: KeyStatus): void {
    const replica = this.#replicas[slot];
    if (replica !== undefined) this.#run(replica, replica.finish(key, status));
  }

  /** Takes in a message; returns the answers to its sender. */
  receive(from: HostId, message: SlotMessage): readonly SlotMessage[] {
    const replica = this.#replicas[message.slot];
    if (replica === undefined) return [];
    const effects = replica.receive(from, message);
    const answers = effects.flatMap((effect) =>
      effect.kind === "send" && effect.to === from ? [effect.message] : [],
    );
    this.#run(
      replica,
      effects.filter((effect) => effect.kind !== "send" || effect.to !== from),
    );
    return answers;
  }

  /** Moves the slots on: replaces what is gone, hands over what is misplaced. */
  async maintain(): Promise<void> {
    const view = this.#options.view();
    if (!this.#table.listed) return;
    const steps = this.#replicas
      .map((replica) => ({ replica, step: decidePlacement(replica, view) }))
      .filter(({ step }) => step.kind !== "none")
      .slice(0, STEPS_PER_ROUND);
    steps.forEach(({ replica, step }) => this.#take(replica, step, view));
    this.#prune(this.#options.steadyClock.now());
    await this.#createMissing(view);
  }

  #prune(steadyNow: number): void {
    if (steadyNow - this.#prunedAt < PRUNE_MILLISECONDS) return;
    this.#prunedAt = steadyNow;
    this.#replicas.forEach((replica) => replica.prune(steadyNow));
  }

  /** Asks every backup to take over, before a planned stop. */
  handOverAll(): void {
    if (!this.#options.view().reachesStore) return;
    [...this.#primaries].forEach((slot) => {
      const replica = this.#replicas[slot];
      if (replica !== undefined) this.#run(replica, this.#handOver(replica));
    });
  }

  async [Symbol.asyncDispose](): Promise<void> {
    [...this.#claims.keys()].forEach((key) => this.#settle(key, "withdrawn"));
    await this.#owned[Symbol.asyncDispose]();
  }

  #take(replica: SlotReplica, step: PlacementStep, view: PlacementView): void {
    this.#options.metrics.count("slot_step", step.kind);
    const act = this.#stepActions[step.kind] as (
      replica: SlotReplica,
      step: PlacementStep,
      view: PlacementView,
    ) => readonly SlotEffect[];
    const effects = act(replica, step, view);
    if (step.kind === "teach") {
      this.#options.listener.teaching(replica.slot, step.host);
    }
    this.#run(replica, effects);
  }

  /**
   * Closes a slot to new claims and hands it over once none is waiting. Where
   * that does not succeed in time, the slot serves on for a while.
   */
  #handOver(replica: SlotReplica): readonly SlotEffect[] {
    const { slot, entry } = replica;
    const now = this.#options.clock.now();
    if (entry?.backup === undefined) return [];
    if (now < (this.#servesUntil.get(slot) ?? 0)) return [];
    const since = this.#closing.get(slot) ?? now;
    if (now - since > HAND_OVER_MILLISECONDS) {
      this.#closing.delete(slot);
      this.#servesUntil.set(slot, now + HAND_OVER_AGAIN_MILLISECONDS);
      return [];
    }
    this.#closing.set(slot, since);
    return replica.hasPendingClaims ? [] : replica.handOver();
  }

  async #createMissing(view: PlacementView): Promise<void> {
    const missing = this.#table.shardNumbers.filter(
      (shard) => !this.#table.exists(shard),
    );
    await Promise.all(
      missing.map((shard) =>
        this.#table.create(shard, (slot) => firstEntry(slot, view.hosts)),
      ),
    );
  }

  #run(replica: SlotReplica, effects: readonly SlotEffect[]): void {
    effects.forEach((effect) => {
      const apply = this.#effects[effect.kind] as (effect: SlotEffect) => void;
      apply(effect);
    });
    this.#note(replica);
  }

  readonly #effects: {
    readonly [Kind in SlotEffect["kind"]]: (
      effect: Extract<SlotEffect, { readonly kind: Kind }>,
    ) => void;
  } = {
    send: ({ to, message }) =>
      this.#options.links.push(to, slotEntry(message), {
        urgent: message.kind !== "status",
      }),
    execute: ({ key }) => this.#settle(key, "execute"),
    in_doubt: ({ key }) => this.#settle(key, "in_doubt"),
    propose: ({ proposal }) => this.#table.propose(proposal),
    read_table: ({ slot }) => this.#table.read(slot),
    taken_over: ({ slot }) => {
      this.#options.metrics.count("slot_taken_over");
      queueMicrotask(() => this.#options.listener.takenOver(slot));
    },
  };

  #settle(key: string, end: ClaimEnd): void {
    const resolve = this.#claims.get(key);
    this.#claims.delete(key);
    resolve?.(end);
  }

  #note(replica: SlotReplica): void {
    if (replica.role === "primary") this.#primaries.add(replica.slot);
    else {
      this.#primaries.delete(replica.slot);
      this.#closing.delete(replica.slot);
    }
  }

  readonly #stepActions: {
    readonly [Kind in PlacementStep["kind"]]: (
      replica: SlotReplica,
      step: Extract<PlacementStep, { readonly kind: Kind }>,
      view: PlacementView,
    ) => readonly SlotEffect[];
  } = {
    none: () => [],
    promote: (replica) => replica.promote(),
    hand_over: (replica) => this.#handOver(replica),
    teach: (replica, { host }) => replica.addLearner(host),
    stop_teaching: (replica) => replica.removeLearner(),
    drop_backup: (replica) => replica.dropBackup(),
    take: (replica, _step, view) => replica.takeOver(view.isGone, view.now),
  };
}
