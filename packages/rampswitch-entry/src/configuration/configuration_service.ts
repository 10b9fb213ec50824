// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The configuration of one entry host: follows the revision log in the
 * platform's store, takes changes of operators, and passes news to peers. It
 * only ever moves to higher revisions.
 *
 * @module
 */
import {
  advance,
  applyDeltas,
  type ChangeOutcome,
  type ChangeRequest,
  compacted,
  type ConfigurationState,
  decideChange,
  type Delta,
  EMPTY_CONFIGURATION,
  type Head,
  HEAD_KEY,
  needsCompaction,
  obsoleteSnapshots,
  parseHead,
  readSnapshot,
  SNAPSHOT_PREFIX,
  snapshotKey,
  snapshotParts,
} from "rampswitch-configuration";
import { RoutingTable } from "rampswitch-policy";
import {
  type ObjectStore,
  storeBackoff,
  type StoredObject,
  Watcher,
} from "rampswitch-store";
import {
  type Clock,
  jitter,
  type Logger,
  type Metrics,
  Ownership,
  type Random,
  repeat,
  sleep,
} from "rampswitch-utils";

/** A configuration that a peer sent. */
export interface PeerConfiguration {
  readonly revision: number;
  readonly deltas: readonly Delta[];
  /** The whole state; absent where the deltas suffice. */
  readonly stateParts: readonly string[];
  /** Milliseconds since it was confirmed as the head; -1 for never. */
  readonly confirmedAge: number;
}

/** What the service tells its owner. */
export interface ConfigurationListener {
  /** A higher revision is in force here. */
  changed(state: ConfigurationState, deltas: readonly Delta[]): void;
}

/** How the service is made. */
export interface ConfigurationServiceOptions {
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly random: Random;
  readonly metrics: Metrics;
  readonly logger: Logger;
  readonly listener: ConfigurationListener;
  /** Longest age of a confirmation before the host reads the head itself. */
  readonly confirmMilliseconds: number;
  readonly watchPause: () => number;
}

const CHANGE_ATTEMPTS = 8;
const RETAINED_DELTAS = 256;
const SNAPSHOT_ATTEMPTS = 5;
const CONFIRM_TIMEOUT_MILLISECONDS = 1_000;

/** The configuration as one host has it. */
export class ConfigurationService implements AsyncDisposable {
  readonly #options: ConfigurationServiceOptions;
  readonly #owned = new Ownership();
  #state: ConfigurationState = EMPTY_CONFIGURATION;
  #routing = new RoutingTable([]);
  #deltas: readonly Delta[] = [];
  #head: StoredObject | undefined;
  #confirmedAt: number | undefined;
  #reachedStoreAt: number | undefined;
  #inForceSince: ReadonlyMap<number, number> = new Map();

  constructor(options: ConfigurationServiceOptions) {
    this.#options = options;
  }

  /** The state in force here. */
  get state(): ConfigurationState {
    return this.#state;
  }

  /** The routes of the state in force. */
  get routing(): RoutingTable {
    return this.#routing;
  }

  /** When the revision was last confirmed as the head, by anybody. */
  get confirmedAt(): number | undefined {
    return this.#confirmedAt;
  }

  /** Whether the store answered lately. */
  get reachesStore(): boolean {
    return (
      this.#reachedStoreAt !== undefined &&
      this.#options.clock.now() - this.#reachedStoreAt <
        2 * this.#options.confirmMilliseconds
    );
  }

  /** When a recent revision came into force here. */
  inForceSince(revision: number): number | undefined {
    return this.#inForceSince.get(revision);
  }

