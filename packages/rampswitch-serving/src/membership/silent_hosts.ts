// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Determines by their silence which hosts are gone, or may be forgotten.
 *
 * @module
 */
import { HearingTime } from "./hearing_time.ts";

/**
 * Silence after which a host counts as gone, in milliseconds; longer than hosts are
 * usually suspended or cut off.
 */
const GONE_MILLISECONDS = 300_000;

/**
 * Time after which a host that is neither listed nor heard is forgotten, in
 * milliseconds.
 */
const UNLISTED_MILLISECONDS = 300_000;

interface Silence {
  /** When the host was last heard or registered, in time in person. */
  readonly since: number;
  /** When it was last heard or listed, in time of any message. */
  readonly knownAt: number;
  /** Store version of its entry; `undefined` if it was not listed. */
  readonly version: number | undefined;
}

/** The silence of the other hosts. */
export class SilentHosts {
  /** Time in which this host receives the updates of all others. */
  readonly #inPerson = new HearingTime();
  /** Time in which this host receives updates or digests. */
  readonly #connected = new HearingTime();
  readonly #silences = new Map<string, Silence>();

  /** Records a digest, which tells nothing of a single host. */
  recordDigest(now: number): void {
    this.#connected.record(now);
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
    this.#connected.record(now);
    if (!receivesDigests) this.#inPerson.record(now);
    this.#set(host, this.#silences.get(host)?.version);
  }

  /** Records an entry in the store's list; a later version ends a silence. */
  recordListed({ name, version }: ListedEntry): void {
    const known = this.#silences.get(name);
    // A list may be older than the one before it.
    if (known?.version !== undefined && version <= known.version) {
      this.#silences.set(name, { ...known, knownAt: this.#connected.total });
    } else this.#set(name, version);
  }

  /** Whether a host has been silent for so long that its entry may be removed. */
  isGone(host: string): boolean {
    const silence = this.#silences.get(host);
    return (
      silence !== undefined &&
      this.#inPerson.total - silence.since >= GONE_MILLISECONDS
    );
  }

  /** Names of the hosts that were neither listed nor heard for long. */
  get unlisted(): readonly string[] {
    const oldest = this.#connected.total - UNLISTED_MILLISECONDS;
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
      since: this.#inPerson.total,
      knownAt: this.#connected.total,
      version,
    });
  }
}

/** An entry in the store's list. */
interface ListedEntry {
  readonly name: string;
  readonly version: number;
}
