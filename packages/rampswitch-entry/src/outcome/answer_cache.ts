// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Cache of answers in progress and of ended answers that callers may read
 * again. Ended answers are evicted by age and by size. An answer is a list of
 * numbered events.
 *
 * @module
 */
import {
  failed,
  type FailedRan,
  type FailureReason,
  type HostId,
  type Outcome,
} from "rampswitch-types";
import type { Clock, Metrics } from "rampswitch-utils";

/** Data needed to run a request, on this host or on another. */
export interface RequestEnvelope {
  readonly id: string;
  readonly slot: number;
  /**
   * Key in the slot protocol: the caller's key within its workspace, or the
   * id if the caller sent no key.
   */
  readonly key: string;
  readonly workspace: string;
  readonly service: string;
  readonly body: Buffer;
  /** Latest time for the answer, in milliseconds since the epoch. */
  readonly deadline: number;
  readonly streamed: boolean;
  /** Hash of the request; reusing a key with another hash is refused. */
  readonly fingerprint: string;
}

/** Receives the events of one answer. */
export interface AnswerReader {
  event(index: number, text: string): void;
  ended(outcome: Outcome): void;
  /**
   * Called when this host stops receiving the answer; another host may have
   * it.
   */
  lost?(): void;
}

/** An attempt of a request and the server that runs it. */
export interface RunningAttempt {
  readonly attempt: string;
  readonly server: string;
}

/** One answer, in progress or ended. */
export class Answer {
  readonly envelope: RequestEnvelope;
  /** Host that runs the request. */
  runner: HostId;
  attempt: RunningAttempt | undefined;
  /**
   * Number of leading events that are certain to equal those sent to the
   * caller. The later ones were computed again elsewhere and may differ. Absent
   * if all events are certain.
   */
  certainEvents: number | undefined;
  /** Number of callers connected to the answer. */
  callers = 0;
  readonly #cache: AnswerCache;
  readonly #events: string[] = [];
  #bytes = 0;
  #outcome: Outcome | undefined;
  #endedAt: number | undefined;
  #readers: readonly AnswerReader[] = [];

  constructor(cache: AnswerCache, envelope: RequestEnvelope, runner: HostId) {
    this.#cache = cache;
    this.envelope = envelope;
    this.runner = runner;
  }

  /** Events received so far. */
  get events(): readonly string[] {
    return this.#events;
  }

  /** Size of all events and of the request's body, in bytes. */
  get bytes(): number {
    return this.#bytes + this.envelope.body.length;
  }

  /** Outcome of the request; `undefined` while it runs. */
  get outcome(): Outcome | undefined {
    return this.#outcome;
  }

  /**
   * End of the answer, in milliseconds since the epoch; `undefined` while it
   * runs.
   */
  get endedAt(): number | undefined {
    return this.#endedAt;
  }

  /** Whether it may not grow further. */
  get isOverfull(): boolean {
    return this.#cache.isOverfull(this);
  }

  /** Number of readers that receive new events. */
  get readers(): number {
    return this.#readers.length;
  }

