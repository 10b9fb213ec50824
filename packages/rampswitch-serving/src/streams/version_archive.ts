// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The object in the platform's store that tells which versions of each service may have
 * begun streams in progress. No clock is stored: a version is removed by a host that saw
 * it end long enough ago, and counts as just ended for a host that reads it.
 *
 * @module
 */
import {
  changeObject,
  eraOf,
  type StoredList,
  type StoredObject,
} from "rampswitch-store";
import type { LogFields } from "rampswitch-utils";
import type { ArchiveParts } from "./archive_parts.ts";
import {
  decodeVersions,
  encodeVersions,
  type StoredVersions,
} from "./stored_versions.ts";
import type { StreamOrigins } from "./stream_origins.ts";
import type { ServiceVersions } from "./version_history.ts";

/** What the archive of versions depends on. */
export interface VersionArchiveParts extends ArchiveParts {
  readonly origins: Pick<
    StreamOrigins,
    "isListBehind" | "isPastKnown" | "names" | "restoreVersions" | "versions"
  >;
  /** Whether this host may act for the fleet now. */
  holdsDuties(): boolean;
}

/** Name of the object below the prefix. */
const OBJECT_NAME = "versions";

/** Attempts of one write before the next check. */
const WRITE_ATTEMPTS = 2;

/** Time from a look at the object that failed to the next one, in milliseconds. */
const RETRY_MILLISECONDS = 1_000;

/** Latest era of the store in which a missing object shows that no version has served. */
const FIRST_ERA = 1;

/** What is known of the versions if the object is missing or can't be read. */
const NOTHING_STORED: StoredVersions = {
  completeInEra: undefined,
  services: new Map(),
};

/** Restores and stores the versions that served. */
export class VersionArchive {
  readonly #parts: VersionArchiveParts;
  /** The object as it was last read or written. */
  #object: StoredObject | undefined;
  /** The value that is certainly in the store. */
  #stored: string | undefined;
  /** Whether the object was last read before the store's present era. */
  #isOfPastEra = false;
  /** When the object may be looked at again, on the monotonic clock. */
  #retryAt = -Infinity;

  constructor(parts: VersionArchiveParts) {
    this.#parts = parts;
    // A copy that the store was restored from may lack what was written before.
    parts.store.onEra(() => {
      this.#stored = undefined;
      this.#isOfPastEra = true;
      parts.origins.names.forgetObject();
    });
  }

