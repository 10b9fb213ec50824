// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The configuration of one entry host. The service follows the revision log in
 * the platform's store, applies changes of operators, and supplies updates to
 * peers. The revision in force only increases.
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
  failureReporter,
  jitter,
  type Logger,
  type Metrics,
  Ownership,
  type Random,
  repeat,
  type ReportFailure,
  runInBackground,
  sleep,
} from "rampswitch-utils";

/** A configuration update that one host sends to another. */
export interface PeerConfiguration {
  /** Revision that is in force at the sender. */
  readonly revision: number;
  readonly deltas: readonly Delta[];
  /** Parts of a snapshot of the whole state; empty if the deltas suffice. */
  readonly stateParts: readonly string[];
  /**
   * Milliseconds since the revision was confirmed as the head; -1 if it never
   * was.
   */
  readonly confirmedAge: number;
}

/** Callbacks of the configuration service. */
export interface ConfigurationListener {
  /** Called once a higher revision is in force on this host. */
  changed(state: ConfigurationState, deltas: readonly Delta[]): void;
}

/** Options of {@link ConfigurationService}. */
export interface ConfigurationServiceOptions {
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly random: Random;
  readonly metrics: Metrics;
  readonly logger: Logger;
  readonly listener: ConfigurationListener;
  /**
   * Maximum age of a confirmation, in milliseconds, before the host reads the
   * head itself.
   */
  readonly confirmMilliseconds: number;
  /** Returns the pause after each watch call to the store, in milliseconds. */
  readonly watchPause: () => number;
}

const CHANGE_ATTEMPTS = 8;
const RETAINED_DELTAS = 256;
const SNAPSHOT_ATTEMPTS = 5;
const CONFIRM_TIMEOUT_MILLISECONDS = 1_000;

/** Holds the configuration that is in force on one host. */
export class ConfigurationService implements AsyncDisposable {
  readonly #options: ConfigurationServiceOptions;
  readonly #owned = new Ownership();
  readonly #reportFailure: ReportFailure;
  #state: ConfigurationState = EMPTY_CONFIGURATION;
  #routing = new RoutingTable([]);
  #deltas: readonly Delta[] = [];
  #head: StoredObject | undefined;
  #confirmedAt: number | undefined;
  #reachedStoreAt: number | undefined;
  #inForceSince: ReadonlyMap<number, number> = new Map();

  constructor(options: ConfigurationServiceOptions) {
    this.#options = options;
    this.#reportFailure = failureReporter({ logger: options.logger });
  }

  /** The state that is in force on this host. */
  get state(): ConfigurationState {
    return this.#state;
  }

  /** The routing table of the state in force. */
  get routing(): RoutingTable {
    return this.#routing;
  }

  /** When this host or a peer last confirmed the revision as the head. */
  get confirmedAt(): number | undefined {
    return this.#confirmedAt;
  }

  /** Whether the store answered recently. */
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

  /** Starts to follow the revision log. */
  start(): void {
    const { store, clock, random, watchPause, confirmMilliseconds, logger } =
      this.#options;
    this.#owned.own(
      new Watcher(store, HEAD_KEY, {
        clock,
        random,
        reportFailure: this.#reportFailure,
        pause: watchPause,
        listener: {
          changed: (object) =>
            runInBackground("head of the configuration", { logger }, () =>
              this.#adoptHead(object, clock.now()),
            ),
          removed: () => this.#options.logger.error("head was removed"),
          confirmed: (at) => this.#recordStoreAnswer(at),
          failed: () => undefined,
        },
      }),
    );
    this.#owned
      .own(
        repeat(clock, () => jitter(random, confirmMilliseconds / 2), {
          name: "confirmation of the configuration",
          reportFailure: this.#reportFailure,
          run: () => this.#confirm(),
        }),
      )
      .runNow();
  }

  /**
   * Applies a change of an operator to the head. After a conflict the change is
   * evaluated again on the newer head. The outcome is `unknown` if no attempt
   * was settled.
   */
  async change(request: ChangeRequest): Promise<ChangeOutcome> {
    const { store, clock, random, metrics, logger } = this.#options;
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
          runInBackground("compaction", { logger }, () =>
            this.#compact(written.value),
          );
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

  /**
   * Adopts the update of a peer. Returns whether this host is still behind the
   * peer's revision, because the update left a gap.
   */
  adoptFromPeer(sent: PeerConfiguration): boolean {
    if (sent.revision < this.#state.revision) {
      this.#options.metrics.count("drop", "old_revision");
      return false;
    }
    const snapshotState =
      sent.stateParts.length > 0
        ? readSnapshot(sent.revision, sent.stateParts)
        : undefined;
    const next = snapshotState ?? applyDeltas(this.#state, sent.deltas);
    this.#adopt(next, sent.deltas);
    if (this.#state.revision < sent.revision) return true;
    this.confirmedByPeer(sent.revision, sent.confirmedAge);
    return false;
  }

  /**
   * Records that a revision was confirmed as the head at a peer `age`
   * milliseconds ago.
   */
  confirmedByPeer(revision: number, age: number): void {
    if (age < 0 || revision !== this.#state.revision) return;
    const at = this.#options.clock.now() - age;
    this.#confirmedAt = Math.max(this.#confirmedAt ?? at, at);
  }

  /**
   * Creates the update that a peer at a revision needs to catch up: the deltas
   * since then, or the whole state if not all of them are retained.
   */
  updateForPeer(afterRevision: number): PeerConfiguration {
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

  /** Reads the head unless it was confirmed recently. */
  async #confirm(): Promise<void> {
    const { clock, confirmMilliseconds } = this.#options;
    const age = clock.now() - (this.#confirmedAt ?? 0);
    if (age < confirmMilliseconds && this.reachesStore) return;
    if (age < confirmMilliseconds / 2) return;
    if (this.#head === undefined) await this.#readHead();
    else await this.#checkHead(this.#head);
  }

  /**
   * Checks whether the known head is still current. A watch from its version is
   * used because it transfers few bytes.
   */
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

  /** Records that the known head was still current at the time of a request. */
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

  /** Adopts a head that was read, unless it is older than the known one. */
  async #adoptHead(object: StoredObject, requestedAt: number): Promise<void> {
    if (object.version < (this.#head?.version ?? 0)) return;
    this.#head = object;
    const head = parseHead(object.value);
    const next = await this.#stateAt(object);
    if (next === undefined) return;
    this.#adopt(next, head.deltas);
    this.#confirmHead(object, requestedAt);
  }

  /** Builds the state at a head from its deltas or from its snapshot. */
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

  /**
   * Writes a snapshot once the head needs compaction. The head refers to the
   * snapshot only after all parts are written, so a compaction that is
   * interrupted leaves only unused parts.
   */
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
    const headWritten = await store.put(HEAD_KEY, JSON.stringify(next), {
      expected: object.version,
    });
    if (headWritten.isErr) return;
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
