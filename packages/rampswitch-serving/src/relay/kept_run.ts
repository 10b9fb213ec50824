// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * A run that was stopped and lives on in kept memory only: the servers at which
 * it can go on, in which order and after which pause. Pure; no sockets, no time.
 *
 * @module
 */
import type { Choice, ServerRecord } from "../choice/mod.ts";
import type { MemorySource } from "../model/request.ts";

/** Sends of one kept memory, at most; with 0.5 turned away 0.98 go on. */
const MAXIMUM_TRIES = 6;

/**
 * Pause before the second try, in milliseconds; doubled with each further one.
 * All pauses together stay near the longest pause that callers accept.
 */
const FIRST_PAUSE_MILLISECONDS = 20;

/** One of this many tries goes to the server that stopped the run. */
const TRIES_FOR_EACH_AT_SOURCE = 3;

/**
 * Where the memory of a stopped run lies: at these lives of servers, and at no
 * others.
 */
export interface KeptPlaces {
  /** The server that got a copy, where there is one. */
  readonly copy: Choice | undefined;
  /** The server that stopped the run; it is about to leave. */
  readonly source: Choice;
}

/** The servers that hold memory, to free it. */
export interface MemoryHolders {
  readonly from: ServerRecord;
  readonly to: ServerRecord | undefined;
}

/** The next send that carries the memory. */
export interface Continuation {
  readonly choice: Choice;
  /** Pause before it, in milliseconds. */
  readonly waitMilliseconds: number;
}

/** The memory of one stopped run. */
export class KeptRun {
  readonly memory: MemorySource;
  readonly #places: KeptPlaces;
  readonly #unreachable = new Set<Choice>();
  #tries = 0;

  constructor(memory: MemorySource, places: KeptPlaces) {
    this.memory = memory;
    this.#places = places;
  }

  /** Whether all tries were taken. */
  get exhausted(): boolean {
    return this.#tries >= MAXIMUM_TRIES;
  }

  /** Where the memory lies, to free it. */
  get holders(): MemoryHolders {
    const { copy, source } = this.#places;
    return { from: source.record, to: copy?.record };
  }

  /** Whether a server gave the handle, so that its life alone knows it. */
  gaveHandle({ record }: Pick<Choice, "record">): boolean {
    return record === this.#places.source.record;
  }

  /** Takes the next try at a server that still takes sends, if any is left. */
  next(takesSends: (choice: Choice) => boolean): Continuation | undefined {
    if (this.exhausted) return undefined;
    const choice = this.#nextPlace(takesSends);
    if (choice === undefined) return undefined;
    const waitMilliseconds =
      this.#tries === 0 ? 0 : FIRST_PAUSE_MILLISECONDS * 2 ** (this.#tries - 1);
    this.#tries += 1;
    return { choice, waitMilliseconds };
  }

  /** The memory can't be used at a server any more. */
  unreachable(choice: Choice): void {
    this.#unreachable.add(choice);
  }

  #nextPlace(takesSends: (choice: Choice) => boolean): Choice | undefined {
    const { copy, source } = this.#places;
    const sourceFirst = (this.#tries + 1) % TRIES_FOR_EACH_AT_SOURCE === 0;
    const order = sourceFirst ? [source, copy] : [copy, source];
    return order
      .filter((choice) => choice !== undefined)
      .find((choice) => !this.#unreachable.has(choice) && takesSends(choice));
  }
}
