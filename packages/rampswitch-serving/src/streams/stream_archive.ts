// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Keeps in the platform's store which versions of each service may have begun streams in
 * progress, so that hosts that start after all others have ended know them. Each host
 * reads it when it starts; the holder of the duties writes it when it changes. No clock
 * is stored: a version is removed by a host that saw it end long enough ago, and
 * counts as just ended for a host that reads it.
 *
 * @module
 */
import {
  changeObject,
  eraOf,
  type ObjectStore,
  type StoredObject,
} from "rampswitch-store";
import {
  type Clock,
  failureReporter,
  jitter,
  type LogFields,
  type Logger,
  type Random,
  repeat,
  type Repetition,
} from "rampswitch-utils";
import type { ServingMetrics } from "../observation/mod.ts";
import { decodeVersions, encodeVersions } from "./stored_versions.ts";
import type { StreamOrigins } from "./stream_origins.ts";
import type { ServiceVersions } from "./version_history.ts";

/** What the archive depends on. */
export interface StreamArchiveParts {
  readonly origins: Pick<
    StreamOrigins,
    "isPastKnown" | "restoreVersions" | "versions"
  >;
  readonly store: ObjectStore;
  /** Prefix of the keys of the stored objects. */
  readonly prefix: string;
  /** A monotonic clock. */
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly metrics: ServingMetrics;
  /** Whether this host may act for the fleet now. */
  holdsDuties(): boolean;
}

/** Name of the object with the versions below the prefix. */
const VERSIONS_NAME = "versions";

/** Time between checks for changes to store, in milliseconds. */
const CHECK_INTERVAL_MILLISECONDS = 250;

/** Minimum time between two reads of what is stored, in milliseconds. */
const READ_INTERVAL_MILLISECONDS = 1_000;

/** Attempts of one write before the next check. */
const WRITE_ATTEMPTS = 2;

/** Latest era in which a missing object shows that no version has served. */
const FIRST_ERA = 1;

/** Reads and writes what lasts of the versions of streams. */
export class StreamArchive implements AsyncDisposable {
  readonly #parts: StreamArchiveParts;
  readonly #repetition: Repetition;
  /** When the last read was sent, on the monotonic clock. */
  #readAt = -Infinity;
  #reading: Promise<void> = Promise.resolve();
  #hasRead = false;
  /** The object with the versions as it was last read or written. */
  #versions: StoredObject | undefined;
  /** The versions that are certainly in the store. */
  #storedVersions: string | undefined;

  constructor(parts: StreamArchiveParts) {
    this.#parts = parts;
    const { clock, random, store } = parts;
    this.#repetition = repeat(
      clock,
      () => jitter(random, CHECK_INTERVAL_MILLISECONDS),
      {
        name: "stored versions of streams",
        reportFailure: failureReporter(parts),
        run: () => this.#synchronize(),
      },
    );
    this.#repetition.runNow();
    // A copy that the store was restored from may lack what was written before.
    store.onEra(() => {
      this.#storedVersions = undefined;
    });
  }

  /** Reads what is stored, unless it was read a moment ago. */
  read(): Promise<void> {
    const now = this.#parts.clock.now();
    if (now - this.#readAt >= READ_INTERVAL_MILLISECONDS) {
      this.#readAt = now;
      this.#reading = this.#list();
    }
    return this.#reading;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#repetition[Symbol.asyncDispose]();
  }

  async #synchronize(): Promise<void> {
    if (!this.#hasRead) await this.read();
    if (this.#hasRead && this.#parts.holdsDuties()) await this.#storeVersions();
  }

  async #list(): Promise<void> {
    const { store, prefix, metrics } = this.#parts;
    // A list that is some seconds old may lack the last version that appeared.
    const listed = await store.list(prefix);
    if (listed.isErr) {
      metrics.event("stream_archive_unread");
      return;
    }
    const { objects, version } = listed.value;
    const versions = objects.find(({ key }) => key === this.#versionsKey);
    this.#restoreVersions(versions, eraOf(version));
    this.#hasRead = true;
  }

  get #versionsKey(): string {
    return `${this.#parts.prefix}${VERSIONS_NAME}`;
  }

  /** Notes the versions in an object that this host has neither read nor written. */
  #restoreVersions(object: StoredObject | undefined, era: number): void {
    const { origins, logger } = this.#parts;
    if (object === undefined) {
      // Whatever was there may be lost with a past era of the store.
      const isComplete = era <= FIRST_ERA;
      origins.restoreVersions(new Map(), { isComplete });
      return;
    }
    if (object.version === this.#versions?.version) return;
    this.#versions = object;
    const decoded = decodeVersions(object.value);
    if (decoded.isErr) {
      logger.warn("stored versions can't be read", {
        key: object.key,
        detail: decoded.error,
      });
      return;
    }
    const { services, completeInEra } = decoded.value;
    const isComplete = completeInEra === era;
    origins.restoreVersions(services, { isComplete });
    logger.info("versions read", { ...countsOf(services), isComplete });
  }

  /** The versions as this host would store them. */
  #valueOfVersions(): string {
    const { origins, store } = this.#parts;
    return encodeVersions({
      completeInEra: origins.isPastKnown ? store.era : undefined,
      services: origins.versions,
    });
  }

  async #storeVersions(): Promise<void> {
    const { store, logger, metrics } = this.#parts;
    if (this.#valueOfVersions() === this.#storedVersions) return;
    let stored = "";
    const change = await changeObject<undefined>(
      store,
      {
        key: this.#versionsKey,
        ...(this.#versions === undefined ? {} : { known: this.#versions }),
        attempts: WRITE_ATTEMPTS,
        decide: (current) => {
          this.#restoreVersions(current, store.era);
          stored = this.#valueOfVersions();
          return stored === current?.value
            ? { kind: "keep", refusal: undefined }
            : { kind: "write", value: stored };
        },
      },
      this.#parts,
    );
    if (change.kind === "written") this.#versions = change.object;
    const isStored = change.kind !== "unknown";
    if (isStored) this.#storedVersions = stored;
    metrics.event(`stream_versions_${isStored ? "stored" : "not_stored"}`);
    logger.info("versions stored", {
      ...countsOf(this.#parts.origins.versions),
      outcome: change.kind,
    });
  }
}

/** What log lines tell of the versions of the services. */
function countsOf(services: ServiceVersions): LogFields {
  const numbers = [...services.values()].map(({ length }) => length);
  return {
    services: numbers.length,
    severalVersions: numbers.filter((versions) => versions > 1).length,
  };
}
