// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Removes the entries of hosts that are gone from the store, at the host that holds
 * the duties.
 *
 * @module
 */
import type { Logger } from "rampswitch-utils";
import type { ObjectStore } from "rampswitch-store";
import type { ServingMetrics } from "../observation/mod.ts";
import type { ListedHost } from "./fleet_hosts.ts";

/** Maximum number of entries that are removed after one read of the list. */
const REMOVALS_EACH_LIST = 40;

/** Dependencies of the removal. */
export interface GoneEntriesParts {
  readonly store: Pick<ObjectStore, "remove">;
  /** Prefix of the store keys of hosts. */
  readonly hostsPrefix: string;
  readonly logger: Logger;
  readonly metrics: ServingMetrics;
  /** Whether this host may act for the fleet now. */
  holdsDuties(): boolean;
}

/** Removes entries of hosts that are gone. */
export class GoneEntries {
  readonly #parts: GoneEntriesParts;
  readonly #isGone: (name: string) => boolean;

  constructor(parts: GoneEntriesParts, isGone: (name: string) => boolean) {
    this.#parts = parts;
    this.#isGone = isGone;
  }

  /** Removes some entries of gone hosts, until the store fails to answer. */
  async remove(listed: readonly ListedHost[]): Promise<void> {
    if (!this.#parts.holdsDuties()) return;
    await listed
      .filter(({ name }) => this.#isGone(name))
      .slice(0, REMOVALS_EACH_LIST)
      .reduce(
        async (previous, entry) =>
          (await previous) && (await this.#removeEntry(entry)),
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
