// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Answers in progress and answers kept for callers who come back, bounded in
 * time and size. An answer is a list of numbered events.
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

/** What is needed to run a request, here or at another host. */
export interface RequestEnvelope {
  readonly id: string;
  readonly slot: number;
  /** The slot protocol's key: the caller's key within its workspace, or the
   * id. */
  readonly key: string;
  readonly workspace: string;
  readonly service: string;
  readonly body: Buffer;
  /** Milliseconds since the epoch. */
  readonly deadline: number;
  readonly streamed: boolean;
  /** Hash of the request; a key with another hash is refused. */
  readonly fingerprint: string;
}

/** Receives the events of one answer. */
export interface AnswerReader {
  event(index: number, text: string): void;
  ended(outcome: Outcome): void;
  /** This host can't follow the answer any more; another one may. */
  lost?(): void;
}

/** Where an attempt of a request runs. */
export interface RunningAttempt {
  readonly attempt: string;
  readonly server: string;
}

/** One answer, in progress or kept. */
export class Answer {
  readonly envelope: RequestEnvelope;
  /** Host that runs the request. */
  runner: HostId;
  attempt: RunningAttempt | undefined;
  /**
   * Number of events that are surely those the caller saw, where the rest was
   * computed again elsewhere; absent where all are.
   */
  certainEvents: number | undefined;
  /** Callers that read the answer now. */
  callers = 0;
  readonly #book: AnswerCache;
  readonly #events: string[] = [];
  #bytes = 0;
  #outcome: Outcome | undefined;
  #endedAt: number | undefined;
  #readers: readonly AnswerReader[] = [];

  constructor(book: AnswerCache, envelope: RequestEnvelope, runner: HostId) {
    this.#book = book;
    this.envelope = envelope;
    this.runner = runner;
  }

  /** Events so far. */
  get events(): readonly string[] {
    return this.#events;
  }

  /** Bytes of all events and of the request. */
  get bytes(): number {
    return this.#bytes + this.envelope.body.length;
  }

  /** How it ended; `undefined` while it runs. */
  get outcome(): Outcome | undefined {
    return this.#outcome;
  }

  /** When it ended, in milliseconds since the epoch. */
  get endedAt(): number | undefined {
    return this.#endedAt;
  }

  /** Readers that follow the answer. */
  get readers(): number {
    return this.#readers.length;
  }

