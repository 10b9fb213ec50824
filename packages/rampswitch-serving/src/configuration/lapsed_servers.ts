// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Servers whose entries went from the store. After an outage of the store an
 * entry that went may come back, since entries lapse while servers can't renew
 * them; only one that stays away is passed on as gone.
 *
 * @module
 */
import type { Clock, Logger } from "rampswitch-utils";

/**
 * Time after the store's return in which lapsed entries come back, in
 * milliseconds; as the platform's users tell.
 */
const LAPSED_MILLISECONDS = 2_000;

/** Entries that went and are not passed on as gone yet. */
export class LapsedServers {
  readonly #parts: { readonly clock: Clock; readonly logger: Logger };
  readonly #onGone: (id: string) => void;
  readonly #removed = new Set<string>();
  #away = false;
  /** When the store last answered again after an outage. */
  #returnedAt = -Infinity;

  constructor(
    parts: { readonly clock: Clock; readonly logger: Logger },
    onGone: (id: string) => void,
  ) {
    this.#parts = parts;
    this.#onGone = onGone;
  }

  /** Takes in that the store does not answer. */
  storeLost(): void {
    this.#away = true;
  }

  /** Takes in that the store answers, to this host or to its relays. */
  storeAnswers(): void {
    if (!this.#away) return;
    this.#away = false;
    this.#returnedAt = this.#parts.clock.now();
  }

  /** Takes in that the store came back, if only for a moment. */
  storeReturned(): void {
    this.#away = true;
    this.storeAnswers();
  }

  /** An entry is there. */
  present(id: string): void {
    this.#removed.delete(id);
  }

  /** An entry went. */
  removed(id: string): void {
    const { clock, logger } = this.#parts;
    const left = this.#returnedAt + LAPSED_MILLISECONDS - clock.now();
    const wait = this.#away ? LAPSED_MILLISECONDS : left;
    this.#removed.add(id);
    if (wait <= 0) this.#pass(id);
    else {
      logger.info("server entry lapsed", { server: id });
      clock.after(wait, () => this.#pass(id));
    }
  }

  #pass(id: string): void {
    if (this.#removed.delete(id)) this.#onGone(id);
  }
}
