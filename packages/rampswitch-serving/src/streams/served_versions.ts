// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The versions of each service that streams in progress may have begun at, and whether
 * this host knows all of them.
 *
 * @module
 */
import type { Clock } from "rampswitch-utils";
import type { ServerListState } from "../configuration/server_list_evidence.ts";
import { KnownPast } from "./known_past.ts";
import { NamedVersions } from "./named_versions.ts";
import type { StreamReply } from "./stream_reply.ts";
import {
  type ServiceVersionName,
  type ServiceVersions,
  type VersionedServer,
  VersionHistory,
} from "./version_history.ts";

/** What knowing the versions depends on. */
export interface ServedVersionsParts {
  /** A monotonic clock. */
  readonly clock: Clock;
  /** How new this host's list of servers is. */
  serverList(): ServerListState;
}

/**
 * Time for which a version counts after its last server was removed, in milliseconds;
 * longer than any stream lasts.
 */
export const VERSION_RETENTION_MILLISECONDS = 60_000;

/** The versions that served, as one host has listed them or was told of them. */
export class ServedVersions {
  readonly #parts: ServedVersionsParts;
  /** The versions that each server was listed with. */
  readonly history = new VersionHistory(VERSION_RETENTION_MILLISECONDS);
  /** The versions that the stored object names. */
  readonly names: NamedVersions;
  readonly #past: KnownPast;

  constructor(parts: ServedVersionsParts) {
    this.#parts = parts;
    this.names = new NamedVersions(this.history, parts.clock);
    this.#past = new KnownPast(parts.clock, VERSION_RETENTION_MILLISECONDS);
  }

  /** The versions of each service. */
  get all(): ServiceVersions {
    return this.history.all(this.#parts.clock.now());
  }

  /** Services that have several versions. */
  get mixedServices(): ReadonlySet<string> {
    return new Set(
      [...this.all]
        .filter(([, versions]) => versions.length > 1)
        .map(([service]) => service),
    );
  }

  /** Whether this host knows all versions that served since the oldest stream began. */
  get isPastKnown(): boolean {
    return this.#past.isKnown;
  }

  /** Whether another host has received changes of servers that this one lacks. */
  get isListBehind(): boolean {
    const { version, newestHeard } = this.#parts.serverList();
    return newestHeard > version;
  }

  /** Since when a change that is listed now may have been made. */
  get listCurrentAt(): number {
    return Math.min(
      this.#parts.clock.now(),
      this.#parts.serverList().currentAt,
    );
  }

  /**
   * Whether the first server was listed so long after the stored versions were read that
   * they have to be read again.
   */
  get hasListedLate(): boolean {
    return this.#past.hasListedLate;
  }

  /** Notes that this host has a list of servers. */
  receivedList(): void {
    this.#past.listed();
  }

  /** Notes a listed server. */
  listed(server: VersionedServer): void {
    const now = this.#parts.clock.now();
    this.history.listed(server, { now, changedAfter: this.listCurrentAt });
  }

  /** Notes that a server is listed no more. */
  removed(id: string): void {
    this.history.removed(id, this.#parts.clock.now());
  }

  /** Notes versions that the stored object names. */
  named(service: string, versions: readonly string[]): void {
    this.history.named(service, versions, this.#parts.clock.now());
  }

  /** Notes versions that began streams at other hosts. */
  served(service: string, versions: readonly string[]): void {
    this.history.served(service, versions, this.#parts.clock.now());
  }

  /** Notes that the stored versions were read, and are complete. */
  wasRead(): void {
    this.#past.wasRead();
  }

  /** Notes that servers may have been listed and removed without this host's knowledge. */
  missedChanges(): void {
    this.#past.missedChanges();
    // One that is named all the time may have served meanwhile.
    this.names.forgetObject();
  }

  /** The versions of a service. */
  of(service: string): readonly string[] {
    return this.history.versionsOf(service, this.#parts.clock.now());
  }

  /** Whether a service has several versions. */
  isMixed(service: string): boolean {
    return this.of(service).length > 1;
  }

  /** What the versions of a service show of a stream without a record. */
  replyOf(service: string): StreamReply {
    const [version, ...others] = this.of(service);
    if (version === undefined) return { kind: "none" };
    if (others.length > 0) return { kind: "unknown" };
    if (!this.#past.wasThere || this.isListBehind) {
      return { kind: "single_recently", version };
    }
    const kind = this.#past.hasGap ? "single_since_gap" : "single";
    return { kind, version };
  }

  /**
   * Time since the last server of a version was listed, in milliseconds; 0 while another
   * host has a newer list, which may have one.
   */
  goneMilliseconds(version: ServiceVersionName): number {
    if (this.isListBehind) return 0;
    return this.history.goneMilliseconds(version, this.#parts.clock.now());
  }
}
