// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Determines by their silence which hosts are gone, or may be forgotten.
 *
 * @module
 */
import { ReceptionTime } from "./reception_time.ts";

/**
 * Silence after which a host counts as gone, in milliseconds; longer than hosts are
 * usually suspended or cut off.
 */
const GONE_MILLISECONDS = 300_000;

/**
 * Time after which a host that neither the list nor an update names is forgotten, in
 * milliseconds.
 */
const UNLISTED_MILLISECONDS = 300_000;

/** An entry in the store's list. */
interface ListedEntry {
  readonly name: string;
  readonly version: number;
}

interface Silence {
  /** When it last sent an update or registered, in time with updates. */
  readonly since: number;
  /** When it last sent an update or was listed, in time with any message. */
  readonly knownAt: number;
  /** Store version of its entry; `undefined` if it was not listed. */
  readonly version: number | undefined;
}

/** The silence of the other hosts. */
export class SilentHosts {
  /** Time in which this host receives the updates of all others. */
  readonly #updateTime = new ReceptionTime();
  /** Time in which this host receives updates or digests. */
  readonly #messageTime = new ReceptionTime();
  readonly #silences = new Map<string, Silence>();

  /** Records a digest, which names no single hosts. */
  recordDigest(now: number): void {
    this.#messageTime.record(now);
  }

  /**
   * Records an update of a host. While digests arrive, other hosts send their updates
   * to relays alone, so their silence is no evidence.
   */
  recordUpdate(
    host: string,
    now: number,
    { receivesDigests }: { readonly receivesDigests: boolean },
  ): void {
    this.#messageTime.record(now);
    if (!receivesDigests) this.#updateTime.record(now);
    this.#set(host, this.#silences.get(host)?.version);
  }

  /** Records an entry in the store's list; a later version ends a silence. */
  recordListed({ name, version }: ListedEntry): void {
    const known = this.#silences.get(name);
    // A list may be older than the one before it.
    if (known?.version !== undefined && version <= known.version) {
      this.#silences.set(name, { ...known, knownAt: this.#messageTime.total });
    } else this.#set(name, version);
  }

  /** Whether a host has been silent for so long that its entry may be removed. */
  isGone(host: string): boolean {
    const silence = this.#silences.get(host);
    return (
      silence !== undefined &&
      this.#updateTime.total - silence.since >= GONE_MILLISECONDS
    );
  }

  /** Names of the hosts that were not listed and sent no update for long. */
  get unlisted(): readonly string[] {
    const oldest = this.#messageTime.total - UNLISTED_MILLISECONDS;
    return [...this.#silences]
      .filter(([, { knownAt }]) => knownAt <= oldest)
      .map(([host]) => host);
  }

  /** Forgets a host. */
  forget(host: string): void {
    this.#silences.delete(host);
  }

  #set(host: string, version: number | undefined): void {
    this.#silences.set(host, {
      since: this.#updateTime.total,
      knownAt: this.#messageTime.total,
      version,
    });
  }
}
