// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Servers whose entries were removed from the store. Entries expire during an
 * outage of the store, because servers can't renew them. After an outage, a
 * server is therefore reported as gone only if its entry does not reappear.
 *
 * @module
 */
import type { Clock, Logger } from "rampswitch-utils";

/**
 * Time after an outage of the store in which expired entries reappear, in
 * milliseconds. The platform's users stated the value.
 */
const REAPPEARANCE_WAIT_MILLISECONDS = 2_000;

/** Delays the report of removed entries after an outage of the store. */
export class LapsedServers {
  readonly #parts: { readonly clock: Clock; readonly logger: Logger };
  readonly #onGone: (id: string) => void;
  readonly #removed = new Set<string>();
  #storeUnavailable = false;
  /** When the store last answered again after an outage. */
  #storeReturnedAt = -Infinity;

  constructor(
    parts: { readonly clock: Clock; readonly logger: Logger },
    onGone: (id: string) => void,
  ) {
    this.#parts = parts;
    this.#onGone = onGone;
  }

  /** The store does not answer. */
  storeLost(): void {
    this.#storeUnavailable = true;
  }

  /** The store answered this host or one of its relays. */
  storeAnswered(): void {
    if (!this.#storeUnavailable) return;
    this.#storeUnavailable = false;
    this.#storeReturnedAt = this.#parts.clock.now();
  }

  /** The store was restored, or was available at least for a moment. */
  storeReturned(): void {
    this.#storeUnavailable = true;
    this.storeAnswered();
  }

  /** An entry is in the store. */
  entryPresent(id: string): void {
    this.#removed.delete(id);
  }

  /** An entry was removed from the store. */
  entryRemoved(id: string): void {
    const { clock, logger } = this.#parts;
    const remaining =
      this.#storeReturnedAt + REAPPEARANCE_WAIT_MILLISECONDS - clock.now();
    const wait = this.#storeUnavailable
      ? REAPPEARANCE_WAIT_MILLISECONDS
      : remaining;
    this.#removed.add(id);
    if (wait <= 0) this.#reportGone(id);
    else {
      logger.info("server entry lapsed", { server: id });
      clock.after(wait, () => this.#reportGone(id));
    }
  }

  #reportGone(id: string): void {
    if (this.#removed.delete(id)) this.#onGone(id);
  }
}