  /** Starts to follow the log. */
  start(): void {
    const { store, clock, random, watchPause, confirmMilliseconds } =
      this.#options;
    this.#owned.own(
      new Watcher(store, HEAD_KEY, {
        clock,
        random,
        pause: watchPause,
        listener: {
          changed: (object) => void this.#adoptHead(object, clock.now()),
          removed: () => this.#options.logger.error("head was removed"),
          confirmed: (at) => this.#recordStoreAnswer(at),
          failed: () => undefined,
        },
      }),
    );
    this.#owned
      .own(
        repeat(
          clock,
          () => jitter(random, confirmMilliseconds / 2),
          () => this.#confirm(),
        ),
      )
      .hurry();
  }

  /** Takes a change of an operator. */
  async change(request: ChangeRequest): Promise<ChangeOutcome> {
    const { store, clock, random, metrics } = this.#options;
    let head: StoredObject | undefined;
    let known = false;
    for (let attempt = 0; attempt < CHANGE_ATTEMPTS; attempt += 1) {
      const read =
        known ||
        (await this.#readHead().then((result) => {
          head = result?.object;
          return result !== undefined;
        }));
      const base = read ? await this.#stateAt(head) : undefined;
      if (base !== undefined) {
        const decision = decideChange(parseHead(head?.value), base, {
          request,
          now: clock.now(),
        });
        if (decision.kind === "end") {
          metrics.count("change", decision.outcome.kind);
          return decision.outcome;
        }
        const written = await store.put(
          HEAD_KEY,
          JSON.stringify(decision.head),
          { expected: head?.version ?? "absent" },
        );
        if (written.isOk) {
          await this.#adoptHead(written.value, clock.now());
          void this.#compact(written.value);
          metrics.count("change", "accepted");
          return { kind: "accepted", revision: decision.delta.revision };
        }
        metrics.count("change_retry", written.error.kind);
        known =
          written.error.kind === "conflict" &&
          written.error.current !== undefined;
        if (written.error.kind === "conflict") head = written.error.current;
      }
      await sleep(clock, storeBackoff(attempt, random) / 4);
    }
    metrics.count("change", "unknown");
    return { kind: "unknown", changeId: request.changeId };
  }

  /** Takes in what a peer sent; tells whether a gap was left. */
  takeFromPeer(sent: PeerConfiguration): boolean {
    if (sent.revision < this.#state.revision) {
      this.#options.metrics.count("drop", "old_revision");
      return false;
    }
    const snapshot =
      sent.stateParts.length > 0
        ? readSnapshot(sent.revision, sent.stateParts)
        : undefined;
    const next = snapshot ?? applyDeltas(this.#state, sent.deltas);
    this.#adopt(next, sent.deltas);
    if (this.#state.revision < sent.revision) return true;
    this.confirmedByPeer(sent.revision, sent.confirmedAge);
    return false;
  }

  /** Notes that a peer knows a revision to have been the head. */
  confirmedByPeer(revision: number, age: number): void {
    if (age < 0 || revision !== this.#state.revision) return;
    const at = this.#options.clock.now() - age;
    this.#confirmedAt = Math.max(this.#confirmedAt ?? at, at);
  }

  /** What a peer at a revision needs to catch up. */
  forPeer(afterRevision: number): PeerConfiguration {
    const { clock } = this.#options;
    const deltas = this.#deltas.filter(
      ({ revision }) => revision > afterRevision,
    );
    const complete =
      deltas.length === Math.max(0, this.#state.revision - afterRevision);
    return {
      revision: this.#state.revision,
      deltas: complete ? deltas : [],
      stateParts: complete ? [] : snapshotParts(this.#state),
      confirmedAge:
        this.#confirmedAt === undefined ? -1 : clock.now() - this.#confirmedAt,
    };
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#owned[Symbol.asyncDispose]();
  }

  /** Reads the head unless somebody confirmed it lately. */
  async #confirm(): Promise<void> {
    const { clock, confirmMilliseconds } = this.#options;
    const age = clock.now() - (this.#confirmedAt ?? 0);
    if (age < confirmMilliseconds && this.reachesStore) return;
    if (age < confirmMilliseconds / 2) return;
    if (this.#head === undefined) await this.#readHead();
    else await this.#checkHead(this.#head);
  }

  /** Asks whether the head is still the known one; costs few bytes. */
  async #checkHead(head: StoredObject): Promise<void> {
    const { store, clock } = this.#options;
    const requestedAt = clock.now();
    const signal = AbortSignal.timeout(CONFIRM_TIMEOUT_MILLISECONDS);
    const batch = await store.watch(HEAD_KEY, head.version, {
      signal,
      seconds: 0,
    });
    if (batch.isErr) return;
    this.#recordStoreAnswer(requestedAt);
    const newerHead = batch.value.events
      .filter(({ key, value }) => key === HEAD_KEY && value !== undefined)
      .at(-1);
    if (newerHead?.value !== undefined) {
      await this.#adoptHead(
        { ...newerHead, value: newerHead.value },
        requestedAt,
      );
    } else if (head === this.#head) this.#confirmHead(head, requestedAt);
  }

  /** Notes that the known head was still the head when it was asked for. */
  #confirmHead(head: StoredObject, requestedAt: number): void {
    if (parseHead(head.value).revision !== this.#state.revision) return;
    this.#confirmedAt = Math.max(this.#confirmedAt ?? requestedAt, requestedAt);
  }

  async #readHead(): Promise<
    { readonly object: StoredObject | undefined } | undefined
  > {
    const requestedAt = this.#options.clock.now();
    const read = await this.#options.store.get(HEAD_KEY);
    if (read.isErr) return undefined;
    this.#recordStoreAnswer(requestedAt);
    const object = read.value;
    if (object !== undefined) await this.#adoptHead(object, requestedAt);
    else if (this.#state.revision === 0) this.#confirmedAt = requestedAt;
    return { object };
  }

  #recordStoreAnswer(at: number): void {
    this.#reachedStoreAt = Math.max(this.#reachedStoreAt ?? at, at);
  }

  /** Moves to a head that was read; one older than known changes nothing. */
  async #adoptHead(object: StoredObject, requestedAt: number): Promise<void> {
    if (object.version < (this.#head?.version ?? 0)) return;
    this.#head = object;
    const head = parseHead(object.value);
    const next = await this.#stateAt(object);
    if (next === undefined) return;
    this.#adopt(next, head.deltas);
    this.#confirmHead(object, requestedAt);
  }

  /** The state at a head, by its deltas or by its snapshot. */
  async #stateAt(
    object: StoredObject | undefined,
  ): Promise<ConfigurationState | undefined> {
    const head = parseHead(object?.value);
    if (head.revision === this.#state.revision) return this.#state;
    const base =
      head.revision > this.#state.revision ? this.#state : EMPTY_CONFIGURATION;
    const advanced = advance(base, head);
    if (advanced.isOk) return advanced.value;
    const snapshot = await this.#loadSnapshot(head);
    return snapshot === undefined
      ? undefined
      : advance(snapshot, head).unwrapOr(undefined as never);
  }

  async #loadSnapshot(head: Head): Promise<ConfigurationState | undefined> {
    const { revision, parts } = head.snapshot;
    if (revision === 0) return EMPTY_CONFIGURATION;
    const { store, clock, random } = this.#options;
    for (let attempt = 0; attempt < SNAPSHOT_ATTEMPTS; attempt += 1) {
      const objects = await Promise.all(
        Array.from({ length: parts }, (_, part) =>
          store.get(snapshotKey(revision, part)),
        ),
      );
      const values = objects.flatMap((object) =>
        object.isOk && object.value !== undefined ? [object.value.value] : [],
      );
      if (values.length === parts) return readSnapshot(revision, values);
      await sleep(clock, storeBackoff(attempt, random));
    }
    return undefined;
  }

  #adopt(next: ConfigurationState, deltas: readonly Delta[]): void {
    if (next.revision <= this.#state.revision) return;
    const before = this.#state.revision;
    const now = this.#options.clock.now();
    this.#state = next;
    this.#routing = new RoutingTable(
      [...next.resources.values()].map(({ resource }) => resource),
    );
    const newDeltas = deltas.filter(({ revision }) => revision > before);
    this.#deltas = [...this.#deltas, ...newDeltas].slice(-RETAINED_DELTAS);
    this.#inForceSince = new Map(
      [...this.#inForceSince, [next.revision, now] as const].slice(
        -RETAINED_DELTAS,
      ),
    );
    this.#options.metrics.gauge("configuration_revision", next.revision);
    this.#options.listener.changed(next, newDeltas);
  }

  /** Cuts a snapshot; whatever is cut off half way leaves only spare parts. */
  async #compact(object: StoredObject): Promise<void> {
    const { store, logger } = this.#options;
    const head = parseHead(object.value);
    const state = this.#state;
    if (!needsCompaction(head) || state.revision !== head.revision) return;
    const parts = snapshotParts(state);
    const written = await Promise.all(
      parts.map((value, part) =>
        store.put(snapshotKey(state.revision, part), value, {
          expected: "absent",
        }),
      ),
    );
    if (written.some((result) => result.isErr)) return;
    const next = compacted(head, {
      revision: state.revision,
      parts: parts.length,
    });
    const replaced = await store.put(HEAD_KEY, JSON.stringify(next), {
      expected: object.version,
    });
    if (replaced.isErr) return;
    logger.info("snapshot cut", { revision: state.revision });
    await this.#removeObsolete(next);
  }

  async #removeObsolete(head: Head): Promise<void> {
    const { store } = this.#options;
    const list = await store.list(SNAPSHOT_PREFIX);
    if (list.isErr) return;
    const revisions = list.value.objects.map(({ key }) => revisionOf(key));
    const obsolete = obsoleteSnapshots(head, [...new Set(revisions)]);
    await Promise.all(
      list.value.objects
        .filter(({ key }) => obsolete.includes(revisionOf(key)))
        .map(({ key, version }) => store.remove(key, version)),
    );
  }
}

function revisionOf(snapshotPart: string): number {
  return Number(snapshotPart.slice(SNAPSHOT_PREFIX.length).split("/")[0]);
}