  /** Notes the versions in a list of all stored objects. */
  restore({ objects, version }: StoredList): void {
    const object = objects.find(({ key }) => key === this.#key);
    const { origins, store } = this.#parts;
    const era = eraOf(version);
    if (era === store.era) this.#isOfPastEra = false;
    if (object !== undefined && object.version === this.#object?.version) {
      const isComplete = this.#known.completeInEra === era;
      origins.restoreVersions(new Map(), { isComplete });
      this.#note(object);
    } else this.#restoreObject(object, era);
  }

  /**
   * Reads the object if it was last read in a past era of the store, or isn't known to
   * name a version that this host lists, and adds the versions that it lacks.
   */
  async nameListed(): Promise<void> {
    const { clock, origins } = this.#parts;
    const { names } = origins;
    names.forgetEnded();
    const isDue = this.#isOfPastEra || names.hasUnnamed;
    if (!isDue || clock.now() < this.#retryAt) return;
    const isRead = await this.#read();
    if (isRead && names.hasUnnamed) {
      this.#stored = undefined;
      await this.store();
    }
    if (!isRead || names.hasUnnamed) {
      this.#retryAt = clock.now() + RETRY_MILLISECONDS;
    }
  }

  /** Stores the versions that this host knows if they differ from those stored. */
  async store(): Promise<void> {
    const { store, logger, metrics } = this.#parts;
    if (this.#value() === this.#stored) return;
    let stored = "";
    const change = await changeObject<undefined>(
      store,
      {
        key: this.#key,
        ...(this.#object === undefined ? {} : { known: this.#object }),
        attempts: WRITE_ATTEMPTS,
        decide: (current) => {
          this.#restoreObject(current, store.era);
          stored = this.#value();
          return stored === current?.value
            ? { kind: "keep", refusal: undefined }
            : { kind: "write", value: stored };
        },
      },
      this.#parts,
    );
    if (change.kind === "written") this.#note(change.object);
    const isStored = change.kind !== "unknown";
    if (isStored) this.#stored = stored;
    metrics.event(`stream_versions_${isStored ? "stored" : "not_stored"}`);
    logger.info("versions stored", {
      ...countsOf(this.#parts.origins.versions),
      outcome: change.kind,
    });
  }

  /** Stores the versions unless the object that this host read tells them already. */
  async storeUnread(): Promise<void> {
    if (this.#value() !== this.#object?.value) await this.store();
  }

  /** Whether the object as this host last read or wrote it lacks versions that it knows. */
  get lacksVersions(): boolean {
    const named = this.#known.services;
    return [...this.#parts.origins.names.due].some(([service, versions]) =>
      versions.some((version) => !named.get(service)?.includes(version)),
    );
  }

  /** The content of the object as this host last read or wrote it. */
  get #known(): StoredVersions {
    return this.#object === undefined
      ? NOTHING_STORED
      : decodeVersions(this.#object.value).unwrapOr(NOTHING_STORED);
  }

  /**
   * Era in which there are no other versions, for all that is known. A host with an old
   * list, or that doesn't know the past, leaves what was claimed before: it adds versions.
   */
  get #completeInEra(): number | undefined {
    const { origins, store } = this.#parts;
    return origins.isPastKnown && !origins.isListBehind
      ? store.era
      : this.#known.completeInEra;
  }

  get #key(): string {
    return `${this.#parts.prefix}${OBJECT_NAME}`;
  }

  /** Reads the object; resolves to whether it was read. */
  async #read(): Promise<boolean> {
    const { store, metrics } = this.#parts;
    const wasOfPastEra = this.#isOfPastEra;
    // The answer may be the first that reports another era.
    this.#isOfPastEra = false;
    const read = await store.get(this.#key);
    if (read.isOk) {
      this.#restoreObject(read.value, store.era);
      this.#note(read.value);
    } else {
      this.#isOfPastEra ||= wasOfPastEra;
      metrics.event("stream_versions_unread");
    }
    return read.isOk;
  }

  /** Notes the object as the store holds it, and the versions that it names by now. */
  #note(object: StoredObject | undefined): void {
    const { origins } = this.#parts;
    this.#object = object;
    const added = origins.names.read(this.#known.services);
    origins.restoreVersions(added, { isComplete: false });
  }

  /** Notes the versions in an object that this host has neither read nor written. */
  #restoreObject(object: StoredObject | undefined, era: number): void {
    const { origins, logger } = this.#parts;
    if (object === undefined) {
      this.#note(object);
      // Whatever was there may be lost with a past era of the store.
      const isComplete = era <= FIRST_ERA;
      origins.restoreVersions(new Map(), { isComplete });
      return;
    }
    if (object.version === this.#object?.version) return;
    this.#note(object);
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
    origins.restoreVersions(new Map(), { isComplete });
    logger.info("versions read", { ...countsOf(services), isComplete });
  }

  /** The versions as this host would store them. */
  #value(): string {
    return encodeVersions({
      completeInEra: this.#completeInEra,
      services: this.#services,
    });
  }

  /**
   * The versions that the object has to name. Those that were stored before stay where
   * this host doesn't hold the duties, or while another one has a newer list: a server of
   * theirs may be listed there.
   */
  get #services(): ServiceVersions {
    const { origins } = this.#parts;
    const versions = origins.names.due;
    const mayTakeOut = this.#parts.holdsDuties() && !origins.isListBehind;
    if (mayTakeOut) return versions;
    const stored = this.#known.services;
    const services = new Set([...stored.keys(), ...versions.keys()]);
    return new Map(
      [...services].toSorted().map((service) => {
        const names = [stored, versions].flatMap(
          (each) => each.get(service) ?? [],
        );
        return [service, [...new Set(names)].toSorted()];
      }),
    );
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
