// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Knows the version that began a stream, or finds it. A host that serves a stream of a
 * service with several versions sends the version to a few other hosts before the caller
 * gets the first event. A host that is asked for the rest of a stream knows it from its
 * own records, queries these hosts, or reads what hosts that have ended had stored.
 *
 * @module
 */
import type { Clock, Logger } from "rampswitch-utils";
import { serverOfIncarnation } from "../model/backend_server.ts";
import type { StreamKey } from "./begun_streams.ts";
import type { NamedVersions } from "./named_versions.ts";
import { ServedVersions } from "./served_versions.ts";
import { StreamAnswers } from "./stream_answers.ts";
import { StreamFinder, type StreamSources } from "./stream_finder.ts";
import type { StreamOrigin } from "./stream_origin.ts";
import { SERVED_ELSEWHERE, StreamRecords } from "./stream_records.ts";
import type { HostReply, StreamRecord, StreamReply } from "./stream_reply.ts";
import type {
  ServiceVersionName,
  ServiceVersions,
  VersionedServer,
} from "./version_history.ts";

/** What knowing and finding the version depends on. */
export interface StreamOriginsParts extends StreamSources {
  /** A monotonic clock. */
  readonly clock: Clock;
  readonly logger: Logger;
  /** Sends the version of a stream to the hosts that keep it. */
  tell(record: StreamRecord): void;
}

/** The versions that began streams, as one host knows or finds them. */
export class StreamOrigins {
  readonly #parts: StreamOriginsParts;
  readonly #versions: ServedVersions;
  readonly #records: StreamRecords;
  readonly #answers: StreamAnswers;
  readonly #finder: StreamFinder;

