// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Incarnations of backend servers that advertised that they leave. An incarnation
 * can't withdraw the announcement of its end. Pure; times are in milliseconds on the
 * monotonic clock of this host.
 *
 * @module
 */
import {
  incarnationId,
  type ServerIncarnation,
} from "../model/backend_server.ts";

/**
 * An incarnation that advertised that it leaves, in a message to another host. It
 * holds an age since hosts have no common clock.
 */
export interface LeavingUpdate extends ServerIncarnation {
  /** Milliseconds since a host read the advertisement. */
  readonly age: number;
}

/** Where the announcement of an incarnation's end came from. */
export type LeavingOrigin =
  /** The server advertised it in an answer to this host. */
  | "answer"
  /** Another host reported it. */
  | "peer"
  /** The incarnation's entry in the store, which all hosts read. */
  | "entry";

interface LeavingIncarnation extends ServerIncarnation {
  readonly since: number;
  readonly origin: LeavingOrigin;
}

/** Time for which an incarnation is reported to other hosts, in milliseconds. */
const REPORT_LIFETIME_MILLISECONDS = 10_000;

/** Maximum incarnations in one message, the newest first. */
const MAXIMUM_UPDATES_PER_MESSAGE = 256;

/** Maximum incarnations that are stored. */
const MAXIMUM_INCARNATIONS = 16_384;

/** Whether an incarnation is reported to other hosts, by its origin. */
const IS_REPORTED: Readonly<
  Record<LeavingOrigin, (options: { readonly ownOnly: boolean }) => boolean>
> = {
  answer: () => true,
  peer: ({ ownOnly }) => !ownOnly,
  entry: () => false,
};

/** Incarnations that advertised that they leave. */
export class LeavingIncarnations {
  readonly #known = new Map<string, LeavingIncarnation>();

  /** When an incarnation first advertised that it leaves; `undefined` if it did not. */
  since(incarnation: ServerIncarnation): number | undefined {
    return this.#known.size === 0
      ? undefined
      : this.#known.get(incarnationId(incarnation))?.since;
  }

  /**
   * Adds an incarnation; returns whether it was unknown. The earliest time is stored.
   */
  add(
    { id, born }: ServerIncarnation,
    advertised: { readonly since: number; readonly origin: LeavingOrigin },
  ): boolean {
    const name = incarnationId({ id, born });
    const known = this.#known.get(name);
    if (known !== undefined && known.since <= advertised.since) return false;
    this.#known.set(name, { id, born, ...advertised });
    this.#forgetOldest();
    return known === undefined;
  }

  /**
   * Returns what to report to other hosts: recent incarnations and those still needed.
   * With `ownOnly`, leaves out incarnations that other hosts reported.
   */
  updates(
    now: number,
    options: {
      readonly ownOnly: boolean;
      isStillNeeded(incarnation: ServerIncarnation): boolean;
    },
  ): readonly LeavingUpdate[] {
    return [...this.#known.values()]
      .filter(({ origin }) => IS_REPORTED[origin](options))
      .filter(
        (incarnation) =>
          now - incarnation.since < REPORT_LIFETIME_MILLISECONDS ||
          options.isStillNeeded(incarnation),
      )
      .toSorted((left, right) => right.since - left.since)
      .slice(0, MAXIMUM_UPDATES_PER_MESSAGE)
      .map(({ id, born, since }) => ({ id, born, age: now - since }));
  }

  #forgetOldest(): void {
    const [oldest] = this.#known.keys();
    if (this.#known.size <= MAXIMUM_INCARNATIONS || oldest === undefined)
      return;
    this.#known.delete(oldest);
  }
}
