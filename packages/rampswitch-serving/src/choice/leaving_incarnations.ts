// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Lives of backend servers that said themselves that they leave. What a life said of
 * its end is final. Pure; times are on the steady clock of this host.
 *
 * @module
 */
import { nameOfLife, type ServerLife } from "../model/backend_server.ts";

/** A life that said that it leaves, for hosts without a common clock. */
export interface LeavingNews extends ServerLife {
  /** Milliseconds since a host read it. */
  readonly age: number;
}

/** Where a statement came from. */
export type LeavingOrigin =
  | "answer"
  | "peer"
  /** From the store, which tells all hosts. */
  | "entry";

interface LeavingLife extends ServerLife {
  readonly since: number;
  readonly origin: LeavingOrigin;
}

/** Time for which each statement is told to other hosts, in milliseconds. */
const TOLD_MILLISECONDS = 10_000;

/** Lives in one message, the newest first. */
const MOST_TOLD = 256;

/** Lives that are remembered. */
const MOST_KNOWN = 16_384;

/** Whether a statement is told to other hosts. */
const TOLD_ORIGINS: Readonly<
  Record<LeavingOrigin, (options: { readonly ownOnly: boolean }) => boolean>
> = {
  answer: () => true,
  peer: ({ ownOnly }) => !ownOnly,
  entry: () => false,
};

/** Lives that said that they leave. */
export class LeavingLives {
  readonly #known = new Map<string, LeavingLife>();

  /** When a life was first heard to say so; `undefined`: it was not. */
  since(life: ServerLife): number | undefined {
    return this.#known.size === 0
      ? undefined
      : this.#known.get(nameOfLife(life))?.since;
  }

  /** Notes what a life said; returns whether that is news. */
  said(
    { id, born }: ServerLife,
    statement: { readonly since: number; readonly origin: LeavingOrigin },
  ): boolean {
    const name = nameOfLife({ id, born });
    const known = this.#known.get(name);
    if (known !== undefined && known.since <= statement.since) return false;
    this.#known.set(name, { id, born, ...statement });
    this.#forgetOldest();
    return known === undefined;
  }

  /**
   * What to tell other hosts: what is young, and what is wanted longer; of what
   * other hosts told, only if asked.
   */
  news(
    now: number,
    options: {
      readonly ownOnly: boolean;
      isWantedLonger(life: ServerLife): boolean;
    },
  ): readonly LeavingNews[] {
    return [...this.#known.values()]
      .filter(({ origin }) => TOLD_ORIGINS[origin](options))
      .filter(
        (life) =>
          now - life.since < TOLD_MILLISECONDS || options.isWantedLonger(life),
      )
      .toSorted((left, right) => right.since - left.since)
      .slice(0, MOST_TOLD)
      .map(({ id, born, since }) => ({ id, born, age: now - since }));
  }

  #forgetOldest(): void {
    const [oldest] = this.#known.keys();
    if (this.#known.size <= MOST_KNOWN || oldest === undefined) return;
    this.#known.delete(oldest);
  }
}