  constructor(parts: StreamOriginsParts) {
    this.#parts = parts;
    const versions = new ServedVersions(parts);
    const records = new StreamRecords(parts.clock, versions.history);
    const answers = new StreamAnswers({ ...parts, records, versions });
    this.#versions = versions;
    this.#records = records;
    this.#answers = answers;
    this.#finder = new StreamFinder({
      logger: parts.logger,
      records,
      versions,
      answers,
      sources: parts,
      learn: (service, version) => this.#learn(service, version),
    });
  }

  /** The versions that the stored object names. */
  get names(): NamedVersions {
    return this.#versions.names;
  }

  /** The versions of each service that a stream in progress may have begun at. */
  get versions(): ServiceVersions {
    return this.#versions.all;
  }

  /** Services whose streams may have begun at one of several versions. */
  get mixedServices(): ReadonlySet<string> {
    return this.#versions.mixedServices;
  }

  /** Whether this host knows all versions that served since the oldest stream began. */
  get isPastKnown(): boolean {
    return this.#versions.isPastKnown;
  }

  /** Whether another host has received changes of servers that this one lacks. */
  get isListBehind(): boolean {
    return this.#versions.isListBehind;
  }

  /**
   * Whether the first server was listed so long after the stored versions were read that
   * they have to be read again.
   */
  get hasListedLate(): boolean {
    return this.#versions.hasListedLate;
  }

  /** The streams whose versions have to outlive this host. */
  get storable(): readonly StreamRecord[] {
    return this.#records.storable(this.mixedServices);
  }

  /** Notes a listed server; running streams are told to others with a second version. */
  listed(server: VersionedServer): void {
    this.#versions.receivedList();
    this.#tellOnceMixed(server.service, () => this.#versions.listed(server));
    this.names.listed(server);
    this.#records.listed(server);
  }

  /** Notes that a server is listed no more. */
  removed(id: string): void {
    this.#versions.removed(id);
  }

  /** Notes that servers may have been listed and removed without this host's knowledge. */
  missedChanges(): void {
    this.#versions.missedChanges();
  }

  /** Notes the stored versions; `isComplete`: there were no others. */
  restoreVersions(
    versions: ServiceVersions,
    { isComplete }: { readonly isComplete: boolean },
  ): void {
    versions.forEach((names, service) =>
      this.#tellOnceMixed(service, () => this.#versions.named(service, names)),
    );
    if (isComplete) this.#versions.wasRead();
  }

  /** Notes streams that a host stored; `isOwn`: a former process of this host did. */
  restoreStreams(
    records: readonly StreamRecord[],
    source: { readonly isOwn: boolean },
  ): void {
    this.#records.restore(records, source);
    // The stored versions may lack those that only these records name.
    versionsByService(records).forEach((names, service) => {
      names.forEach((version) => this.#learn(service, version));
    });
  }

  /**
   * Notes that a server's later incarnation has another version. It is uncertain which of
   * the two gave the events that came shortly before it was listed.
   */
  becameOtherVersion(server: string): void {
    this.#records
      .begunBeforeListing(server, this.#versions.listCurrentAt)
      .forEach((stream) =>
        this.#parts.tell(this.#records.markUncertain(stream)),
      );
  }

  /**
   * Notes that streams of a server since a time began at an incarnation that no entry has
   * named yet.
   */
  begunByStart(
    server: string,
    { start, since }: { readonly start: number; readonly since: number },
  ): void {
    this.#records
      .markStarted(server, { start, since })
      .forEach((record) => this.#parts.tell(record));
  }

  /** Notes that the version of a stream that broke is uncertain. */
  becameUncertain(key: StreamKey): void {
    const stream = this.#records.unjudged(key);
    if (stream === undefined) return;
    this.#parts.tell(this.#records.markUncertain(stream));
  }

  /** Whether there is a record of a stream whose version is uncertain. */
  isUncertain(key: StreamKey): boolean {
    return this.#records.isUncertain(key);
  }

  /** Whether a stream may have begun at a version, or at any, by what is known of it. */
  mayBeOf(key: StreamKey, version: string | undefined): boolean {
    return this.#records.mayBeOf(key, version);
  }

  /** Whether a stream of a service may have begun at one of several versions. */
  isMixed(service: string): boolean {
    return this.#versions.isMixed(service);
  }

  /** Notes that the caller is about to get the first event of a stream. */
  began(record: StreamRecord, server: string): void {
    const begun = { ...record, serverId: serverOfIncarnation(server) };
    this.#records.add(begun, { server, isServedHere: true });
    // Another version may be known to hosts with a newer list, or have gone unseen.
    const isTold =
      record.version === undefined ||
      this.isMixed(record.service) ||
      this.isListBehind ||
      !this.isPastKnown;
    if (!isTold) return;
    // What this host was told of it before may differ. Those that are told judge the server.
    const { version, start } = this.#records.unjudged(begun) ?? begun;
    this.#parts.tell({ ...begun, version, start });
  }

  /** Notes that a stream was given whole. */
  completed(key: StreamKey): void {
    this.#records.completed(key);
  }

  /** Keeps the version of a stream that another host serves. */
  receive(record: StreamRecord): void {
    this.#records.add(record, SERVED_ELSEWHERE);
    this.#learn(record.service, record.version);
  }

  /** Answers another host's query. */
  answerTo(key: StreamKey): HostReply {
    return this.#answers.answerTo(key);
  }

  /** What this host knows of a stream. */
  replyTo(key: StreamKey): StreamReply {
    return this.#answers.replyTo(key);
  }

  /** Finds the version that began a stream. */
  find(key: StreamKey): Promise<StreamOrigin> {
    return this.#finder.find(key);
  }

  /**
   * Time since the last server of a version was listed, in milliseconds; 0 while another
   * host has a newer list, which may have one.
   */
  goneMilliseconds(version: ServiceVersionName): number {
    return this.#versions.goneMilliseconds(version);
  }

  /** Notes a version that serves at other hosts, also if it is not listed here yet. */
  #learn(service: string, version: string | undefined): void {
    if (version === undefined) return;
    this.#tellOnceMixed(service, () =>
      this.#versions.served(service, [version]),
    );
  }

  /** Applies a change of the versions; tells others of running streams if several result. */
  #tellOnceMixed(service: string, change: () => void): void {
    const before = this.#versions.of(service).length;
    change();
    const becameMixed = before === 1 && this.isMixed(service);
    if (!becameMixed) return;
    this.#records
      .servedHere(service)
      .forEach((record) => this.#parts.tell(record));
  }
}

/** The versions that began streams, by service. */
function versionsByService(
  records: readonly StreamRecord[],
): ReadonlyMap<string, ReadonlySet<string | undefined>> {
  const services = new Map<string, Set<string | undefined>>();
  records.forEach(({ service, version }) => {
    const names = services.get(service) ?? new Set();
    services.set(service, names.add(version));
  });
  return services;
}
