// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Determines by their silence which hosts may be forgotten.
 *
 * @module
 */
import { HearingTime } from "./hearing_time.ts";

/**
 * Time after which a host that is neither listed nor heard is forgotten, in
 * milliseconds.
 */
const UNLISTED_MILLISECONDS = 300_000;

/** The silence of the other hosts. */
export class SilentHosts {
  /** Time in which this host receives updates or digests. */
  readonly #connected = new HearingTime();
  /** When each host was last heard or listed, in that time, in milliseconds. */
  readonly #knownAt = new Map<string, number>();

  /** Records a digest, which tells nothing of a single host. */
  recordDigest(now: number): void {
    this.#connected.record(now);
  }

  /** Records an update of a host. */
  recordUpdate(host: string, now: number): void {
    this.#connected.record(now);
    this.#knownAt.set(host, this.#connected.total);
  }

  /** Records an entry in the store's list. */
  recordListed(host: string): void {
    this.#knownAt.set(host, this.#connected.total);
  }

  /** Names of the hosts that were neither listed nor heard for long. */
  get unlisted(): readonly string[] {
    const oldest = this.#connected.total - UNLISTED_MILLISECONDS;
    return [...this.#knownAt]
      .filter(([, knownAt]) => knownAt <= oldest)
      .map(([host]) => host);
  }

  /** Forgets a host. */
  forget(host: string): void {
    this.#knownAt.delete(host);
  }
}
