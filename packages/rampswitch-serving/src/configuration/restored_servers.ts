// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Servers that were gone before the store was restored from a copy that still has
 * their entries. Such an entry is used once its server writes it again, or once it
 * has remained for longer than the store keeps entries that are not renewed.
 *
 * @module
 */
import type { Clock, Logger } from "rampswitch-utils";

/**
 * Time after which the store has removed an entry that its server does not renew,
 * in milliseconds: three heartbeats of servers, doubled.
 */
const HOLD_MILLISECONDS = 8_000;

/** Holds back entries of a restored copy. */
export class RestoredServers {
  readonly #parts: { readonly clock: Clock; readonly logger: Logger };
  readonly #cancels = new Map<string, () => void>();

  constructor(parts: { readonly clock: Clock; readonly logger: Logger }) {
    this.#parts = parts;
  }

  /** Holds an entry back; `use` is called if the entry remains in the store. */
  hold(id: string, use: () => void): void {
    this.release(id);
    this.#parts.logger.info("server entry of a copy held back", { server: id });
    const cancel = this.#parts.clock.after(HOLD_MILLISECONDS, use);
    this.#cancels.set(id, cancel);
  }

  /** Stops holding an entry that its server wrote again or that was removed. */
  release(id: string): void {
    this.#cancels.get(id)?.();
    this.#cancels.delete(id);
  }
}
