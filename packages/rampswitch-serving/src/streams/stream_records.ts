// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The records of streams that one host has: of its own streams, from other hosts and from
 * the store. Each names the version that began the stream, and is judged by the versions
 * that its server was listed with: a server that came back as another version may have had
 * that one when it began the stream. The version is uncertain then.
 *
 * @module
 */
import type { Clock } from "rampswitch-utils";
import {
  type BegunStream,
  BegunStreams,
  combinedStream,
  type StreamKey,
} from "./begun_streams.ts";
import type { StreamOrigin, StreamOriginSource } from "./stream_origin.ts";
import type { KnownReply, StreamRecord, StreamReply } from "./stream_reply.ts";
import type { VersionedServer, VersionHistory } from "./version_history.ts";

/** Who serves a stream, as far as the host that has its record knows. */
export type StreamServing = Pick<BegunStream, "server" | "isServedHere">;

/** A stream that another host serves, or that has ended. */
export const SERVED_ELSEWHERE: StreamServing = {
  server: undefined,
  isServedHere: false,
};

/**
 * Time for which a server may run as another version before its new incarnation is
 * listed by hosts whose lists are current, in milliseconds.
 */
const LISTING_LAG_MILLISECONDS = 2_000;

/**
 * Time for which a stream of an incarnation that isn't listed yet may still become one of
 * a known version, in milliseconds.
 */
const UNLISTED_MILLISECONDS = 3_000;

/** Time beyond its deadline for which a stream is kept, in milliseconds. */
const LIFETIME_MARGIN_MILLISECONDS = 1_000;

/** Maximum number of streams of this host and of those that it keeps for others. */
const MAXIMUM_STREAMS = 20_000;

/** Maximum number of streams that other hosts had stored. */
const MAXIMUM_RESTORED_STREAMS = 60_000;

/** Maximum number of streams that one host has stored; the newest are. */
const MAXIMUM_STORED_STREAMS = 4_000;

/** The streams that one host has records of. */
export class StreamRecords {
  readonly #clock: Clock;
  readonly #history: VersionHistory;
  readonly #streams = new BegunStreams(MAXIMUM_STREAMS);
  /** Streams that other hosts had stored. */
  readonly #restored = new BegunStreams(MAXIMUM_RESTORED_STREAMS);

  constructor(clock: Clock, history: VersionHistory) {
    this.#clock = clock;
    this.#history = history;
  }

  /** Adds a record of a stream, or combines it with what is known. */
  add(
    {
      lifetimeMilliseconds,
      ageMilliseconds = 0,
      serverId,
      ...stream
    }: StreamRecord,
    serving: StreamServing,
    table = this.#streams,
  ): void {
    const now = this.#clock.now();
    const addedAt = now - ageMilliseconds;
    const expiresAt = now + lifetimeMilliseconds + LIFETIME_MARGIN_MILLISECONDS;
    const known = this.#listedStart({ ...stream, serverId });
    table.add({ ...known, ...serving, serverId, addedAt, expiresAt }, now);
  }

  /** Notes the version of an incarnation that is listed. */
  listed(server: VersionedServer): void {
    this.#streams.listed(server);
    this.#restored.listed(server);
  }

