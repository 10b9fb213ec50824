// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Keeps in the platform's store what has to outlive all hosts: which versions served, and
 * which of them began streams in progress. Each host reads it when it starts, and when
 * nobody knows the version of a stream.
 *
 * @module
 */
import {
  failureReporter,
  jitter,
  repeat,
  type Repetition,
  sleep,
} from "rampswitch-utils";
import { StreamArchive, type StreamArchiveParts } from "./stream_archive.ts";
import type { StreamOrigins } from "./stream_origins.ts";
import { VersionArchive, type VersionArchiveParts } from "./version_archive.ts";

/** What the archive depends on. */
export interface OriginArchiveParts
  extends StreamArchiveParts, VersionArchiveParts {
  readonly origins: StreamArchiveParts["origins"] &
    VersionArchiveParts["origins"] &
    Pick<StreamOrigins, "hasListedLate" | "mixedServices">;
}

/** Time between checks for changes to store, in milliseconds. */
const CHECK_INTERVAL_MILLISECONDS = 250;

/** Minimum time between two reads of what is stored, in milliseconds. */
const READ_INTERVAL_MILLISECONDS = 1_000;

/**
 * Longest wait of a request for a read, in milliseconds: many times the usual answer
 * time of a store.
 */
const READ_WAIT_MILLISECONDS = 200;

/**
 * Longest wait for the last writes of a process, in milliseconds; shorter than the time
 * that a planned stop leaves before the forced end.
 */
const FLUSH_WAIT_MILLISECONDS = 250;

/** Time for which streams that begin together are collected, in milliseconds. */
const COLLECTING_MILLISECONDS = 10;

/**
 * Time from the start in which a host stores versions without the duties, in
 * milliseconds; longer than a host that has ended holds them.
 */
const START_MILLISECONDS = 5_000;

/** Time between looks for objects that hosts left behind, in milliseconds. */
const LEFTOVER_INTERVAL_MILLISECONDS = 60_000;

/** Reads and writes what lasts of the versions of streams. */
export class OriginArchive implements AsyncDisposable {
  readonly #parts: OriginArchiveParts;
  readonly #versions: VersionArchive;
  readonly #streams: StreamArchive;
  readonly #repetition: Repetition;
  readonly #startedAt: number;
  /** When the last read was sent, on the monotonic clock. */
  #readAt = -Infinity;
  #reading: Promise<boolean> = Promise.resolve(false);
  #isReading = false;
  #hasRead = false;
  /** Cancels the write of new streams that is due; `undefined` if none is. */
  #cancelStore: (() => void) | undefined;

  constructor(parts: OriginArchiveParts) {
    this.#parts = parts;
    this.#startedAt = parts.clock.now();
    this.#versions = new VersionArchive(parts);
    this.#streams = new StreamArchive(parts);
    this.#repetition = repeat(
      parts.clock,
      () => jitter(parts.random, CHECK_INTERVAL_MILLISECONDS),
      {
        name: "stored versions of streams",
        reportFailure: failureReporter(parts),
        run: () => this.#synchronize(),
      },
    );
    this.#repetition.runNow();
  }

  /**
   * Reads what is stored, unless it was read a moment ago; waits for a short time.
   * Resolves to whether all that is stored now was read.
   */
  async read(): Promise<boolean> {
    const reading = this.#readOnce();
    // What was stored since an earlier read is not known.
    if (!this.#isReading) return false;
    const timeout = sleep(this.#parts.clock, READ_WAIT_MILLISECONDS);
    return Promise.race([reading, timeout.then(() => false)]);
  }

  /** Stores the streams that have begun as soon as the store's rate allows. */
  storeSoon(): void {
    this.#streams.noteNew();
    this.#scheduleStore();
  }

  /**
   * Stores what is not stored yet, before the process ends as planned; waits for a
   * short time.
   */
  async flush(): Promise<void> {
    if (!this.#hasRead) return;
    await Promise.race([
      Promise.all([this.#streams.storeNow(), this.#versions.storeUnread()]),
      sleep(this.#parts.clock, FLUSH_WAIT_MILLISECONDS),
    ]);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#cancelStore?.();
    await this.#repetition[Symbol.asyncDispose]();
  }

  #scheduleStore(): void {
    const due = this.#streams.newDueMilliseconds;
    if (due === undefined || this.#cancelStore !== undefined) return;
    const delay = Math.max(COLLECTING_MILLISECONDS, due);
    this.#cancelStore = this.#parts.clock.after(delay, () => {
      this.#cancelStore = undefined;
      // A timer may be early, and another write may have been made meanwhile.
      if (this.#streams.newDueMilliseconds === 0) this.#repetition.runNow();
      else this.#scheduleStore();
    });
  }

  async #synchronize(): Promise<void> {
    const { origins } = this.#parts;
    if (!this.#hasRead || origins.hasListedLate) await this.#readOnce();
    // A write before the first read would replace what a former process stored.
    if (!this.#hasRead) return;
    // Streams begin at a version once it is named.
    await this.#versions.nameListed();
    const holdsDuties = this.#parts.holdsDuties();
    if (holdsDuties || this.#hasToName) await this.#versions.store();
    await this.#streams.store();
    if (holdsDuties) await this.#removeLeftovers();
  }

  /** Whether a version may be named by nobody else: all may end before one holds duties. */
  get #hasToName(): boolean {
    const age = this.#parts.clock.now() - this.#startedAt;
    return age < START_MILLISECONDS && this.#versions.lacksVersions;
  }

  #readOnce(): Promise<boolean> {
    const now = this.#parts.clock.now();
    if (now - this.#readAt >= READ_INTERVAL_MILLISECONDS) {
      this.#readAt = now;
      this.#isReading = true;
      this.#reading = this.#list();
    }
    return this.#reading;
  }

  async #list(): Promise<boolean> {
    const { store, prefix, metrics } = this.#parts;
    // A list that is some seconds old may lack the last version that appeared.
    const listed = await store.list(prefix);
    this.#isReading = false;
    if (listed.isErr) {
      metrics.event("stream_archive_unread");
      return false;
    }
    this.#versions.restore(listed.value);
    this.#streams.restore(listed.value);
    this.#hasRead = true;
    return true;
  }

  async #removeLeftovers(): Promise<void> {
    const age = this.#parts.clock.now() - this.#readAt;
    if (age < LEFTOVER_INTERVAL_MILLISECONDS) return;
    const isMixed = this.#parts.origins.mixedServices.size > 0;
    if (!isMixed && !this.#streams.hasForeign) return;
    await this.#readOnce();
    await this.#streams.removeLeftovers();
  }
}