  /**
   * Adds events from a number on. Known ones are dropped and counted, and so
   * are all after a gap.
   */
  append(first: number, events: readonly string[]): void {
    if (this.#outcome !== undefined) {
      this.#book.metrics.count("drop", "former_attempt", events.length);
      return;
    }
    const known = Math.min(events.length, this.#events.length - first);
    if (known !== 0) {
      this.#book.metrics.count("drop", "duplicate_event", Math.abs(known));
    }
    if (known < 0) return;
    events.slice(known).forEach((event) => this.#add(event));
  }

  /** Ends the answer; only the first end counts. */
  end(outcome: Outcome): void {
    if (this.#outcome !== undefined) return;
    this.#outcome = outcome;
    this.#endedAt = this.#book.clock.now();
    const readers = this.#readers;
    this.#readers = [];
    readers.forEach((reader) => reader.ended(outcome));
    this.#book.onEnded(this);
  }

  /**
   * Follows the answer from the event after `after`; returns a way to stop. A
   * reader may have more than this host holds yet: what it has is passed over.
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

  /** Sends readers away, since this host can't follow the answer any more. */
  sendReadersAway(): void {
    const readers = this.#readers;
    this.#readers = [];
    readers.forEach((reader) => reader.lost?.());
  }

  #add(event: string): void {
    const index = this.#events.length;
    this.#events.push(event);
    this.#bytes += event.length;
    this.#book.grew(event.length);
    this.#readers.forEach((reader) => reader.event(index, event));
  }
}

/** Limits of an answer book. */
export interface AnswerLimits {
  /** Bytes of one answer. */
  readonly answerBytes: number;
  /** Bytes of all answers together. */
  readonly answersBytes: number;
  /** How long an ended answer is kept. */
  readonly retentionMilliseconds: number;
}

/** An answer that was kept once and is gone, with the reason. */
export interface ForgottenAnswer {
  readonly workspace: string;
  readonly reason: FailureReason;
}

const FORGOTTEN_KEPT = 10_000;

/** All answers that one host holds. */
export class AnswerCache {
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly limits: AnswerLimits;
  readonly #answers = new Map<string, Answer>();
  readonly #idsByKey = new Map<string, string>();
  /** Ended answers, the first to end first. */
  readonly #ended = new Set<Answer>();
  readonly #forgotten = new Map<string, ForgottenAnswer>();
  #bytes = 0;

  constructor(clock: Clock, metrics: Metrics, limits: AnswerLimits) {
    this.clock = clock;
    this.metrics = metrics;
    this.limits = limits;
  }

  /** Answers held, and their bytes. */
  get size(): { readonly answers: number; readonly bytes: number } {
    return { answers: this.#answers.size, bytes: this.#bytes };
  }

  /** All answers, oldest first. */
  get all(): readonly Answer[] {
    return [...this.#answers.values()];
  }

  /** Starts an answer, or returns the one that is known by this id. */
  open(envelope: RequestEnvelope, runner: HostId): Answer {
    const known = this.#answers.get(envelope.id);
    if (known !== undefined) return known;
    const answer = new Answer(this, envelope, runner);
    this.#answers.set(envelope.id, answer);
    this.#idsByKey.set(envelope.key, envelope.id);
    this.grew(envelope.body.length);
    return answer;
  }

  /** The answer with an id. */
  byId(id: string): Answer | undefined {
    return this.#answers.get(id);
  }

  /** The answer to the request with a key. */
  byKey(key: string): Answer | undefined {
    const id = this.#idsByKey.get(key);
    return id === undefined ? undefined : this.#answers.get(id);
  }

  /** Why an answer that was here is gone. */
  forgotten(id: string): ForgottenAnswer | undefined {
    return this.#forgotten.get(id);
  }

  /** Counts bytes that an answer grew by. */
  grew(bytes: number): void {
    this.#bytes += bytes;
  }

  /** Called when an answer ends; frees what is over the limits. */
  onEnded(answer: Answer): void {
    if (!this.#answers.has(answer.envelope.id)) return;
    this.#ended.add(answer);
    if (answer.bytes > this.limits.answerBytes) {
      this.#forget(answer, "answer_too_large");
    }
    this.expire();
  }

  /** Forgets ended answers past their time, and the oldest over the size. */
  expire(): void {
    const now = this.clock.now();
    for (const answer of this.#ended) {
      const age = now - (answer.endedAt ?? now);
      const late = age > this.limits.retentionMilliseconds;
      if (!late && this.#bytes <= this.limits.answersBytes) return;
      this.#forget(answer, "answer_expired");
    }
  }

  /** Removes an answer that must not be found again. */
  discard(answer: Answer): void {
    this.#ended.delete(answer);
    if (!this.#answers.delete(answer.envelope.id)) return;
    if (this.#idsByKey.get(answer.envelope.key) === answer.envelope.id) {
      this.#idsByKey.delete(answer.envelope.key);
    }
    this.#bytes -= answer.bytes;
  }

  #forget(answer: Answer, reason: FailureReason): void {
    this.discard(answer);
    const { id, workspace } = answer.envelope;
    this.#forgotten.set(id, { workspace, reason });
    this.metrics.count("answer_forgotten", reason);
    if (this.#forgotten.size <= FORGOTTEN_KEPT) return;
    const [oldest] = this.#forgotten.keys();
    if (oldest !== undefined) this.#forgotten.delete(oldest);
  }
}

/** The outcome told for an answer that is no longer kept. */
export function forgottenOutcome(reason: FailureReason): FailedRan {
  return failed(reason, "the answer was given and is no longer kept");
}
