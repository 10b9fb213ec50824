// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Which versions of each service the stored object names, as one host last read or wrote
 * it. A stream that begins at another one is not known to be of it once all hosts end.
 *
 * @module
 */
import type { Clock } from "rampswitch-utils";
import type {
  ServiceVersionName,
  ServiceVersions,
  VersionHistory,
} from "./version_history.ts";

/** Sets of versions by service. */
type VersionSets = ReadonlyMap<string, ReadonlySet<string>>;

/** The versions that the stored object names, and those that it doesn't. */
export class NamedVersions {
  readonly #history: VersionHistory;
  readonly #clock: Clock;
  #named: VersionSets = new Map();
  #unnamed: VersionSets = new Map();
  /**
   * Number of forgotten versions when names were last compared with the history;
   * `undefined` since the object was read: it may name some of them.
   */
  #forgotten: number | undefined;

  constructor(history: VersionHistory, clock: Clock) {
    this.#history = history;
    this.#clock = clock;
  }

  /** Versions of a service that this host lists and that aren't named; `undefined`: none. */
  unnamedOf(service: string): ReadonlySet<string> | undefined {
    return this.#unnamed.get(service);
  }

  /** Whether this host lists a version that isn't named. */
  get hasUnnamed(): boolean {
    return this.#unnamed.size > 0;
  }

  /** Notes that a version has a listed server. */
  listed({ service, version }: ServiceVersionName): void {
    const unnamed = this.#unnamed.get(service);
    if (this.#isNamed(service, version) || unnamed?.has(version)) return;
    const versions = new Set([...(unnamed ?? []), version]);
    this.#unnamed = new Map([...this.#unnamed, [service, versions]]);
  }

  /** Notes which versions the object names. */
  read(services: ServiceVersions): void {
    this.#forgotten = undefined;
    this.#named = setsOf(services, () => true);
    this.#findUnnamed();
  }

  /**
   * Forgets the names of versions that ended so long ago that they are removed from the
   * object: such a version has to be named again when it comes back.
   */
  forgetEnded(): void {
    const forgotten = this.#history.forgottenVersions(this.#clock.now());
    if (forgotten === this.#forgotten) return;
    this.#forgotten = forgotten;
    const known = setsOf(this.#known, () => true);
    this.#named = setsOf(this.#named, (service, version) =>
      known.get(service)?.has(version),
    );
    this.#findUnnamed();
  }

  /** The versions that a stream in progress may have begun at. */
  get #known(): ServiceVersions {
    return this.#history.all(this.#clock.now());
  }

  #isNamed(service: string, version: string): boolean {
    return this.#named.get(service)?.has(version) === true;
  }

  /** A version whose servers went before it was named stays to be named. */
  #findUnnamed(): void {
    const before = this.#unnamed;
    this.#unnamed = setsOf(
      this.#known,
      (service, version) =>
        !this.#isNamed(service, version) &&
        (before.get(service)?.has(version) === true ||
          this.#history.isListed({ service, version })),
    );
  }
}

/** The versions that are selected, without services that have none. */
function setsOf(
  services: ReadonlyMap<string, Iterable<string>>,
  isSelected: (service: string, version: string) => boolean | undefined,
): VersionSets {
  return new Map(
    [...services]
      .map(([service, versions]): [string, ReadonlySet<string>] => [
        service,
        new Set(
          [...versions].filter((version) => isSelected(service, version)),
        ),
      ])
      .filter(([, versions]) => versions.size > 0),
  );
}
