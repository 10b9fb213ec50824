// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The versions of each service's servers that are listed, or were a short time ago.
 *
 * @module
 */

/** Names a version of a service. */
export interface ServiceVersionName {
  readonly service: string;
  readonly version: string;
}

/** The fields of a listed server that are used here. */
export interface VersionedServer extends ServiceVersionName {
  readonly id: string;
  /** Start of its incarnation, if it tells one. */
  readonly born?: number | undefined;
}

/** Versions by service. */
export type ServiceVersions = ReadonlyMap<string, readonly string[]>;

/** A version of a service. */
interface ServiceVersion {
  /** Ids of the listed servers that have it. */
  readonly servers: Set<string>;
  /** When its last server was removed, on the monotonic clock. */
  goneAt: number;
  /** When another host or the store last named it, on the monotonic clock. */
  toldAt: number;
  /**
   * When its last server was removed, or a stream of it last told of, on the monotonic
   * clock; `-Infinity` if the stored object alone tells of it.
   */
  seenAt: number;
}

/** A version that a server is listed with, or was listed with last or before. */
interface ListedVersion extends ServiceVersionName {
  /**
   * Since when it may be listed with it, on the monotonic clock; `-Infinity` if this host
   * knows no former version: it may have had this one for any time.
   */
  readonly since: number;
  /** When it was listed with another one, on the monotonic clock. */
  readonly until: number;
}

/** Times of a listing, on the monotonic clock. */
interface ListingTimes {
  readonly now: number;
  /** Since when the server may have changed. */
  readonly changedAfter: number;
}

/** The versions of the servers of all services, as one host sees them. */
export class VersionHistory {
  readonly #retentionMilliseconds: number;
  readonly #services = new Map<string, Map<string, ServiceVersion>>();
  /** Services of the versions without a listed server, which are forgotten in time. */
  readonly #ending = new Map<ServiceVersion, string>();
  #forgotten = 0;
  readonly #listed = new Map<string, VersionedServer>();
  /** The versions of servers that are listed, or were, by id, the oldest first. */
  readonly #listedVersions = new Map<string, readonly ListedVersion[]>();
  /** When servers that are listed no more were removed, by id, the oldest first. */
  readonly #removedAt = new Map<string, number>();

  /** Versions without a server are retained for the given time. */
  constructor(retentionMilliseconds: number) {
    this.#retentionMilliseconds = retentionMilliseconds;
  }

  /** Notes a server that is listed, or listed with another version since some time. */
  listed(server: VersionedServer, { now, changedAfter }: ListingTimes): void {
    const { id, service, version, born } = server;
    const before = this.#listed.get(id);
    if (before?.service === service && before.version === version) {
      this.#listed.set(id, { id, service, version, born });
      return;
    }
    this.removed(id, now);
    this.#removedAt.delete(id);
    this.#listed.set(id, { id, service, version, born });
    this.#noteVersion(server, { now, changedAfter });
    const versions =
      this.#services.get(service) ?? new Map<string, ServiceVersion>();
    this.#services.set(service, versions);
    const known = versions.get(version) ?? withoutServer(now);
    known.servers.add(id);
    versions.set(version, known);
    this.#ending.delete(known);
  }

  /** Notes that a server is listed no more. */
  removed(id: string, now: number): void {
    const before = this.#listed.get(id);
    if (before === undefined) return;
    this.#listed.delete(id);
    this.#noteRemoved(id, now);
    const known = this.#services.get(before.service)?.get(before.version);
    if (known === undefined) return;
    known.servers.delete(id);
    known.goneAt = now;
    known.seenAt = now;
    if (known.servers.size === 0) this.#ending.set(known, before.service);
  }

  /** Version of an incarnation of a server, if it is the listed one. */
  versionOfStart(id: string, start: number): string | undefined {
    const listed = this.#listed.get(id);
    return listed?.born === start ? listed.version : undefined;
  }

  /** Whether a server is listed with another version, or was when it was removed. */
  isOtherVersion(id: string, version: string): boolean {
    const last = this.#listedVersions.get(id)?.at(-1);
    return last !== undefined && last.version !== version;
  }

  /**
   * Whether a server that a host took for a version at a time may have had another one,
   * which is listed up to the given time later. Versions that came before the named one
   * don't count if that one was listed so soon after: the list of the host that took it
   * for that may have been newer, and it never names a version that a server has not had.
   * Otherwise its list may have been older.
   */
  mayHaveHadOther(
    { id, version }: Pick<VersionedServer, "id" | "version">,
    at: number,
    lagMilliseconds: number,
  ): boolean {
    const listed = this.#listedVersions.get(id) ?? [];
    const first = listed.findIndex(
      (one) => one.version === version && at >= one.since - lagMilliseconds,
    );
    return listed
      .slice(Math.max(0, first))
      .some(
        ({ version: other, since, until }) =>
          other !== version && at >= since - lagMilliseconds && at <= until,
      );
  }

