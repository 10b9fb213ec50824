// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Servers that were gone and whose entries are in the copy that the store came back
 * from. Such an entry is used once the server writes it again, or once it has stayed
 * for longer than the store keeps entries that nobody writes.
 *
 * @module
 */
import type { Clock, Logger } from "rampswitch-utils";

/**
 * Time after which the store has removed an entry that nobody writes, in
 * milliseconds: three heartbeats of servers, and as much again.
 */
const HELD_MILLISECONDS = 8_000;

/** Entries that are not used yet. */
export class RevivedServers {
  readonly #parts: { readonly clock: Clock; readonly logger: Logger };
  readonly #cancels = new Map<string, () => void>();

  constructor(parts: { readonly clock: Clock; readonly logger: Logger }) {
    this.#parts = parts;
  }

  /** Holds an entry back; `use` is called where it stays. */
  hold(id: string, use: () => void): void {
    this.release(id);
    this.#parts.logger.info("server entry of a copy held back", { server: id });
    const cancel = this.#parts.clock.after(HELD_MILLISECONDS, use);
    this.#cancels.set(id, cancel);
  }

  /** Its server has written the entry again, or it has gone again. */
  release(id: string): void {
    this.#cancels.get(id)?.();
    this.#cancels.delete(id);
  }
}
