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
  /** The versions that the object named when it was last read or written. */
  #object: VersionSets = new Map();
  /** Versions that other hosts took out of it. */
  #takenOut: VersionSets = new Map();

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

  /**
   * The versions that the object has to name. One that another host took out of it, and
   * that this host knows by it alone, isn't added again: hosts would keep it in turn.
   */
  get due(): ServiceVersions {
    const now = this.#clock.now();
    return new Map(
      [...this.#known].map(([service, versions]) => [
        service,
        versions.filter(
          (version) =>
            !has(this.#takenOut, service, version) ||
            this.#history.isSeen({ service, version }, now),
        ),
      ]),
    );
  }

  /**
   * Notes which versions the object names; returns those that it didn't name before.
   * The others have not served anew since: they count from when they were first read.
   */
  read(services: ServiceVersions): ServiceVersions {
    const former = this.#object;
    const named = setsOf(services, () => true);
    const known = setsOf(this.#known, () => true);
    this.#takenOut = setsOf(
      known,
      (service, version) =>
        services.has(service) &&
        !has(named, service, version) &&
        [former, this.#takenOut].some((each) => has(each, service, version)),
    );
    this.#object = named;
    this.#forgotten = undefined;
    this.#named = named;
    this.#findUnnamed();
    return listsOf(
      setsOf(named, (service, version) => !has(former, service, version)),
    );
  }

  /**
   * Forgets what the object named, so that all of it counts from the next read: versions
   * may have served unseen, or the object may come from an old copy of the store.
   */
  forgetObject(): void {
    this.#object = new Map();
    this.#takenOut = new Map();
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
      has(known, service, version),
    );
    this.#findUnnamed();
  }

  /** The versions that a stream in progress may have begun at. */
  get #known(): ServiceVersions {
    return this.#history.all(this.#clock.now());
  }

  #isNamed(service: string, version: string): boolean {
    return has(this.#named, service, version);
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
  isSelected: (service: string, version: string) => boolean,
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

function has(sets: VersionSets, service: string, version: string): boolean {
  return sets.get(service)?.has(version) === true;
}

function listsOf(sets: VersionSets): ServiceVersions {
  return new Map(
    [...sets].map(([service, versions]) => [service, [...versions]]),
  );
}