  /**
   * Adds events whose first one has the number `first`. Drops and counts
   * events that are already stored. Drops all events after a gap, and counts
   * the missing ones. Drops and counts all events after the answer's end.
   */
  append(first: number, events: readonly string[]): void {
    if (this.#outcome !== undefined) {
      this.#cache.metrics.count("drop", "former_attempt", events.length);
      return;
    }
    const known = Math.min(events.length, this.#events.length - first);
    if (known !== 0) {
      this.#cache.metrics.count("drop", "duplicate_event", Math.abs(known));
    }
    if (known < 0) return;
    events.slice(known).forEach((event) => this.#add(event));
  }

  /** Ends the answer; later calls have no effect. */
  end(outcome: Outcome): void {
    if (this.#outcome !== undefined) return;
    this.#outcome = outcome;
    this.#endedAt = this.#cache.clock.now();
    const readers = this.#readers;
    this.#readers = [];
    readers.forEach((reader) => reader.ended(outcome));
    this.#cache.onEnded(this);
  }

  /**
   * Passes all stored and future events after the number `after` to a reader;
   * returns a function that stops this. `after` may exceed the last stored
   * event: the reader then gets no event that it already has.
   */
  read(after: number, reader: AnswerReader): () => void {
    const follower: AnswerReader = {
      event: (index, text) => {
        if (index > after) reader.event(index, text);
      },
      ended: (outcome) => reader.ended(outcome),
      lost: () => reader.lost?.(),
    };
    this.#events.forEach((event, index) => follower.event(index, event));
    if (this.#outcome !== undefined) {
      follower.ended(this.#outcome);
      return () => undefined;
    }
    this.#readers = [...this.#readers, follower];
    return () => {
      this.#readers = this.#readers.filter((other) => other !== follower);
    };
  }

  /** Disconnects all readers, since this host no longer receives the answer. */
  disconnectReaders(): void {
    const readers = this.#readers;
    this.#readers = [];
    readers.forEach((reader) => reader.lost?.());
  }

  #add(event: string): void {
    const index = this.#events.length;
    this.#events.push(event);
    this.#bytes += event.length;
    this.#cache.addBytes(event.length);
    this.#readers.forEach((reader) => reader.event(index, event));
  }
}

/** Limits of an answer cache. */
export interface AnswerLimits {
  /** Maximum size of one ended answer, in bytes. */
  readonly answerBytes: number;
  /**
   * Size of all answers together above which ended ones are evicted, in
   * bytes.
   */
  readonly answersBytes: number;
  /** Time for which an ended answer is retained. */
  readonly retentionMilliseconds: number;
}

/** Workspace of an evicted answer and the reason for the eviction. */
export interface EvictedAnswer {
  readonly workspace: string;
  readonly reason: FailureReason;
}

/** Number of evicted answers whose reason is retained. */
const MAXIMUM_EVICTED_ENTRIES = 10_000;

/** All answers that one host stores. */
export class AnswerCache {
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly limits: AnswerLimits;
  readonly #answers = new Map<string, Answer>();
  readonly #idsByKey = new Map<string, string>();
  /** Ended answers, in the order of their ends. */
  readonly #ended = new Set<Answer>();
  readonly #evicted = new Map<string, EvictedAnswer>();
  #bytes = 0;

  constructor(clock: Clock, metrics: Metrics, limits: AnswerLimits) {
    this.clock = clock;
    this.metrics = metrics;
    this.limits = limits;
  }

  /** Number of stored answers and their size in bytes. */
  get size(): { readonly answers: number; readonly bytes: number } {
    return { answers: this.#answers.size, bytes: this.#bytes };
  }

  /** All answers, oldest first. */
  get all(): readonly Answer[] {
    return [...this.#answers.values()];
  }

  /** Creates an answer, or returns the stored one with the same id. */
  open(envelope: RequestEnvelope, runner: HostId): Answer {
    const known = this.#answers.get(envelope.id);
    if (known !== undefined) return known;
    const answer = new Answer(this, envelope, runner);
    this.#answers.set(envelope.id, answer);
    this.#idsByKey.set(envelope.key, envelope.id);
    this.addBytes(envelope.body.length);
    return answer;
  }

  /** Returns the answer to the request with an id. */
  byId(id: string): Answer | undefined {
    return this.#answers.get(id);
  }

  /** Returns the answer to the request with a key. */
  byKey(key: string): Answer | undefined {
    const id = this.#idsByKey.get(key);
    return id === undefined ? undefined : this.#answers.get(id);
  }

  /**
   * Returns why an answer was evicted; `undefined` if it was not, or if its
   * reason is no longer retained.
   */
  evicted(id: string): EvictedAnswer | undefined {
    return this.#evicted.get(id);
  }

  /** Adds the growth of an answer to the total size. */
  addBytes(bytes: number): void {
    this.#bytes += bytes;
  }

  /** Called when an answer ends; evicts ended answers over the limits. */
  onEnded(answer: Answer): void {
    if (!this.#answers.has(answer.envelope.id)) return;
    this.#ended.add(answer);
    if (answer.bytes > this.limits.answerBytes) {
      this.#evict(answer, "answer_too_large");
    }
    this.expire();
  }

  /**
   * Evicts expired answers, and the oldest ended ones if the total size is over
   * its limit.
   */
  expire(): void {
    const now = this.clock.now();
    for (const answer of this.#ended) {
      const age = now - (answer.endedAt ?? now);
      const expired = age > this.limits.retentionMilliseconds;
      if (!expired && this.#bytes <= this.limits.answersBytes) return;
      this.#evict(answer, "answer_expired");
    }
  }

  /**
   * Whether an answer in progress may not grow further: it is too large to be kept, and
   * all answers together are too large even without those that can be evicted.
   */
  isOverfull(answer: Answer): boolean {
    if (answer.bytes <= this.limits.answerBytes) return false;
    this.expire();
    return this.#bytes > this.limits.answersBytes;
  }

  /** Removes an answer without recording a reason. */
  discard(answer: Answer): void {
    this.#ended.delete(answer);
    if (!this.#answers.delete(answer.envelope.id)) return;
    if (this.#idsByKey.get(answer.envelope.key) === answer.envelope.id) {
      this.#idsByKey.delete(answer.envelope.key);
    }
    this.#bytes -= answer.bytes;
  }

  #evict(answer: Answer, reason: FailureReason): void {
    this.discard(answer);
    const { id, workspace } = answer.envelope;
    this.#evicted.set(id, { workspace, reason });
    this.metrics.count("answer_forgotten", reason);
    if (this.#evicted.size <= MAXIMUM_EVICTED_ENTRIES) return;
    const [oldest] = this.#evicted.keys();
    if (oldest !== undefined) this.#evicted.delete(oldest);
  }
}

/** Outcome reported for an evicted answer. */
export function evictedOutcome(reason: FailureReason): FailedRan {
  return failed(reason, "the answer was given and is no longer kept");
}
