// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Servers that only other hosts reach, and the trials by which this host finds that
 * its own links are back.
 *
 * @module
 */
import {
  type Clock,
  jitter,
  type Logger,
  type Random,
  runInBackground,
} from "rampswitch-utils";
import type { ServerContacts } from "../reach/mod.ts";
import type { ServerAddress } from "../attempt/mod.ts";

/** Time until the first trial, in milliseconds; it doubles with each that fails. */
const FIRST_TRIAL_MILLISECONDS = 500;

/** Maximum time between two trials, in milliseconds. */
const MAXIMUM_TRIAL_MILLISECONDS = 2_000;

/** Time from a trial that succeeded to the trial of the next server, in milliseconds. */
const NEXT_TRIAL_MILLISECONDS = 20;

/** Dependencies of the detours. */
export interface DetoursParts {
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly contacts: Pick<ServerContacts, "heardSince">;
  /** Whether a new connection to a server comes up. */
  connects(server: ServerAddress): Promise<boolean>;
  /** Called when a first server is found that only other hosts reach. */
  onLost(): void;
}

interface Detour {
  readonly server: ServerAddress;
  readonly since: number;
}

/** The servers that only other hosts reach. */
export class Detours {
  readonly #parts: DetoursParts;
  readonly #detours = new Map<string, Detour>();
  #failedTrials = 0;
  #cancelTrial: (() => void) | undefined;
  #isStopped = false;

  constructor(parts: DetoursParts) {
    this.#parts = parts;
  }

  /** Number of these servers. */
  get size(): number {
    return this.#detours.size;
  }

  /** Whether only other hosts reach a server. */
  has(id: string): boolean {
    const detour = this.#detours.get(id);
    if (detour === undefined) return false;
    if (!this.#parts.contacts.heardSince(id, detour.since)) return true;
    this.#detours.delete(id);
    return false;
  }

  /** Records that another host reached a server that this one did not. */
  add(server: ServerAddress): void {
    if (this.has(server.id)) return;
    const isFirst = this.#detours.size === 0;
    const since = this.#parts.clock.now();
    this.#detours.set(server.id, { server, since });
    if (!isFirst) return;
    this.#failedTrials = 0;
    this.#parts.onLost();
    this.#scheduleTrial(FIRST_TRIAL_MILLISECONDS);
  }

  /** Drops a server: it has ended, or no host reaches it. */
  delete(id: string): void {
    this.#detours.delete(id);
  }

  /** Ends the trials. */
  stop(): void {
    this.#isStopped = true;
    this.#cancelTrial?.();
  }

  #scheduleTrial(milliseconds: number): void {
    this.#cancelTrial?.();
    if (this.#isStopped) return;
    this.#cancelTrial = this.#parts.clock.after(
      jitter(this.#parts.random, milliseconds),
      () => runInBackground("trial of a link", this.#parts, () => this.#try()),
    );
  }

  async #try(): Promise<void> {
    const ids = [...this.#detours.keys()].filter((id) => this.has(id));
    const drawn = Math.floor(this.#parts.random.next() * ids.length);
    const detour = this.#detours.get(ids[drawn] ?? "");
    if (detour === undefined) return;
    const connects = await this.#parts.connects(detour.server);
    this.#failedTrials = connects ? 0 : this.#failedTrials + 1;
    const backOff = Math.min(
      MAXIMUM_TRIAL_MILLISECONDS,
      FIRST_TRIAL_MILLISECONDS * 2 ** this.#failedTrials,
    );
    this.#scheduleTrial(connects ? NEXT_TRIAL_MILLISECONDS : backOff);
  }
}
