// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * One host's replica of one slot, without sockets and clocks. Time and table entries
 * are passed as arguments; the actions to perform are returned as effects.
 *
 * @module
 */
import type { HostId } from "rampswitch-types";
import { SLOT_RULES, type SlotRules } from "./slot_rules.ts";
import type {
  ClaimAnswer,
  KeyRecord,
  KeyRequest,
  KeyStatus,
  KeyDecision,
  Proposal,
  SlotEffect,
  SlotEntry,
  SlotMessage,
  SlotTimes,
} from "./slot_types.ts";

/** Role of a host for a slot. */
export type SlotRole = "none" | "primary" | "backup";

/** Options of a {@link SlotReplica}. */
export interface ReplicaOptions {
  readonly times: SlotTimes;
  readonly rules?: SlotRules;
}

/** A host that receives all records before it becomes the backup. */
interface Learner {
  readonly host: HostId;
  /** Whether it confirmed that it has all records. */
  readonly complete: boolean;
}

/** Statuses that become `in_doubt` when another host takes over. */
const UNSETTLED_STATUSES: readonly KeyStatus[] = [
  "claiming",
  "sent",
  "withdrawn",
];

/** One host's replica of one slot. */
export class SlotReplica {
  readonly self: HostId;
  readonly slot: number;
  readonly #options: ReplicaOptions;
  readonly #rules: SlotRules;
  /** Time at which {@link prune} first saw each key, by a monotonic clock. */
  readonly #storedSince = new Map<string, number>();
  readonly #records = new Map<string, KeyRecord>();
  /** Hosts whose answer each pending claim waits for, by key. */
  readonly #awaitedHolders = new Map<string, readonly HostId[]>();
  #entry: SlotEntry | undefined;
  /** Messages of lower epochs are rejected. */
  #minimumEpoch = 0;
  #learner: Learner | undefined;
  #pending: Proposal | undefined;

  constructor(self: HostId, slot: number, options: ReplicaOptions) {
    this.self = self;
    this.slot = slot;
    this.#options = options;
    this.#rules = options.rules ?? SLOT_RULES;
  }

  /** The known table entry with the highest epoch. */
  get entry(): SlotEntry | undefined {
    return this.#entry;
  }