  /**
   * Whether a host that took a server for a version at a time may have been wrong, by a
   * change that was made since another time and is not listed yet.
   */
  mayLackOther(id: string, at: number, changedAfter: number): boolean {
    return !this.#listedVersions.has(id) || at >= changedAfter;
  }

  /** Notes versions that began streams elsewhere. Their servers may have ended just now. */
  served(service: string, versions: readonly string[], now: number): void {
    this.#told(service, versions, now).forEach((told) => {
      told.seenAt = now;
    });
  }

  /**
   * Notes versions that the stored object names: they served before this process started,
   * or unseen by it. Those that are not listed may have ended a moment ago.
   */
  named(service: string, versions: readonly string[], now: number): void {
    this.#told(service, versions, now);
  }

  /**
   * Whether this host lists a version, or knows other than by the stored object that a
   * stream in progress may have begun at it.
   */
  isSeen({ service, version }: ServiceVersionName, now: number): boolean {
    const known = this.#services.get(service)?.get(version);
    if (known === undefined) return false;
    const elapsed = now - known.seenAt;
    return known.servers.size > 0 || elapsed <= this.#retentionMilliseconds;
  }

  /** Whether a version has a listed server. */
  isListed({ service, version }: ServiceVersionName): boolean {
    const servers = this.#services.get(service)?.get(version)?.servers;
    return servers !== undefined && servers.size > 0;
  }

  /** Time since a version's last server was listed, in milliseconds. */
  goneMilliseconds(
    { service, version }: ServiceVersionName,
    now: number,
  ): number {
    const known = this.#services.get(service)?.get(version);
    if (known === undefined) return Infinity;
    return known.servers.size > 0 ? 0 : now - known.goneAt;
  }

  /** Returns the versions of each service that a stream in progress may have begun at. */
  all(now: number): ServiceVersions {
    return new Map(
      [...this.#services.keys()]
        .toSorted()
        .map((service) => [service, this.versionsOf(service, now).toSorted()]),
    );
  }

  /** Returns the versions that a stream in progress may have begun at. */
  versionsOf(service: string, now: number): readonly string[] {
    const versions = this.#services.get(service);
    if (versions === undefined) return [];
    [...versions]
      .filter(([, version]) => this.#isForgotten(version, now))
      .forEach(([name, version]) => {
        versions.delete(name);
        this.#ending.delete(version);
        this.#forgotten += 1;
      });
    return [...versions.keys()];
  }

  /** Number of versions that no stream in progress can have begun at any more. */
  forgottenVersions(now: number): number {
    [...this.#ending]
      .filter(([version]) => this.#isForgotten(version, now))
      .forEach(([, service]) => this.versionsOf(service, now));
    return this.#forgotten;
  }

  /** Notes versions that others tell of; returns what is known of them. */
  #told(
    service: string,
    versions: readonly string[],
    now: number,
  ): readonly ServiceVersion[] {
    const known =
      this.#services.get(service) ?? new Map<string, ServiceVersion>();
    this.#services.set(service, known);
    return versions.map((version) => {
      const told = known.get(version) ?? withoutServer(now);
      told.toldAt = now;
      known.set(version, told);
      if (told.servers.size === 0) this.#ending.set(told, service);
      return told;
    });
  }

  /** Notes the version of a server, and since when it has another one than before. */
  #noteVersion(
    { id, service, version }: VersionedServer,
    { now, changedAfter }: ListingTimes,
  ): void {
    const oldest = now - this.#retentionMilliseconds;
    const known = this.#listedVersions.get(id) ?? [];
    const last = known.at(-1);
    if (last?.service === service && last.version === version) return;
    const former = known
      .map((one) => (one === last ? { ...one, until: now } : one))
      .filter(({ until }) => until >= oldest);
    const since = last === undefined ? -Infinity : changedAfter;
    const listed = { service, version, since, until: Infinity };
    this.#listedVersions.set(id, [...former, listed]);
  }

  #noteRemoved(id: string, now: number): void {
    // Deleted first, so that it moves to the end of the order.
    this.#removedAt.delete(id);
    this.#removedAt.set(id, now);
    const oldest = now - this.#retentionMilliseconds;
    [...this.#removedAt]
      .filter(([, at]) => at < oldest)
      .forEach(([former]) => {
        this.#removedAt.delete(former);
        this.#listedVersions.delete(former);
      });
  }

  #isForgotten(
    { servers, goneAt, toldAt }: ServiceVersion,
    now: number,
  ): boolean {
    const elapsed = now - Math.max(goneAt, toldAt);
    return servers.size === 0 && elapsed > this.#retentionMilliseconds;
  }
}

function withoutServer(now: number): ServiceVersion {
  return { servers: new Set(), goneAt: now, toldAt: now, seenAt: -Infinity };
}