  /**
   * Notes that streams of a server since a time began at an incarnation other than the
   * listed one; returns the records that changed.
   */
  markStarted(
    server: string,
    { start, since }: { readonly start: number; readonly since: number },
  ): readonly StreamRecord[] {
    return this.#streams.begunAt(server, since).flatMap((stream) => {
      const id = stream.serverId ?? server;
      const version = this.#history.versionOfStart(id, start);
      if (version === stream.version && version !== undefined) return [];
      return this.markUncertain(
        version === undefined ? { ...stream, start } : stream,
      );
    });
  }

  /** Adds records that a host stored; `isOwn`: a former process of this host did. */
  restore(
    records: readonly StreamRecord[],
    { isOwn }: { readonly isOwn: boolean },
  ): void {
    const now = this.#clock.now();
    const table = isOwn ? this.#streams : this.#restored;
    records
      // What this host knows itself is newer, unless it is of another version.
      .filter((record) => {
        const known = this.#streams.get(record, now);
        return known === undefined || known.version !== record.version;
      })
      .forEach((record) =>
        this.add(record, { server: undefined, isServedHere: isOwn }, table),
      );
  }

  /** Notes that a stream was given whole. */
  completed(key: StreamKey): void {
    this.#streams.completed(key);
  }

  /** Whether there is a record of a stream. */
  has(key: StreamKey): boolean {
    return this.#get(key) !== undefined;
  }

  /** Whether there is a record of a stream whose version is uncertain. */
  isUncertain(key: StreamKey): boolean {
    const stream = this.#get(key);
    return stream !== undefined && stream.version === undefined;
  }

  /** Whether a stream may have begun at a version, or at any, by what is known of it. */
  mayBeOf(key: StreamKey, version: string | undefined): boolean {
    const stream = this.#get(key);
    if (stream === undefined) return true;
    const isOther = version !== undefined && stream.version !== version;
    return stream.version !== undefined && !isOther;
  }

  /** Whether an entry may yet show the version of a stream. */
  mayBeListed(key: StreamKey): boolean {
    const { start, addedAt = -Infinity } = this.#get(key) ?? {};
    const age = this.#clock.now() - addedAt;
    return start !== undefined && age < UNLISTED_MILLISECONDS;
  }

  /** Returns the record of a stream that is not from the store, as it was added. */
  unjudged(key: StreamKey): BegunStream | undefined {
    return this.#streams.get(key, this.#clock.now());
  }

  /** Notes that the version of a stream is uncertain; returns its new record. */
  markUncertain(begun: BegunStream): StreamRecord {
    const now = this.#clock.now();
    const stream = { ...begun, version: undefined };
    this.#streams.add(stream, now);
    return recordOf(stream, now);
  }

  /**
   * Returns the streams that a server began for this host when it may already have been
   * another version than the one that was listed until the given time.
   */
  begunBeforeListing(server: string, listedAt: number): readonly BegunStream[] {
    return this.#streams.begunAt(server, listedAt - LISTING_LAG_MILLISECONDS);
  }

  /** Returns the streams of a service that this host serves or that broke here. */
  servedHere(service: string): readonly StreamRecord[] {
    const streams = this.#streams
      .servedHere(this.#clock.now())
      .filter((stream) => stream.service === service);
    return this.#recordsOf(streams);
  }

  /**
   * Returns the streams that have to outlive this host: those of some services, and those
   * that are known to be of another version than the listed one of their server.
   */
  storable(services: ReadonlySet<string>): readonly StreamRecord[] {
    const hasAny = services.size > 0 || this.#streams.hasUncertain;
    if (!hasAny) return [];
    const streams = this.#streams
      .servedHere(this.#clock.now())
      .filter(
        ({ service, version }) =>
          services.has(service) || version === undefined,
      );
    return this.#recordsOf(streams.slice(-MAXIMUM_STORED_STREAMS));
  }

  /** The reply by the record of a stream; `undefined` if there is none. */
  replyTo(key: StreamKey): StreamReply | undefined {
    const stream = this.#get(key);
    if (stream === undefined) return undefined;
    return stream.version === undefined
      ? { kind: "uncertain" }
      : this.#knownReply(stream, stream.version);
  }

  /** What another host's reply is worth, by the versions of servers that this host lists. */
  judge(reply: KnownReply): StreamReply {
    const { serverId, version, ageMilliseconds = 0 } = reply;
    const addedAt = this.#clock.now() - ageMilliseconds;
    return this.#mayBeOfOtherVersion({ serverId, version, addedAt })
      ? { kind: "uncertain" }
      : reply;
  }

  /**
   * Whether it may show that the version of a known stream can't be told, by a change of
   * its server that was made since a time and that this host has not listed yet.
   */
  mayBecomeUncertain(key: StreamKey, changedAfter: number): boolean {
    const stream = this.#get(key);
    if (stream?.serverId === undefined) return false;
    const { serverId, addedAt } = stream;
    const runningSince = changedAfter - LISTING_LAG_MILLISECONDS;
    return this.#history.mayLackOther(serverId, addedAt, runningSince);
  }

  /** The version of a stream that this host knows, and where its record comes from. */
  originOf(key: StreamKey, version: string): StreamOrigin {
    const stream = this.#streams.get(key, this.#clock.now());
    const serverId = this.#get(key)?.serverId;
    const source = stream === undefined ? "stored" : sourceOf(stream);
    return { kind: "known", version, source, serverId };
  }

  /** A reply that names a version, and what hosts with newer lists need to judge it. */
  #knownReply({ serverId, addedAt }: BegunStream, version: string): KnownReply {
    const isJudged =
      serverId === undefined || this.#history.isOtherVersion(serverId, version);
    if (isJudged) return { kind: "known", version };
    const ageMilliseconds = this.#clock.now() - addedAt;
    return { kind: "known", version, serverId, ageMilliseconds };
  }

  /** Records of streams for other hosts, as this host judges them. */
  #recordsOf(streams: readonly BegunStream[]): readonly StreamRecord[] {
    const now = this.#clock.now();
    return streams.map((stream) => recordOf(this.#get(stream) ?? stream, now));
  }

  /** A record with the version of the start that it names, if an entry names that too. */
  #listedStart<
    Named extends Pick<StreamRecord, "serverId" | "start" | "version">,
  >(record: Named): Named {
    const { serverId, start } = record;
    if (serverId === undefined || start === undefined) return record;
    const version = this.#history.versionOfStart(serverId, start);
    return version === undefined
      ? record
      : { ...record, version, start: undefined };
  }

  /** All records of a stream combined, without a version if that is uncertain. */
  #get(key: StreamKey): BegunStream | undefined {
    const now = this.#clock.now();
    const stream = combinedStream(
      this.#restored.get(key, now),
      this.#streams.get(key, now),
    );
    return stream !== undefined && this.#mayBeOfOtherVersion(stream)
      ? { ...stream, version: undefined }
      : stream;
  }

  /**
   * Whether the server that began a stream is or was listed with another version, and may
   * have had it then. The host that served the stream may have ended before the listing.
   */
  #mayBeOfOtherVersion({
    serverId,
    version,
    addedAt,
  }: Pick<BegunStream, "serverId" | "version" | "addedAt">): boolean {
    if (serverId === undefined || version === undefined) return false;
    const named = { id: serverId, version };
    const lag = LISTING_LAG_MILLISECONDS;
    return this.#history.mayHaveHadOther(named, addedAt, lag);
  }
}

/** Where a record in the table of this host's streams comes from. */
function sourceOf({ server, isServedHere }: BegunStream): StreamOriginSource {
  if (server !== undefined) return "table";
  // One that a former process of this host served was stored by that process.
  return isServedHere ? "stored" : "told";
}

/** What other hosts need to know of a stream. */
function recordOf(
  {
    service,
    attempt,
    version,
    serverId,
    start,
    addedAt,
    expiresAt,
  }: BegunStream,
  now: number,
): StreamRecord {
  const lifetimeMilliseconds = Math.max(0, expiresAt - now);
  const ageMilliseconds = now - addedAt;
  const times = { ageMilliseconds, lifetimeMilliseconds };
  return { service, attempt, version, serverId, start, ...times };
}
