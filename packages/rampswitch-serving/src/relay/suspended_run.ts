// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * A suspended run: it was stopped for a migration and only its memory is
 * retained. Decides at which servers it can resume, in which order and after which
 * pause. Pure: uses no sockets and no clock.
 *
 * @module
 */
import type { Choice, ServerRecord } from "../choice/mod.ts";
import type { MemorySource } from "../model/request.ts";

/** Maximum sends of one retained memory; with 0.5 rejected, 0.98 of runs resume. */
const MAXIMUM_TRIES = 6;

/**
 * Pause before the second try, in milliseconds; doubled for each further try. All
 * pauses together stay close to the maximum pause that callers accept.
 */
const FIRST_PAUSE_MILLISECONDS = 20;

/** One of this many tries prefers the server that stopped the run. */
const TRIES_PER_SOURCE_TRY = 3;

/**
 * The servers that hold the memory of a suspended run: these incarnations and no
 * others.
 */
export interface MemoryLocations {
  /** The server that received a copy, if any. */
  readonly copy: Choice | undefined;
  /** The server that stopped the run; it will soon leave. */
  readonly source: Choice;
}

/** The servers at which memory is to be freed. */
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

/** One suspended run and its retained memory. */
export class SuspendedRun {
  readonly memory: MemorySource;
  readonly #locations: MemoryLocations;
  readonly #unreachable = new Set<Choice>();
  #tries = 0;

  constructor(memory: MemorySource, locations: MemoryLocations) {
    this.memory = memory;
    this.#locations = locations;
  }

  /** Whether all tries were used. */
  get exhausted(): boolean {
    return this.#tries >= MAXIMUM_TRIES;
  }

  /** The servers at which the memory is to be freed. */
  get holders(): MemoryHolders {
    const { copy, source } = this.#locations;
    return { from: source.record, to: copy?.record };
  }

  /** Whether a server issued the handle, which then ends with its incarnation. */
  issuedHandle({ record }: Pick<Choice, "record">): boolean {
    return record === this.#locations.source.record;
  }

  /** Uses the next try at a server that accepts sends; `undefined` if none is left. */
  next(acceptsSends: (choice: Choice) => boolean): Continuation | undefined {
    if (this.exhausted) return undefined;
    const choice = this.#nextLocation(acceptsSends);
    if (choice === undefined) return undefined;
    const waitMilliseconds =
      this.#tries === 0 ? 0 : FIRST_PAUSE_MILLISECONDS * 2 ** (this.#tries - 1);
    this.#tries += 1;
    return { choice, waitMilliseconds };
  }

  /** Notes that the memory can no longer be used at a server. */
  markUnreachable(choice: Choice): void {
    this.#unreachable.add(choice);
  }

  #nextLocation(acceptsSends: (choice: Choice) => boolean): Choice | undefined {
    const { copy, source } = this.#locations;
    const sourceFirst = (this.#tries + 1) % TRIES_PER_SOURCE_TRY === 0;
    const order = sourceFirst ? [source, copy] : [copy, source];
    return order
      .filter((choice) => choice !== undefined)
      .find((choice) => !this.#unreachable.has(choice) && acceptsSends(choice));
  }
}
