// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * A model engine without sockets and clocks: continuous batching, chunked
 * prefill, priorities and a limited cache of prompt prefixes. The HTTP stand-in
 * and the policy measurement both run it.
 *
 * @module
 */

/** Speeds and sizes of an engine. */
export interface EngineProfile {
  /** Requests that are decoded in one batch. */
  readonly batchSize: number;
  /** Milliseconds of each step. */
  readonly stepMilliseconds: number;
  /** Milliseconds added to a step for each request in the batch. */
  readonly perRequestMilliseconds: number;
  /** Milliseconds added to a step for each prompt token computed. */
  readonly perPromptTokenMilliseconds: number;
  /** Prompt tokens computed in one step at most. */
  readonly prefillTokensPerStep: number;
  /** Tokens in a block of the prefix cache. */
  readonly blockTokens: number;
  /** Blocks that the prefix cache holds. */
  readonly cacheBlocks: number;
}

/** An engine of moderate size. */
export const DEFAULT_ENGINE_PROFILE: EngineProfile = {
  batchSize: 16,
  stepMilliseconds: 10,
  perRequestMilliseconds: 0.4,
  perPromptTokenMilliseconds: 0.05,
  prefillTokensPerStep: 512,
  blockTokens: 16,
  cacheBlocks: 4096,
};

/** A request as the engine runs it. */
export interface EngineRequest {
  readonly attempt: string;
  /** Hash of each full block of the prompt, each covering all before it. */
  readonly blocks: readonly string[];
  /** Tokens to compute before the first new one, cached or not. */
  readonly promptTokens: number;
  /** Index of the first token to generate. */
  readonly firstToken: number;
  /** Index after the last token to generate. */
  readonly endToken: number;
  /** Higher goes first. */
  readonly priority: number;
}

/** A token that was generated. */
export interface EngineToken {
  readonly attempt: string;
  readonly index: number;
  readonly last: boolean;
}

/** What one step did. */
export interface EngineStep {
  readonly milliseconds: number;
  readonly tokens: readonly EngineToken[];
}

/** Load as the engine reports it. */
export interface EngineLoad {
  readonly running: number;
  readonly waiting: number;
  /** Prompt tokens that are not computed yet. */
  readonly promptTokensWaiting: number;
}

/** A change of the prefix cache. */
export interface CacheEvent {
  readonly sequence: number;
  readonly kind: "stored" | "evicted";
  readonly block: string;
}

interface Sequence {
  readonly request: EngineRequest;
  readonly remainingPrompt: number;
  readonly next: number;
}

/** State of one engine. */
export class EngineModel {
  readonly profile: EngineProfile;
  readonly #cache = new Map<string, true>();
  #running: readonly Sequence[] = [];
  #waiting: readonly EngineRequest[] = [];
  #sequence = 0;
  #events: CacheEvent[] = [];
  #cachedTokens = 0;
  #computedTokens = 0;

  constructor(profile: EngineProfile = DEFAULT_ENGINE_PROFILE) {
    this.profile = profile;
  }

  /** Prompt tokens found in the cache, and computed, since the start. */
  get promptTokens(): { readonly cached: number; readonly computed: number } {
    return { cached: this.#cachedTokens, computed: this.#computedTokens };
  }

  /** Whether there is nothing to do. */
  get idle(): boolean {
    return this.#running.length === 0 && this.#waiting.length === 0;
  }

  /** Load at this moment. */
  get load(): EngineLoad {
    return {
      running: this.#running.length,
      waiting: this.#waiting.length,
      promptTokensWaiting:
        this.#waiting.reduce((sum, request) => sum + request.promptTokens, 0) +
        this.#running.reduce(
          (sum, { remainingPrompt }) => sum + remainingPrompt,
          0,
        ),
    };
  }

  /** Queues a request behind those of equal or higher priority. */
  submit(request: EngineRequest): void {
    const at = this.#waiting.findIndex(
      (other) => other.priority < request.priority,
    );
    this.#waiting =
      at < 0
        ? [...this.#waiting, request]
        : this.#waiting.toSpliced(at, 0, request);
  }

