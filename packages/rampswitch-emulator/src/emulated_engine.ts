// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * An engine that runs requests in one batch: each step makes a token of every
 * running request and reads a piece of one prompt. Parts of prompts that were
 * read stay in its memory, the least recently used ones go first.
 *
 * @module
 */
import type { DrawnRequest, EngineShape } from "./fleet_shape.ts";

/** A request at an engine. */
export interface EngineRequest {
  readonly drawn: DrawnRequest;
  /** Urgency at the engine; 0 is the most urgent. */
  readonly priority: number;
  /** The first part of the answer was made. */
  onFirstPart(at: number): void;
  onEnd(at: number): void;
}

interface Running {
  readonly request: EngineRequest;
  unread: number;
  answerLeft: number;
  begun: boolean;
}

/** Tokens read anew although they had been read before. */
export interface ReadTokens {
  read: number;
  readAgain: number;
}

/** One engine in simulated time. */
export class EmulatedEngine {
  readonly tokens: ReadTokens = { read: 0, readAgain: 0 };
  readonly #shape: EngineShape;
  /** Parts that any engine has read, to count what is read again. */
  readonly #everRead: Set<string>;
  readonly #kept = new Map<string, number>();
  #keptTokens = 0;
  #waiting: readonly EngineRequest[] = [];
  #running: readonly Running[] = [];

  constructor(shape: EngineShape, everRead: Set<string>) {
    this.#shape = shape;
    this.#everRead = everRead;
  }

  get running(): number {
    return this.#running.length;
  }

  get waiting(): number {
    return this.#waiting.length;
  }

  /** Whether a step has anything to do. */
  get isBusy(): boolean {
    return this.running + this.waiting > 0;
  }

  /** Takes a request into the queue. */
  take(request: EngineRequest): void {
    const later = this.#waiting.findIndex(
      (other) => other.priority > request.priority,
    );
    this.#waiting =
      later < 0
        ? [...this.#waiting, request]
        : this.#waiting.toSpliced(later, 0, request);
  }

  /** Time that the next step takes, in milliseconds. */
  stepMilliseconds(): number {
    this.#admit();
    const piece = Math.min(
      this.#shape.pieceTokens,
      this.#reading()?.unread ?? 0,
    );
    return (
      this.#shape.stepMilliseconds +
      this.#shape.stepMillisecondsPerSlot * this.running +
      piece / this.#shape.readTokensPerMillisecond
    );
  }

  /** Ends a step that `stepMilliseconds` began. */
  endStep(now: number): void {
    const reading = this.#reading();
    this.#running
      .filter((one) => one !== reading && one.unread === 0)
      .forEach((one) => this.#makeToken(one, now));
    if (reading !== undefined) {
      reading.unread = Math.max(0, reading.unread - this.#shape.pieceTokens);
      if (reading.unread === 0) this.#makeToken(reading, now);
    }
    this.#running = this.#running.filter(({ answerLeft }) => answerLeft > 0);
  }

  #reading(): Running | undefined {
    return this.#running.find(({ unread }) => unread > 0);
  }

  #admit(): void {
    const free = Math.max(0, this.#shape.slots - this.running);
    const admitted = this.#waiting.slice(0, free);
    this.#waiting = this.#waiting.slice(free);
    this.#running = [
      ...this.#running,
      ...admitted.map((request) => ({
        request,
        unread: Math.max(1, this.#unread(request.drawn)),
        answerLeft: request.drawn.answerTokens,
        begun: false,
      })),
    ];
  }

  #unread({ sharedPart, sharedTokens, ownTokens }: DrawnRequest): number {
    const kept = this.#kept.get(sharedPart) ?? 0;
    if (kept === 0) {
      this.tokens.read += sharedTokens;
      if (this.#everRead.has(sharedPart)) this.tokens.readAgain += sharedTokens;
    }
    this.#everRead.add(sharedPart);
    this.#keep(sharedPart, sharedTokens);
    this.#keep(`own-${this.tokens.read}-${ownTokens}`, ownTokens);
    this.tokens.read += ownTokens;
    return kept > 0 ? ownTokens : sharedTokens + ownTokens;
  }

  #keep(part: string, tokens: number): void {
    this.#keptTokens += tokens - (this.#kept.get(part) ?? 0);
    this.#kept.delete(part);
    this.#kept.set(part, tokens);
    while (this.#keptTokens > this.#shape.memoryTokens * CACHE_SHARE) {
      const oldest = this.#kept.entries().next().value;
      if (oldest === undefined) return;
      this.#kept.delete(oldest[0]);
      this.#keptTokens -= oldest[1];
    }
  }

  #makeToken(one: Running, now: number): void {
    if (!one.begun) {
      one.begun = true;
      one.request.onFirstPart(now + this.#shape.firstMilliseconds);
    }
    one.answerLeft = Math.max(0, one.answerLeft - 1);
    if (one.answerLeft === 0) one.request.onEnd(now);
  }
}

/** Share of the memory that is left for parts that no request uses. */
const CACHE_SHARE = 0.7;
