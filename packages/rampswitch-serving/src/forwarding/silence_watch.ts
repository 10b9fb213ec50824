// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Notices that no server is heard although requests wait for them: their open
 * connections may be silent for good. One new connection then tells whether the links
 * are gone.
 *
 * @module
 */
import { type Clock, type Logger, runInBackground } from "rampswitch-utils";
import type { ServerAddress } from "../attempt/mod.ts";

/** Time without a byte of any server that is suspicious, in milliseconds. */
const SILENCE_MILLISECONDS = 500;

/** Minimum time between two trials of a connection, in milliseconds. */
const TRIAL_INTERVAL_MILLISECONDS = 1_000;

/** Dependencies of the watch. */
export interface SilenceWatchParts {
  readonly clock: Clock;
  readonly logger: Logger;
  /** When any server was last heard. */
  anyHeardAt(): number;
  /** Whether a new connection to a server comes up. */
  connects(server: ServerAddress): Promise<boolean>;
  /** Called when it does not. */
  onLost(server: string): void;
}

interface WatchedSend {
  readonly server: ServerAddress;
  readonly writtenAt: number;
}

/** Watches all sends over this host's own links. */
export class SilenceWatch {
  readonly #parts: SilenceWatchParts;
  /** Sends in progress, the oldest first. */
  readonly #sends = new Set<WatchedSend>();
  #cancelCheck: (() => void) | undefined;

  constructor(parts: SilenceWatchParts) {
    this.#parts = parts;
  }

  /** Watches a send; the returned function ends that. */
  watch(server: ServerAddress): () => void {
    const send = { server, writtenAt: this.#parts.clock.now() };
    this.#sends.add(send);
    if (this.#cancelCheck === undefined) this.#schedule(SILENCE_MILLISECONDS);
    return () => {
      this.#sends.delete(send);
    };
  }

  /** Ends the watch. */
  stop(): void {
    this.#cancelCheck?.();
    this.#sends.clear();
  }

  #schedule(milliseconds: number): void {
    this.#cancelCheck = this.#parts.clock.after(milliseconds, () => {
      this.#cancelCheck = undefined;
      runInBackground("check of silent servers", this.#parts, () =>
        this.#check(),
      );
    });
  }

  async #check(): Promise<void> {
    const [oldest] = this.#sends;
    if (oldest === undefined) return;
    const parts = this.#parts;
    const silentSince = Math.max(parts.anyHeardAt(), oldest.writtenAt);
    const left = silentSince + SILENCE_MILLISECONDS - parts.clock.now();
    if (left > 0) {
      this.#schedule(left);
      return;
    }
    this.#schedule(TRIAL_INTERVAL_MILLISECONDS);
    const { server } = oldest;
    if (!(await parts.connects(server))) parts.onLost(server.id);
  }
}