  /** Ends a request; tells whether it was there. */
  cancel(attempt: string): boolean {
    const before = this.#running.length + this.#waiting.length;
    this.#running = this.#running.filter(
      ({ request }) => request.attempt !== attempt,
    );
    this.#waiting = this.#waiting.filter(
      (request) => request.attempt !== attempt,
    );
    return this.#running.length + this.#waiting.length < before;
  }

  /** Forgets the prefix cache, as a restart does. */
  clearCache(): void {
    this.#cache.clear();
  }

  /** Puts blocks into the cache, as an import of KV cache does. */
  store(blocks: readonly string[]): void {
    blocks.forEach((block) => this.#touch(block));
  }

  /** Blocks at the start of the list that are cached. */
  cachedBlocks(blocks: readonly string[]): number {
    const missing = blocks.findIndex((block) => !this.#cache.has(block));
    return missing < 0 ? blocks.length : missing;
  }

  /** Cache events after a sequence number. */
  cacheEvents(after: number): readonly CacheEvent[] {
    return this.#events.filter((event) => event.sequence > after);
  }

  /** Runs one step of the batch. */
  step(): EngineStep {
    this.#admit();
    const prefill = this.#prefill();
    const decoded = this.#running.filter(
      ({ remainingPrompt }) => remainingPrompt === 0,
    );
    const tokens = decoded.map(({ request, next }) => ({
      attempt: request.attempt,
      index: next,
      last: next + 1 >= request.endToken,
    }));
    const milliseconds =
      this.profile.stepMilliseconds +
      this.profile.perRequestMilliseconds * this.#running.length +
      this.profile.perPromptTokenMilliseconds * prefill;
    this.#running = this.#running
      .map((sequence) =>
        sequence.remainingPrompt === 0
          ? { ...sequence, next: sequence.next + 1 }
          : sequence,
      )
      .filter(({ request, next }) => next < request.endToken);
    return { milliseconds, tokens };
  }

  #admit(): void {
    const free = this.profile.batchSize - this.#running.length;
    const admitted = this.#waiting.slice(0, free);
    if (admitted.length === 0) return;
    this.#waiting = this.#waiting.slice(free);
    this.#running = [
      ...this.#running,
      ...admitted.map((request) => this.#start(request)),
    ];
  }

  #start(request: EngineRequest): Sequence {
    const cached = Math.min(
      request.promptTokens,
      this.cachedBlocks(request.blocks) * this.profile.blockTokens,
    );
    this.#cachedTokens += cached;
    this.#computedTokens += request.promptTokens - cached;
    this.store(request.blocks);
    return {
      request,
      remainingPrompt: request.promptTokens - cached,
      next: request.firstToken,
    };
  }

  #prefill(): number {
    let budget = this.profile.prefillTokensPerStep;
    this.#running = this.#running.map((sequence) => {
      const computed = Math.min(budget, sequence.remainingPrompt);
      budget -= computed;
      return computed === 0
        ? sequence
        : {
            ...sequence,
            remainingPrompt: sequence.remainingPrompt - computed,
          };
    });
    return this.profile.prefillTokensPerStep - budget;
  }

  #touch(block: string): void {
    const known = this.#cache.delete(block);
    this.#cache.set(block, true);
    if (!known) this.#publish("stored", block);
    if (this.#cache.size <= this.profile.cacheBlocks) return;
    const [oldest] = this.#cache.keys();
    if (oldest === undefined) return;
    this.#cache.delete(oldest);
    this.#publish("evicted", oldest);
  }

  #publish(kind: CacheEvent["kind"], block: string): void {
    this.#sequence += 1;
    this.#events.push({ sequence: this.#sequence, kind, block });
    if (this.#events.length > 2 * KEPT_EVENTS) {
      this.#events = this.#events.slice(-KEPT_EVENTS);
    }
  }
}

const KEPT_EVENTS = 512;
