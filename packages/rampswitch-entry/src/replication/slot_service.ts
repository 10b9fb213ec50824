// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The slots of one entry host. Runs the slot replicas, which have no side
 * effects, and carries out the effects that they return: messages to peers and
 * proposals to the slot table.
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

/** How a claim of a key ended. Only `execute` permits the request to be sent. */
export type ClaimOutcome = "execute" | "in_doubt" | "withdrawn";

/** Callbacks from the service to its owner. */
export interface SlotListener {
  /** This host has become the primary of a slot. */
  takenOver(slot: number): void;
  /** A host is to hold the slot beside this host and needs its requests. */
  teaching(slot: number, host: HostId): void;
}

/** Options of {@link SlotService}. */
export interface SlotServiceOptions {
  readonly self: HostId;
  readonly slots: number;
  readonly times: SlotTimes;
  readonly store: ObjectStore;
  readonly links: ReplicaLinks;
  readonly clock: Clock;
  /** A monotonic clock. */
  readonly monotonicClock: Clock;
  readonly random: Random;
  readonly metrics: Metrics;
  readonly logger: Logger;
  readonly listener: SlotListener;
  readonly view: () => PlacementView;
  readonly watchPause: () => number;
}

/** Maximum time that a slot is closed to new claims for a handover. */
const HAND_OVER_TIMEOUT_MILLISECONDS = 1_000;

const PRUNE_INTERVAL_MILLISECONDS = 10_000;

/** Time after a handover that timed out before the next one is tried. */
const HAND_OVER_RETRY_DELAY_MILLISECONDS = 5_000;

/** Maximum number of placement steps in one round of maintenance. */
const MAXIMUM_STEPS_PER_ROUND = 16;

