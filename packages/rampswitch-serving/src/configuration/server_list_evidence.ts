// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Compares a host's list of servers with those of other hosts and with the store.
 *
 * @module
 */
import type { Watcher } from "rampswitch-store";
import type { Clock } from "rampswitch-utils";
import { ListConfirmations } from "./list_confirmations.ts";

/** How new a host's list of servers is, in positions of the store's history. */
export interface ServerListState {
  /** Position up to which all changes of servers are known. */
  readonly version: number;
  /** Position of the newest change that any host reported. */
  readonly newestHeard: number;
  /** Latest time up to which the list certainly has all changes, on the monotonic clock. */
  readonly confirmedAt: number;
  /**
   * When the list was last known to be current, on the monotonic clock. A change that is
   * read now may have been made at any time since.
   */
  readonly currentAt: number;
}

/**
 * Time without an answer of the store after which the list may lack changes, in
 * milliseconds; longer than the time between two answers of a store that serves.
 */
const SILENCE_MILLISECONDS = 2_600;

/**
 * Time from the store's first answer in which changes are read that were made while it
 * was silent, in milliseconds.
 */
const CATCH_UP_MILLISECONDS = 3_000;

/** A time in which the store didn't answer, on the monotonic clock. */
interface StoreSilence {
  readonly from: number;
  readonly until: number;
}

/** What shows how new a list of servers is. */
export class ServerListEvidence {
  readonly #list: Watcher;
  readonly #confirmations: ListConfirmations;
  readonly #clock: Clock;
  #newestHeard = 0;
  /** Since when another host has a newer list, on the monotonic clock. */
  #behindSince: number | undefined;
  /** Send time of the newest call that the store answered; `undefined` before the first. */
  #confirmedAt: number | undefined;
  /** Those whose changes may still be read. */
  #silences: readonly StoreSilence[] = [];

  constructor(list: Watcher, clock: Clock) {
    this.#list = list;
    this.#clock = clock;
    this.#confirmations = new ListConfirmations({
      clock,
      confirm: () => list.confirm(),
    });
  }

  /** How new the list is. */
  get state(): ServerListState {
    const { version, newestChange, confirmedAt } = this.#list;
    const newestHeard = Math.max(newestChange, this.#newestHeard);
    const currentAt = this.#currentAt;
    return { version, newestHeard, confirmedAt, currentAt };
  }

  /** Notes the newest change of a server that another host reported. */
  heard(newestChange: number): void {
    this.#endLag();
    this.#newestHeard = Math.max(this.#newestHeard, newestChange);
    if (this.#isBehind) this.#behindSince ??= this.#clock.now();
  }

  /** Notes that the store answered this host or a peer; `at`: when that call was sent. */
  confirmed(at: number): void {
    this.#endLag();
    const from = this.#confirmedAt ?? at;
    if (at - from >= SILENCE_MILLISECONDS) {
      const silence = { from, until: this.#clock.now() };
      this.#silences = [...this.#recentSilences, silence];
    }
    this.#confirmedAt = Math.max(from, at);
  }

  /**
   * Asks the store whether the list is current; resolves to whether it has all changes
   * up to this call.
   */
  confirm(): Promise<boolean> {
    return this.#confirmations.confirm();
  }

  get #isBehind(): boolean {
    return this.#newestHeard > this.#list.version;
  }

  /**
   * Ends the time in which the list is behind once it has caught up. It is called later
   * than the changes are read that were lacking, since these count from its start.
   */
  #endLag(): void {
    if (!this.#isBehind) this.#behindSince = undefined;
  }

  get #currentAt(): number {
    const now = this.#clock.now();
    return Math.min(now, this.#behindSince ?? now, this.#silentSince ?? now);
  }

  /** Since when the store is silent, or was until a moment ago. */
  get #silentSince(): number | undefined {
    const now = this.#clock.now();
    const confirmedAt = this.#confirmedAt ?? now;
    const isSilent = now - confirmedAt >= SILENCE_MILLISECONDS;
    // The earliest silence comes first.
    return (
      this.#recentSilences[0]?.from ?? (isSilent ? confirmedAt : undefined)
    );
  }

  get #recentSilences(): readonly StoreSilence[] {
    const now = this.#clock.now();
    return this.#silences.filter(
      ({ until }) => now - until < CATCH_UP_MILLISECONDS,
    );
  }
}