  /** This host's role under the known entry. */
  get role(): SlotRole {
    if (this.#entry?.primary === this.self) return "primary";
    return this.#entry?.backup === this.self ? "backup" : "none";
  }

  /** A proposed change of the table whose outcome is not known yet. */
  get pending(): Proposal | undefined {
    return this.#pending;
  }

  /** The host that receives all records in order to become the backup. */
  get learner(): HostId | undefined {
    return this.#learner?.host;
  }

  /** Whether any claim waits for the answers of other holders. */
  get hasPendingClaims(): boolean {
    return this.#awaitedHolders.size > 0;
  }

  /** Number of recorded keys. */
  get size(): number {
    return this.#records.size;
  }

  /** Returns the record of a key. */
  record(key: string): KeyRecord | undefined {
    return this.#records.get(key);
  }

  /** Returns the recorded keys that have one of the statuses. */
  keysWith(statuses: readonly KeyStatus[]): readonly string[] {
    return [...this.#records.values()]
      .filter(({ status }) => statuses.includes(status))
      .map(({ key }) => key);
  }

  /** Returns a copy of the replica with its whole state. */
  fork(): SlotReplica {
    const copy = new SlotReplica(this.self, this.slot, this.#options);
    this.#records.forEach((record, key) => copy.#records.set(key, record));
    this.#awaitedHolders.forEach((hosts, key) =>
      copy.#awaitedHolders.set(key, hosts),
    );
    this.#storedSince.forEach((since, key) =>
      copy.#storedSince.set(key, since),
    );
    copy.#entry = this.#entry;
    copy.#minimumEpoch = this.#minimumEpoch;
    copy.#learner = this.#learner;
    copy.#pending = this.#pending;
    return copy;
  }

  /** Returns a text that is equal for equal states. */
  fingerprint(): string {
    const records = [...this.#records.values()]
      .map(({ key, status, claimant }) => `${key}${status}${claimant}`)
      .toSorted();
    const missing = [...this.#awaitedHolders]
      .map(([key, hosts]) => `${key}${hosts.join("+")}`)
      .toSorted();
    return JSON.stringify([
      this.#entry,
      this.#minimumEpoch,
      this.#learner,
      this.#pending?.to,
      records,
      missing,
    ]);
  }

  /** Applies an entry of the table; entries of older epochs are ignored. */
  observe(entry: SlotEntry): readonly SlotEffect[] {
    const before = this.#entry;
    if (before !== undefined && entry.epoch <= before.epoch) return [];
    this.#entry = entry;
    this.#minimumEpoch = Math.max(this.#minimumEpoch, entry.epoch);
    if (this.#pending !== undefined && entry.epoch >= this.#pending.to.epoch) {
      this.#pending = undefined;
    }
    if (before?.primary === this.self)
      return this.#observeAfterTenure(before, entry);
    if (entry.primary !== this.self) return [];
    return before !== undefined &&
      this.#rules.retainsClaims(before, entry, this.self)
      ? this.#repeatPendingClaims()
      : this.#beginTenure();
  }

  /** Evaluates a request for a key; changes no state. */
  evaluate(request: KeyRequest, now: number): KeyDecision {
    const entry = this.#entry;
    if (entry === undefined || entry.primary !== this.self) {
      return { kind: "not_primary", primary: entry?.primary };
    }
    const record = this.#records.get(request.key);
    if (record !== undefined && record.status !== "withdrawn") {
      return { kind: "known", record };
    }
    const { keyTime } = request;
    const { times } = this.#options;
    if (keyTime !== undefined && keyTime > now + times.clockSkew) {
      return { kind: "key_time_ahead" };
    }
    if (keyTime !== undefined && keyTime < now - times.retention) {
      return { kind: "key_expired" };
    }
    return record !== undefined ||
      this.#rules.coversKey(keyTime, entry, { now, times })
      ? { kind: "new" }
      : { kind: "history_lost" };
  }

  /** Records a key that {@link evaluate} found new, and claims it if it is guarded. */
  open(request: KeyRequest, now: number): readonly SlotEffect[] {
    const record: KeyRecord = {
      key: request.key,
      status: "claiming",
      guarded: request.guarded,
      claimant: this.self,
      recordedAt: now,
    };
    this.#records.set(request.key, record);
    if (!request.guarded) return this.#execute(request.key);
    return this.#claim(record);
  }

  /** Withdraws a claim; returns whether the key was certainly not sent. */
  withdraw(key: string): boolean {
    const record = this.#records.get(key);
    if (record?.status !== "claiming") return false;
    this.#setStatus(key, "withdrawn");
    this.#awaitedHolders.delete(key);
    return true;
  }

  /** Records the final status of a key and reports it to all holders of the slot. */
  finish(key: string, status: KeyStatus): readonly SlotEffect[] {
    if (!this.#records.has(key)) return [];
    this.#setStatus(key, status);
    return this.#reportToHolders(key, status);
  }

  /**
   * Deletes the records whose retention is over, except those of requests that still
   * run here; returns their keys. The retention is measured by a monotonic clock, from
   * the first call that saw the key. By the time of day, a forward jump would delete
   * all records, and a key that is sent again would count as new.
   */
  prune(monotonicNow: number): readonly string[] {
    [...this.#records.keys()]
      .filter((key) => !this.#storedSince.has(key))
      .forEach((key) => this.#storedSince.set(key, monotonicNow));
    const before = monotonicNow - this.#options.times.retention;
    const running: readonly KeyStatus[] =
      this.role === "primary" ? ["claiming", "sent"] : [];
    const forgotten = [...this.#records.values()]
      .filter(
        ({ key, status }) =>
          (this.#storedSince.get(key) ?? monotonicNow) < before &&
          !running.includes(status),
      )
      .map(({ key }) => key);
    forgotten.forEach((key) => {
      this.#records.delete(key);
      this.#storedSince.delete(key);
    });
    return forgotten;
  }

  /**
   * As backup: proposes itself as primary, without a proof that the primary has ended.
   * After a planned handover the former primary becomes the backup, because it has all
   * records.
   */
  promote(
    options: { readonly keepPrimary?: boolean } = {},
  ): readonly SlotEffect[] {
    const entry = this.#entry;
    if (entry === undefined || entry.backup !== this.self) return [];
    return this.#propose({
      epoch: entry.epoch + 1,
      primary: this.self,
      backup: options.keepPrimary === true ? entry.primary : undefined,
      knownSince: entry.knownSince,
    });
  }

  /** As primary: copies all records to a host in order to make it the backup. */
  addLearner(host: HostId): readonly SlotEffect[] {
    const entry = this.#entry;
    if (entry?.primary !== this.self || this.#pending !== undefined) return [];
    if (host === this.self || host === entry.backup) return [];
    this.#learner = { host, complete: false };
    const message: SlotMessage = {
      kind: "learn",
      slot: this.slot,
      epoch: entry.epoch,
      records: [...this.#records.values()],
    };
    this.#awaitedHolders.forEach((hosts, key) => {
      const others = hosts.filter((other) => other !== host);
      this.#awaitedHolders.set(key, [...others, host]);
    });
    return [
      { kind: "send", to: host, message },
      ...this.#pendingClaimsTo(host),
    ];
  }

  /** As primary: stops copying to a host, unless it may already be the backup. */
  removeLearner(): readonly SlotEffect[] {
    const host = this.#learner?.host;
    if (host === undefined || this.#pending !== undefined) return [];
    this.#learner = undefined;
    return [...this.#awaitedHolders.keys()].flatMap((key) =>
      this.#onHeld(key, host),
    );
  }

  /** As primary: proposes the learner as backup once it has all records. */
  promoteLearner(): readonly SlotEffect[] {
    const entry = this.#entry;
    const learner = this.#learner;
    if (entry?.primary !== this.self || learner?.complete !== true) return [];
    return this.#propose({
      epoch: entry.epoch + 1,
      primary: this.self,
      backup: learner.host,
      knownSince: entry.knownSince,
    });
  }

  /** As primary: continues without a backup if no other host can be the backup. */
  dropBackup(): readonly SlotEffect[] {
    const entry = this.#entry;
    if (entry?.primary !== this.self || entry.backup === undefined) return [];
    if (this.#learner !== undefined) return [];
    return this.#propose({
      epoch: entry.epoch + 1,
      primary: this.self,
      backup: undefined,
      knownSince: entry.knownSince,
    });
  }

  /** As a host without a role: takes over a slot one of whose holders has ended. */
  takeOver(
    isGone: (host: HostId) => boolean,
    now: number,
  ): readonly SlotEffect[] {
    const entry = this.#entry;
    if (entry === undefined || this.role !== "none") return [];
    if (!this.#rules.canTakeOver(entry, isGone)) return [];
    return this.#propose({
      epoch: entry.epoch + 1,
      primary: this.self,
      backup: undefined,
      knownSince: Math.max(now, 1),
    });
  }

  /** As primary: asks the backup to become primary, before a planned stop. */
  handOver(): readonly SlotEffect[] {
    const entry = this.#entry;
    if (entry?.primary !== this.self || entry.backup === undefined) return [];
    const { slot } = this;
    return [
      {
        kind: "send",
        to: entry.backup,
        message: { kind: "promote", slot, epoch: entry.epoch },
      },
    ];
  }

  /** Handles a message of another host. */
  receive(from: HostId, message: SlotMessage): readonly SlotEffect[] {
    const handle = this.#handlers[message.kind] as (
      from: HostId,
      message: SlotMessage,
    ) => readonly SlotEffect[];
    return handle(from, message);
  }

  readonly #handlers: {
    readonly [Kind in SlotMessage["kind"]]: (
      from: HostId,
      message: Extract<SlotMessage, { readonly kind: Kind }>,
    ) => readonly SlotEffect[];
  } = {
    claim: (from, message) => this.#onClaim(from, message),
    claim_answer: (from, message) => this.#onClaimAnswer(from, message),
    status: (_from, message) => this.#onStatus(message),
    learn: (from, message) => this.#onLearn(from, message),
    learned: (from, message) => this.#onLearned(from, message.epoch),
    promote: (_from, message) =>
      message.epoch === this.#entry?.epoch
        ? this.promote({ keepPrimary: true })
        : [],
  };

  #onClaim(
    from: HostId,
    message: Extract<SlotMessage, { readonly kind: "claim" }>,
  ): readonly SlotEffect[] {
    const answer = this.#answerClaim(message.epoch, message.record);
    const { key } = message.record;
    if (answer === "held") this.#records.set(key, message.record);
    return [
      {
        kind: "send",
        to: from,
        message: {
          kind: "claim_answer",
          slot: this.slot,
          epoch: message.epoch,
          key,
          answer,
        },
      },
    ];
  }

  #answerClaim(epoch: number, claimed: KeyRecord): ClaimAnswer {
    if (!this.#rules.acceptsEpoch(epoch, this.#minimumEpoch))
      return "old_epoch";
    return this.#rules.answerClaim(this.#records.get(claimed.key), claimed);
  }

  #onClaimAnswer(
    from: HostId,
    message: Extract<SlotMessage, { readonly kind: "claim_answer" }>,
  ): readonly SlotEffect[] {
    const entry = this.#entry;
    if (message.answer === "old_epoch") {
      return [{ kind: "read_table", slot: this.slot }];
    }
    if (entry?.primary !== this.self) return [];
    if (!this.#rules.acceptsAnswer(message.epoch, entry.epoch)) return [];
    return message.answer === "held"
      ? this.#onHeld(message.key, from)
      : this.#markInDoubt(message.key);
  }

  #onStatus({
    key,
    status,
    epoch,
  }: Extract<SlotMessage, { readonly kind: "status" }>): readonly SlotEffect[] {
    const known = this.#records.get(key);
    if (known === undefined || epoch < this.#minimumEpoch) return [];
    if (known.status !== "done") this.#setStatus(key, status);
    return [];
  }

  #onLearn(
    from: HostId,
    message: Extract<SlotMessage, { readonly kind: "learn" }>,
  ): readonly SlotEffect[] {
    const { epoch, records } = message;
    if (!this.#rules.acceptsEpoch(epoch, this.#minimumEpoch)) return [];
    records
      .filter(({ key }) => this.#rules.acceptsRecord(this.#records.get(key)))
      .forEach((record) => this.#records.set(record.key, record));
    return [
      {
        kind: "send",
        to: from,
        message: { kind: "learned", slot: this.slot, epoch },
      },
    ];
  }

  #onLearned(from: HostId, epoch: number): readonly SlotEffect[] {
    if (this.#learner?.host !== from || epoch !== this.#entry?.epoch) return [];
    this.#learner = { host: from, complete: true };
    return this.promoteLearner();
  }

  /** Starts as primary: guarded keys without a final status become `in_doubt`. */
  #beginTenure(): readonly SlotEffect[] {
    const unsettled = this.keysWith(UNSETTLED_STATUSES).filter(
      (key) => this.#records.get(key)?.guarded === true,
    );
    unsettled.forEach((key) => this.#setStatus(key, "in_doubt"));
    this.#awaitedHolders.clear();
    this.#learner = undefined;
    return [{ kind: "taken_over", slot: this.slot }];
  }

  /** Handles the entry that follows one with this host as primary. */
  #observeAfterTenure(
    before: SlotEntry,
    entry: SlotEntry,
  ): readonly SlotEffect[] {
    this.#learner = undefined;
    if (this.#rules.retainsClaims(before, entry, this.self)) {
      return this.#repeatPendingClaims();
    }
    const inDoubt = [...this.#awaitedHolders.keys()].flatMap((key) =>
      this.#markInDoubt(key),
    );
    return entry.primary === this.self
      ? [...inDoubt, ...this.#beginTenure()]
      : inDoubt;
  }

  #repeatPendingClaims(): readonly SlotEffect[] {
    return [...this.#awaitedHolders.keys()].flatMap((key) => {
      const record = this.#records.get(key);
      return record === undefined ? [] : this.#claim(record);
    });
  }

  #claim(record: KeyRecord): readonly SlotEffect[] {
    const entry = this.#entry;
    if (entry?.primary !== this.self) return [];
    const holders = this.#rules.holders(entry, this.#learner?.host);
    if (holders.length === 0) {
      this.#awaitedHolders.delete(record.key);
      return this.#execute(record.key);
    }
    this.#awaitedHolders.set(record.key, holders);
    return holders.map((to) => this.#claimTo(to, record));
  }

  #pendingClaimsTo(host: HostId): readonly SlotEffect[] {
    return [...this.#awaitedHolders.keys()].flatMap((key) => {
      const record = this.#records.get(key);
      return record === undefined ? [] : [this.#claimTo(host, record)];
    });
  }

  #claimTo(to: HostId, record: KeyRecord): SlotEffect {
    return {
      kind: "send",
      to,
      message: {
        kind: "claim",
        slot: this.slot,
        epoch: this.#entry?.epoch ?? 0,
        record,
      },
    };
  }

  #onHeld(key: string, by: HostId): readonly SlotEffect[] {
    const missing = this.#awaitedHolders
      .get(key)
      ?.filter((host) => host !== by);
    if (missing === undefined) return [];
    if (missing.length > 0) {
      this.#awaitedHolders.set(key, missing);
      return [];
    }
    this.#awaitedHolders.delete(key);
    return this.#execute(key);
  }

  #execute(key: string): readonly SlotEffect[] {
    if (this.#records.get(key)?.status !== "claiming") return [];
    this.#setStatus(key, "sent");
    return [{ kind: "execute", key }];
  }

  #markInDoubt(key: string): readonly SlotEffect[] {
    this.#awaitedHolders.delete(key);
    if (this.#records.get(key)?.status !== "claiming") return [];
    this.#setStatus(key, "in_doubt");
    return [{ kind: "in_doubt", key }];
  }

  #propose(to: SlotEntry): readonly SlotEffect[] {
    if (this.#pending !== undefined) {
      return [{ kind: "propose", proposal: this.#pending }];
    }
    const proposal = { slot: this.slot, from: this.#entry, to };
    this.#pending = proposal;
    return [{ kind: "propose", proposal }];
  }

  #reportToHolders(key: string, status: KeyStatus): readonly SlotEffect[] {
    const entry = this.#entry;
    if (entry === undefined) return [];
    const holders = [
      entry.primary,
      ...this.#rules.holders(entry, this.#learner?.host),
    ].filter((host) => host !== this.self);
    return holders.map((to) => ({
      kind: "send",
      to,
      message: {
        kind: "status",
        slot: this.slot,
        epoch: entry.epoch,
        key,
        status,
      },
    }));
  }

  #setStatus(key: string, status: KeyStatus): void {
    const record = this.#records.get(key);
    if (record !== undefined) this.#records.set(key, { ...record, status });
  }
}
