// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Removes the entries of hosts that are gone from the store, at the host that holds
 * the duties.
 *
 * @module
 */
import type { Clock, Logger } from "rampswitch-utils";
import type { ObjectStore } from "rampswitch-store";
import type { ServingMetrics } from "../observation/mod.ts";
import type { ListedHost } from "./fleet_hosts.ts";

/** Share of the writes that the store takes in a second, for one read of the list. */
const WRITES_SHARE = 1 / 10;

/** Time after a read of the list in which removals begin, in milliseconds. */
const REMOVING_MILLISECONDS = 1_000;

/** Dependencies of the removal. */
export interface GoneEntriesParts {
  readonly store: Pick<ObjectStore, "remove">;
  /** Prefix of the store keys of hosts. */
  readonly hostsPrefix: string;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: ServingMetrics;
  /** Whether this host holds the duties, and so removes entries of gone hosts. */
  holdsDuties(): boolean;
  /** Writes that the store takes from all hosts together, by second. */
  storeWritesPerSecond(): number;
}

/** Removes entries of hosts that are gone. */
export class GoneEntries {
  readonly #parts: GoneEntriesParts;
  readonly #isGone: (name: string) => boolean;

  constructor(parts: GoneEntriesParts, isGone: (name: string) => boolean) {
    this.#parts = parts;
    this.#isGone = isGone;
  }

  /** Removes some entries of gone hosts, until the store is slow or fails. */
  async remove(listed: readonly ListedHost[]): Promise<void> {
    const { clock } = this.#parts;
    const until = clock.now() + REMOVING_MILLISECONDS;
    const maximum = Math.floor(
      this.#parts.storeWritesPerSecond() * WRITES_SHARE,
    );
    await listed
      .filter(({ name }) => this.#isGone(name))
      .slice(0, Math.max(1, maximum))
      .reduce(
        async (previous, entry) =>
          (await previous) &&
          clock.now() < until &&
          (await this.#removeEntry(entry)),
        Promise.resolve(true),
      );
  }

  /** Removes one entry if it is unchanged; returns whether the store answered. */
  async #removeEntry({ name, version }: ListedHost): Promise<boolean> {
    const { store, hostsPrefix, logger, metrics } = this.#parts;
    // Either may have changed while the store answered.
    if (!this.#parts.holdsDuties()) return false;
    if (!this.#isGone(name)) return true;
    const removed = await store.remove(`${hostsPrefix}${name}`, version);
    const outcome = removed.isOk ? "removed" : removed.error.kind;
    metrics.event(`gone_host_${outcome}`);
    logger.info("entry of a gone host", { peer: name, outcome });
    return removed.isOk || removed.error.kind === "conflict";
  }
}
