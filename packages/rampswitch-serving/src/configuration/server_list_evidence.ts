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
  /** Position of the newest change of a server that this host has received. */
  readonly newestChange: number;
  /** Position of the newest change that any host reported. */
  readonly newestHeard: number;
  /** Latest time up to which the list certainly has all changes, on the monotonic clock. */
  readonly confirmedAt: number;
}

/** What shows how new a list of servers is. */
export class ServerListEvidence {
  readonly #list: Watcher;
  readonly #confirmations: ListConfirmations;
  #newestHeard = 0;

  constructor(list: Watcher, clock: Clock) {
    this.#list = list;
    this.#confirmations = new ListConfirmations({
      clock,
      confirm: () => list.confirm(),
    });
  }

  /** How new the list is. */
  get state(): ServerListState {
    const { version, newestChange, confirmedAt } = this.#list;
    const newestHeard = Math.max(newestChange, this.#newestHeard);
    return { version, newestChange, newestHeard, confirmedAt };
  }

  /** Notes the newest change of a server that another host reported. */
  heard(newestChange: number): void {
    this.#newestHeard = Math.max(this.#newestHeard, newestChange);
  }

  /**
   * Asks the store whether the list is current; resolves to whether it has all changes
   * up to this call.
   */
  confirm(): Promise<boolean> {
    return this.#confirmations.confirm();
  }
}
