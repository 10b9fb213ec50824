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
}

/** Versions by service. */
export type ServiceVersions = ReadonlyMap<string, readonly string[]>;

/** A version of a service. */
interface ServiceVersion {
  /** Ids of the listed servers that have it. */
  readonly servers: Set<string>;
  /** When its last server was removed, on the monotonic clock. */
  goneAt: number;
  /** When it was last told of, on the monotonic clock. */
  toldAt: number;
}

/** A server that is listed. */
interface ListedServer extends VersionedServer {
  /**
   * Since when it may be listed with its version, on the monotonic clock; `-Infinity` if
   * this host knows no former version: it may have had this one for any time.
   */
  readonly since: number;
}

/** The versions of the servers of all services, as one host sees them. */
export class VersionHistory {
  readonly #retentionMilliseconds: number;
  readonly #services = new Map<string, Map<string, ServiceVersion>>();
  readonly #listed = new Map<string, ListedServer>();
  /** When servers that are listed no more were removed, by id, the oldest first. */
  readonly #removedAt = new Map<string, number>();

  /** Versions without a server are retained for the given time. */
  constructor(retentionMilliseconds: number) {
    this.#retentionMilliseconds = retentionMilliseconds;
  }

  /** Notes a server that is listed, or listed with another version since some time. */
  listed(
    { id, service, version }: VersionedServer,
    {
      now,
      changedAfter,
    }: { readonly now: number; readonly changedAfter: number },
  ): void {
    const before = this.#listed.get(id);
    if (before?.service === service && before.version === version) return;
    this.removed(id, now);
    const since = this.#removedAt.has(id) ? changedAfter : -Infinity;
    this.#listed.set(id, { id, service, version, since });
    const versions =
      this.#services.get(service) ?? new Map<string, ServiceVersion>();
    this.#services.set(service, versions);
    const known = versions.get(version) ?? withoutServer(now);
    known.servers.add(id);
    versions.set(version, known);
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
  }

  /**
   * Returns since when a server is listed with another version than the given one;
   * `undefined` if it is not.
   */
  otherVersionSince(id: string, version: string): number | undefined {
    const server = this.#listed.get(id);
    return server === undefined || server.version === version
      ? undefined
      : server.since;
  }

  /**
   * Notes versions that others tell of: they served before this process started, or
   * began a stream elsewhere. Those that are not listed may have ended a moment ago.
   */
  served(service: string, versions: readonly string[], now: number): void {
    const known =
      this.#services.get(service) ?? new Map<string, ServiceVersion>();
    this.#services.set(service, known);
    versions.forEach((version) => {
      const told = known.get(version) ?? withoutServer(now);
      told.toldAt = now;
      known.set(version, told);
    });
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
      .forEach(([name]) => versions.delete(name));
    return [...versions.keys()];
  }

  #noteRemoved(id: string, now: number): void {
    // Deleted first, so that it moves to the end of the order.
    this.#removedAt.delete(id);
    this.#removedAt.set(id, now);
    const oldest = now - this.#retentionMilliseconds;
    [...this.#removedAt]
      .filter(([, at]) => at < oldest)
      .forEach(([former]) => this.#removedAt.delete(former));
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
  return { servers: new Set(), goneAt: now, toldAt: now };
}