/** All slots, as known to one host. */
export class SlotService implements AsyncDisposable {
  readonly #options: SlotServiceOptions;
  readonly #owned = new Ownership();
  readonly #replicas: readonly SlotReplica[];
  readonly #table: SlotTable;
  readonly #claims = new Map<string, (end: ClaimOutcome) => void>();
  readonly #primaries = new Set<number>();
  readonly #closingSince = new Map<number, number>();
  #prunedAt = 0;
  readonly #handOverAllowedAt = new Map<number, number>();

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
            this.#applyEffects(replica, replica.observe(entry));
            this.#updatePrimaries(replica);
          },
        },
      }),
    );
  }

  /** Whether the table has been read and has an entry for every slot. */
  get ready(): boolean {
    return (
      this.#table.listed &&
      this.#replicas.every(({ entry }) => entry !== undefined)
    );
  }

  /** Number of slots that this host is primary of and that have no backup. */
  get slotsWithoutBackup(): number {
    return [...this.#primaries].filter(
      (slot) => this.#replicas[slot]?.entry?.backup === undefined,
    ).length;
  }

  /** Number of all slots. */
  get count(): number {
    return this.#replicas.length;
  }

  /** Slots that this host is primary of and is not handing over. */
  get primarySlots(): readonly number[] {
    return [...this.#primaries].filter((slot) => !this.#closingSince.has(slot));
  }

  /** Number of slots that this host is primary of, including handovers. */
  get heldSlots(): number {
    return this.#primaries.size;
  }

  /** Number of key records in all slots. */
  get keys(): number {
    return this.#replicas.reduce((sum, { size }) => sum + size, 0);
  }

  /** Peers that are primary or backup of a slot that this host holds too. */
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

  /** Starts to watch the slot table. */
  start(): void {
    this.#table.start();
  }

  /**
   * Primary of a slot, as far as this host knows. It is `undefined` while this
   * host hands the slot over, so that no claim begins that the next primary would
   * have to treat as in doubt.
   */
  primaryOf(slot: number): HostId | undefined {
    const primary = this.#replicas[slot]?.entry?.primary;
    return primary === this.#options.self && this.#closingSince.has(slot)
      ? undefined
      : primary;
  }

  /** Peers to which changes in a slot are replicated. */
  holdersOf(slot: number): readonly HostId[] {
    const replica = this.#replicas[slot];
    const entry = replica?.entry;
    if (replica === undefined || entry === undefined) return [];
    return [...new Set([entry.primary, entry.backup, replica.learner])]
      .filter((host) => host !== undefined)
      .filter((host) => host !== this.#options.self);
  }

  /** Epoch of a slot; 0 if its entry is not known. */
  epochOf(slot: number): number {
    return this.#replicas[slot]?.entry?.epoch ?? 0;
  }

  /** Record of a key in a slot, if there is one. */
  recordOf(slot: number, key: string): KeyRecord | undefined {
    return this.#replicas[slot]?.record(key);
  }

  /** Decides whether a request for a key may run here. */
  evaluate(slot: number, request: KeyRequest): KeyDecision {
    const replica = this.#replicas[slot];
    return replica === undefined
      ? { kind: "not_primary", primary: undefined }
      : replica.evaluate(request, this.#options.clock.now());
  }

  /**
   * Claims a new key. Resolves once it is decided whether the request may be
   * sent.
   */
  open(slot: number, request: KeyRequest): Promise<ClaimOutcome> {
    const replica = this.#replicas[slot];
    if (replica === undefined) return Promise.resolve("withdrawn");
    const { clock } = this.#options;
    return new Promise((resolve) => {
      this.#claims.set(request.key, resolve);
      this.#applyEffects(replica, replica.open(request, clock.now()));
    });
  }

  /** Withdraws a claim that is not decided yet. */
  withdraw(slot: number, key: string): void {
    const replica = this.#replicas[slot];
    if (replica?.withdraw(key) !== true) return;
    this.#applyEffects(replica, replica.finish(key, "withdrawn"));
    this.#settle(key, "withdrawn");
  }

  /** Records how a key ended. */
  finish(slot: number, key: string, status: KeyStatus): void {
    const replica = this.#replicas[slot];
    if (replica !== undefined)
      this.#applyEffects(replica, replica.finish(key, status));
  }

  /** Applies a message; returns the answers for its sender. */
  receive(from: HostId, message: SlotMessage): readonly SlotMessage[] {
    const replica = this.#replicas[message.slot];
    if (replica === undefined) return [];
    const effects = replica.receive(from, message);
    const answers = effects.flatMap((effect) =>
      effect.kind === "send" && effect.to === from ? [effect.message] : [],
    );
    this.#applyEffects(
      replica,
      effects.filter((effect) => effect.kind !== "send" || effect.to !== from),
    );
    return answers;
  }

  /**
   * Runs one round of maintenance: replaces hosts that are gone, hands over slots
   * that are misplaced, prunes key records and creates missing table objects.
   */
  async maintain(): Promise<void> {
    const view = this.#options.view();
    if (!this.#table.listed) return;
    const steps = this.#replicas
      .map((replica) => ({ replica, step: decidePlacement(replica, view) }))
      .filter(({ step }) => step.kind !== "none")
      .slice(0, MAXIMUM_STEPS_PER_ROUND);
    steps.forEach(({ replica, step }) => this.#applyStep(replica, step, view));
    this.#prune(this.#options.monotonicClock.now());
    await this.#createMissing(view);
  }

  #prune(monotonicNow: number): void {
    if (monotonicNow - this.#prunedAt < PRUNE_INTERVAL_MILLISECONDS) return;
    this.#prunedAt = monotonicNow;
    this.#replicas.forEach((replica) => replica.prune(monotonicNow));
  }

  /** Hands all slots over to their backups, before a planned stop. */
  handOverAll(): void {
    if (!this.#options.view().reachesStore) return;
    [...this.#primaries].forEach((slot) => {
      const replica = this.#replicas[slot];
      if (replica !== undefined)
        this.#applyEffects(replica, this.#handOver(replica));
    });
  }

  async [Symbol.asyncDispose](): Promise<void> {
    [...this.#claims.keys()].forEach((key) => this.#settle(key, "withdrawn"));
    await this.#owned[Symbol.asyncDispose]();
  }

  #applyStep(
    replica: SlotReplica,
    step: PlacementStep,
    view: PlacementView,
  ): void {
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
    this.#applyEffects(replica, effects);
  }

  /**
   * Closes a slot to new claims and hands it over once none is waiting. If that
   * takes longer than {@link HAND_OVER_TIMEOUT_MILLISECONDS}, the slot opens
   * again for {@link HAND_OVER_RETRY_DELAY_MILLISECONDS}.
   */
  #handOver(replica: SlotReplica): readonly SlotEffect[] {
    const { slot, entry } = replica;
    const now = this.#options.clock.now();
    if (entry?.backup === undefined) return [];
    if (now < (this.#handOverAllowedAt.get(slot) ?? 0)) return [];
    const since = this.#closingSince.get(slot) ?? now;
    if (now - since > HAND_OVER_TIMEOUT_MILLISECONDS) {
      this.#closingSince.delete(slot);
      this.#handOverAllowedAt.set(
        slot,
        now + HAND_OVER_RETRY_DELAY_MILLISECONDS,
      );
      return [];
    }
    this.#closingSince.set(slot, since);
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

  #applyEffects(replica: SlotReplica, effects: readonly SlotEffect[]): void {
    effects.forEach((effect) => {
      const apply = this.#effectHandlers[effect.kind] as (
        effect: SlotEffect,
      ) => void;
      apply(effect);
    });
    this.#updatePrimaries(replica);
  }

  readonly #effectHandlers: {
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

  #settle(key: string, end: ClaimOutcome): void {
    const resolve = this.#claims.get(key);
    this.#claims.delete(key);
    resolve?.(end);
  }

  #updatePrimaries(replica: SlotReplica): void {
    if (replica.role === "primary") this.#primaries.add(replica.slot);
    else {
      this.#primaries.delete(replica.slot);
      this.#closingSince.delete(replica.slot);
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
